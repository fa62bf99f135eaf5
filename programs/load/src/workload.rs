//! The load of a run, which depends on the scenario and the seed only.

use std::time;

use bw_engine::text;
use bw_wire::{fingerprint, prefix};
use rand::{Rng, SeedableRng};

use crate::scenario;

/// Text that makes embedded engines crash in scenarios with a poisonous request.
pub const POISON_MARKER: &str = "poison-marker";

/// Bytes of prompt text that the engine counts as one token.
const TOKEN_BYTES: usize = 4;
const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz";

/// One completion request with the answer that must come.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique in the run; part of the prompt.
    pub id: String,
    /// The team that sends it.
    pub team: String,
    /// The body for `/v1/chat/completions`.
    pub body: serde_json::Value,
    /// The whole answer.
    pub answer: text::Answer,
    /// The fingerprint of the prompt text, by which engines record executions.
    pub prompt: fingerprint::Fingerprint,
}

/// A request with its intended send time, from the start of the run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The intended send time.
    pub at: time::Duration,
    /// The request.
    pub request: Request,
}

/// Generates the online arrivals of a run.
///
/// `share` scales the rate, so that one engine can get its share of the load.
pub fn online(scenario: &scenario::Scenario, seed: u64, share: f64) -> Vec<Arrival> {
    let online = &scenario.online;
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let prefixes: Vec<String> = (0..online.shared_prefixes)
        .map(|_| words(&mut random, online.shared_prefix_tokens))
        .collect();
    let mut arrivals = Vec::new();
    let peak = scenario.peak_rate() * share;
    if peak <= 0.0 {
        return arrivals;
    }
    let end = time::Duration::from_millis(scenario.run_ms());
    let mut at_s = 0.0;
    loop {
        // Thinning: arrivals at the peak rate, kept with the share of the rate
        // that is wanted at the time.
        at_s += -(1.0 - random.random::<f64>()).ln() / peak;
        let at = time::Duration::from_secs_f64(at_s);
        if at >= end {
            return arrivals;
        }
        let at_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        if random.random::<f64>() * peak > scenario.online_rate(at_ms) * share {
            continue;
        }
        let id = format!("online-{seed}-{}", arrivals.len());
        let prefix = match prefixes.len() {
            0 => "",
            count => &prefixes[random.random_range(0..count)],
        };
        let team = random.random_range(1..=online.teams);
        let lengths = (online.prompt_tokens, online.output_tokens);
        let prompt = prompt(&mut random, &id, prefix, lengths.0);
        let limit = random.random_range(lengths.1.min..=lengths.1.max);
        let request = request(scenario, id, team, prompt, limit, true);
        arrivals.push(Arrival { at, request });
    }
}

/// Generates the batch items of a run.
pub fn batch(scenario: &scenario::Scenario, seed: u64) -> Vec<Request> {
    let batch = &scenario.batch;
    // Another stream than the online load, so that neither changes the other.
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ 0x6261_7463_6800);
    (0..batch.items)
        .map(|number| {
            let id = format!("batch-{seed}-{number}");
            let prompt = prompt(&mut random, &id, "", batch.prompt_tokens);
            let limit = random.random_range(batch.output_tokens.min..=batch.output_tokens.max);
            let team = 1 + u32::try_from(number % u64::from(batch.jobs)).unwrap_or(0);
            let team = 1 + (team - 1) % scenario.online.teams;
            request(scenario, id, team, prompt, limit, false)
        })
        .collect()
}

/// Returns the poisonous request, which is the same each time.
pub fn poison(scenario: &scenario::Scenario, seed: u64) -> Request {
    let id = format!("poison-{seed}");
    let prompt = format!("{id} {POISON_MARKER}");
    request(scenario, id, 1, prompt, 64, true)
}

/// Generates calls of a plain service.
pub fn service(
    scenario: &scenario::Scenario,
    service: &scenario::Service,
    seed: u64,
) -> Vec<Arrival> {
    let interval_s = 1.0 / service.requests_per_s.max(0.001);
    let count = (scenario.run_ms() as f64 / 1_000.0 / interval_s) as u64;
    (0..count)
        .map(|number| Arrival {
            at: time::Duration::from_secs_f64(interval_s * number as f64),
            request: request(
                scenario,
                format!("call-{seed}-{number}"),
                1,
                String::new(),
                1,
                false,
            ),
        })
        .map(|mut arrival| {
            arrival.request.body = serde_json::json!({"invoice": arrival.request.id});
            arrival
        })
        .collect()
}

/// Generates evenly spaced requests of one size, for measurements of overhead.
pub fn even(model: &str, count: u64, interval: time::Duration, tag: &str) -> Vec<Arrival> {
    let scenario = scenario::Scenario {
        model: model.into(),
        ..scenario::Scenario::default()
    };
    let request = |number| {
        let id = format!("{tag}-{number}");
        let prompt = format!("{id} how much resin does this board need?");
        request(&scenario, id, 1, prompt, 8, true)
    };
    (0..count)
        .map(|number| Arrival {
            at: interval * u32::try_from(number).unwrap_or(u32::MAX),
            request: request(number),
        })
        .collect()
}

fn request(
    scenario: &scenario::Scenario,
    id: String,
    team: u32,
    prompt: String,
    limit: u32,
    stream: bool,
) -> Request {
    let mut body = serde_json::json!({
        "model": scenario.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": limit,
    });
    if stream {
        body["stream"] = true.into();
    }
    let prompt = prefix::prompt(&body);
    Request {
        id,
        team: format!("team-{team}"),
        answer: text::Answer::new(&scenario.model, &prompt, Some(limit), false),
        prompt: fingerprint::Fingerprint::of_bytes(prompt.as_bytes()),
        body,
    }
}

/// Builds a prompt: the shared start, the id and random words up to a length.
fn prompt(random: &mut impl Rng, id: &str, prefix: &str, tokens: scenario::Range) -> String {
    let tokens = random.random_range(tokens.min..=tokens.max);
    let own = u32::try_from(id.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX);
    let rest = words(random, tokens.saturating_sub(own));
    format!("{prefix}{id} {rest}")
}

/// Returns words of one token each.
fn words(random: &mut impl Rng, tokens: u32) -> String {
    let mut text = String::with_capacity(TOKEN_BYTES * tokens as usize);
    for _ in 0..tokens {
        for _ in 1..TOKEN_BYTES {
            text.push(char::from(LETTERS[random.random_range(0..LETTERS.len())]));
        }
        text.push(' ');
    }
    text
}
