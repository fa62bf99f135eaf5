//! The batching model: step time, memory limit, cache, eviction and order.

use bw_engine::batch::{Batch, Event, Refusal, Sequence, Settings};
use bw_wire::fingerprint::Fingerprint;
use rstest::rstest;

fn settings() -> Settings {
    Settings {
        step_base_us: 1_000,
        step_per_sequence_us: 100,
        step_per_prefill_token_us: 10,
        prefill_chunk_tokens: 64,
        max_sequences: 4,
        max_waiting: 8,
        kv_blocks: 64,
    }
}

fn sequence(id: u64, prompt_tokens: u32, output_tokens: u32) -> Sequence {
    Sequence {
        id,
        blocks: Vec::new(),
        prompt_tokens,
        resume_tokens: 0,
        output_tokens,
    }
}

/// A sequence whose prompt blocks are named by numbers.
fn prompted(id: u64, blocks: &[u64], output_tokens: u32) -> Sequence {
    Sequence {
        blocks: blocks.iter().map(|block| Fingerprint(0, *block)).collect(),
        ..sequence(id, 16 * blocks.len() as u32 + 1, output_tokens)
    }
}

/// Runs to the end and returns each event with the time it appeared.
fn run(batch: &mut Batch, mut now_us: u64) -> Vec<(u64, Event)> {
    let mut events = Vec::new();
    loop {
        let next = batch.advance(now_us, &mut |event| events.push((now_us, event)));
        match next {
            Some(next) => now_us = next,
            None => return events,
        }
    }
}

fn token_times(events: &[(u64, Event)], wanted: u64) -> Vec<u64> {
    let of_wanted = |event: &Event| matches!(event, Event::Token { id, .. } if *id == wanted);
    let tokens = events.iter().filter(|(_, event)| of_wanted(event));
    tokens.map(|(at, _)| *at).collect()
}

fn order(events: &[(u64, Event)]) -> Vec<u64> {
    let admitted = events.iter().filter_map(|(_, event)| match event {
        Event::Admitted { id, .. } => Some(*id),
        _ => None,
    });
    admitted.collect()
}

/// Guards against a wrong duration of steps: base, sequences, prefill chunks.
#[rstest]
#[case::one_chunk(&[sequence(1, 10, 3)], 1, &[1_100, 2_200, 3_300])]
#[case::two_chunks(&[sequence(1, 100, 2)], 1, &[1_640 + 1_360, 3_000 + 1_100])]
#[case::beside_decode(&[sequence(1, 10, 4), sequence(2, 64, 1)], 2, &[1_640 + 1_000 + 100 + 100])]
fn step_time(#[case] sequences: &[Sequence], #[case] id: u64, #[case] expected: &[u64]) {
    let mut batch = Batch::new(settings());
    for sequence in sequences {
        batch.add(sequence.clone()).expect("room");
    }
    assert_eq!(token_times(&run(&mut batch, 0), id), expected);
}

/// Guards against a model that runs slower because its caller was late.
#[test]
fn late_calls_do_not_slow_the_model() {
    let mut batch = Batch::new(settings());
    batch.add(sequence(1, 10, 5)).expect("room");
    batch.advance(0, &mut |_| {});
    let mut tokens = 0;
    let next = batch.advance(3_350, &mut |event| {
        tokens += u32::from(matches!(event, Event::Token { .. }));
    });
    assert_eq!((tokens, next), (3, Some(4_400)));
}

/// Guards against admission out of order: a small sequence must not overtake a
/// large one that waits for memory.
#[test]
fn arrival_order_holds_when_memory_is_short() {
    let mut batch = Batch::new(settings());
    batch.add(sequence(1, 700, 60)).expect("room");
    batch.add(sequence(2, 700, 60)).expect("room");
    batch.add(sequence(3, 10, 1)).expect("room");
    let mut admitted = Vec::new();
    batch.advance(0, &mut |event| {
        if let Event::Admitted { id, .. } = event {
            admitted.push(id);
        }
    });
    assert_eq!(admitted, [1]);
    assert_eq!(order(&run(&mut batch, 0)), [2, 3]);
}

/// Guards against more sequences or blocks in use than there are.
#[rstest]
#[case::sequence_limit(8, 16, 16, 4)]
#[case::memory_limit(4, 256, 128, 2)]
fn limits(
    #[case] count: u64,
    #[case] prompt_tokens: u32,
    #[case] output_tokens: u32,
    #[case] running: u32,
) {
    let mut batch = Batch::new(settings());
    for id in 0..count {
        batch
            .add(sequence(id, prompt_tokens, output_tokens))
            .expect("room");
    }
    let mut now_us = 0;
    let mut most = 0;
    while let Some(next) = batch.advance(now_us, &mut |_| {}) {
        let status = batch.status();
        assert!(status.blocks_held <= settings().kv_blocks);
        most = most.max(status.running);
        now_us = next;
    }
    assert_eq!(most, running);
    assert_eq!(batch.status().blocks_held, 0);
}

/// Guards against a sequence that waits forever and an unbounded queue.
#[test]
fn refusals() {
    let mut batch = Batch::new(settings());
    assert_eq!(batch.add(sequence(0, 1_000, 25)), Err(Refusal::TooLong));
    for id in 0..8 {
        batch.add(sequence(id, 10, 1)).expect("room");
    }
    assert_eq!(batch.add(sequence(9, 10, 1)), Err(Refusal::Full));
}

/// Guards against a prefix cache that is not used, is used beyond the common
/// prefix, or leaves no prompt token to compute.
#[rstest]
#[case::same(&[1, 2, 3], &[1, 2, 3], 48)]
#[case::longer(&[1, 2], &[1, 2, 3], 32)]
#[case::diverging(&[1, 2, 3], &[1, 9, 3], 16)]
#[case::other(&[1, 2, 3], &[4, 5], 0)]
fn prefix_cache(#[case] first: &[u64], #[case] second: &[u64], #[case] cached: u32) {
    let mut batch = Batch::new(settings());
    batch.add(prompted(1, first, 1)).expect("room");
    run(&mut batch, 0);
    batch.add(prompted(2, second, 1)).expect("room");
    let events = run(&mut batch, 1_000_000);
    let expected = Event::Admitted {
        id: 2,
        cached_tokens: cached,
    };
    assert!(
        events.iter().any(|(_, event)| *event == expected),
        "{events:?}"
    );
}

/// Guards against a prompt of exactly the cached blocks that computes nothing
/// and so never yields a token.
#[test]
fn last_prompt_token_is_always_computed() {
    let exact = |id| Sequence {
        prompt_tokens: 32,
        ..prompted(id, &[1, 2], 1)
    };
    let mut batch = Batch::new(settings());
    batch.add(exact(1)).expect("room");
    run(&mut batch, 0);
    batch.add(exact(2)).expect("room");
    let events = run(&mut batch, 1_000_000);
    let first = Event::Admitted {
        id: 2,
        cached_tokens: 16,
    };
    assert_eq!(events.first(), Some(&(1_000_000, first)));
    assert_eq!(token_times(&events, 2).len(), 1);
}

/// Guards against eviction of recently used blocks and of a prefix's start
/// before its end.
#[test]
fn least_recently_used_blocks_are_evicted() {
    let mut batch = Batch::new(settings());
    for (id, blocks) in [(1, [1, 2]), (2, [3, 4]), (3, [1, 2])] {
        batch.add(prompted(id, &blocks, 1)).expect("room");
        run(&mut batch, id * 1_000_000);
    }
    // 4 of 64 blocks are cached; this one needs 61 and evicts one, then two more.
    batch.add(sequence(4, 960, 16)).expect("room");
    let mut events = run(&mut batch, 4_000_000);
    batch.add(sequence(5, 976, 16)).expect("room");
    events.extend(run(&mut batch, 5_000_000));
    let removed: Vec<_> = events
        .iter()
        .filter_map(|(_, event)| match event {
            Event::Removed(block) => Some(block.1),
            _ => None,
        })
        .collect();
    assert_eq!(removed, [4, 3]);
}

/// Guards against memory that stays taken after a cancellation.
#[test]
fn cancellation_frees_memory_and_keeps_the_others() {
    let mut batch = Batch::new(settings());
    batch.add(prompted(1, &[1, 2, 3], 500)).expect("room");
    batch.add(sequence(2, 10, 3)).expect("room");
    batch.advance(0, &mut |_| {});
    batch.advance(2_000, &mut |_| {});
    batch.cancel(1);
    let events = run(&mut batch, 2_000);
    assert!(token_times(&events, 1).is_empty());
    assert!(
        events
            .iter()
            .any(|(_, event)| *event == Event::Finished { id: 2 })
    );
    assert_eq!(batch.status().blocks_held, 0);
}

/// Guards against a resumed sequence that starts over or forgets the tokens it
/// has to compute again.
#[test]
fn resumed_sequence_continues() {
    let mut batch = Batch::new(settings());
    let resumed = Sequence {
        resume_tokens: 40,
        ..sequence(1, 40, 42)
    };
    batch.add(resumed).expect("room");
    let events = run(&mut batch, 0);
    let tokens: Vec<_> = events
        .iter()
        .filter_map(|(at, event)| match event {
            Event::Token { index, .. } => Some((*at, *index)),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, [(1_640 + 1_160, 40), (2_800 + 1_100, 41)]);
}
