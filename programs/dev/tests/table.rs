//! The table of backend servers between the leader's registry and the listing
//! of an entry VM.

use std::{cell, collections};

use bw_control::registry::{Configuration, Registry};
use bw_entry::controller::listing::{Listing, Mismatch, Origin};
use bw_wire::{backend, intent, name::Name, sync};
use proptest::{prelude::*, test_runner};

/// An announcement and how long before the sending of a request it was heard.
fn heard(id: &str, sequence: u64, age_ms: u64) -> sync::Heard {
    sync::Heard {
        announcement: backend::Announcement {
            id: id.into(),
            incarnation: 1,
            sequence,
            address: "127.0.0.1:1".into(),
            kind: backend::Kind::Engine,
            service: "d".into(),
            failure_domain: "z".into(),
            state: backend::State::Ready,
            loaded: Vec::new(),
            capacity: 8,
            fence: 0,
            load: backend::Load::default(),
        },
        age_ms,
    }
}

/// An entry VM that keeps what answers say.
struct Entry {
    name: &'static str,
    term: u64,
    table: u64,
    origin: Option<Origin>,
    listing: Listing,
    peers: Vec<sync::Peer>,
    owners: collections::BTreeMap<Name, Name>,
    /// When the newest proof of each backend server was given, by its answers.
    proofs: collections::BTreeMap<Name, (u64, u64)>,
}

impl Entry {
    fn new(name: &'static str) -> Entry {
        Entry {
            name,
            term: 0,
            table: 0,
            origin: None,
            listing: Listing::default(),
            peers: Vec::new(),
            owners: collections::BTreeMap::new(),
            proofs: collections::BTreeMap::new(),
        }
    }

    /// Asks without delay; what was heard is given by its age.
    fn ask(&self, registry: &mut Registry, now_ms: u64, heard: Vec<sync::Heard>) -> sync::Response {
        let request = self.request(now_ms, heard);
        answer(registry, now_ms, request)
    }

    fn request(&self, sent_ms: u64, heard: Vec<sync::Heard>) -> sync::Request {
        let origin = self.origin.unwrap_or(Origin::of_request(sent_ms));
        let heard = heard.into_iter().map(|heard| sync::Dated {
            at_ms: origin.offset_ms(sent_ms - heard.age_ms),
            announcement: heard.announcement,
        });
        let report = self
            .listing
            .encode(heard.collect(), [("a".into(), 3)].into());
        sync::Request {
            entry: self.name.into(),
            incarnation: 1,
            failure_domain: "z".into(),
            peer_address: "127.0.0.1:9".into(),
            revision: 1,
            leader_term: self.term,
            table: self.table,
            clock_ms: origin.clock_ms(),
            heard: report.heard,
            renewals: report.renewals,
            online: report.online,
            online_unlisted: report.online_unlisted,
            draining: false,
        }
    }

    /// Takes an answer that arrives as soon as it is written.
    fn take(&mut self, sent_ms: u64, response: sync::Response) -> Result<(), Mismatch> {
        self.take_at(sent_ms, response.clock_ms, response)
    }

    /// Takes an answer that arrives at `now_ms`.
    fn take_at(
        &mut self,
        sent_ms: u64,
        now_ms: u64,
        response: sync::Response,
    ) -> Result<(), Mismatch> {
        self.origin = Some(Origin::of_response(&response, now_ms));
        let (heard, _) = self.listing.apply(&response)?;
        for heard in heard {
            let proof = (
                heard.announcement.sequence,
                sent_ms.saturating_sub(heard.age_ms),
            );
            self.proofs.insert(heard.announcement.id, proof);
        }
        self.term = response.leader_term;
        self.table = response.table;
        self.peers = response.peers.unwrap_or(std::mem::take(&mut self.peers));
        self.owners = response.owners.unwrap_or(std::mem::take(&mut self.owners));
        Ok(())
    }

    fn sync(&mut self, registry: &mut Registry, now_ms: u64, heard: Vec<sync::Heard>) {
        let response = self.ask(registry, now_ms, heard);
        self.take(now_ms, response).expect("a fitting answer");
    }
}

fn answer(registry: &mut Registry, now_ms: u64, request: sync::Request) -> sync::Response {
    let intent = intent::Intent::default();
    let current = Configuration {
        revision: 1,
        intent: &intent,
    };
    registry.sync(now_ms, request, current).expect("newest")
}

fn leader(now_ms: u64, term: u64) -> Registry {
    let mut registry = Registry::default();
    registry.reset(now_ms, term);
    registry
}

/// Guards against renewals, profiles, peers or owners that an answer that was
/// lost takes with it.
#[test]
fn a_lost_answer_is_made_up_for() {
    let mut registry = leader(0, 1);
    let (mut one, mut two) = (Entry::new("one"), Entry::new("two"));
    one.sync(&mut registry, 10_000, vec![heard("a", 1, 0)]);
    let mut changed = heard("a", 2, 0);
    changed.announcement.capacity = 16;
    two.sync(&mut registry, 10_500, vec![changed, heard("b", 1, 0)]);
    let lost = one.ask(&mut registry, 10_600, Vec::new());
    assert_eq!(lost.backends.len(), 2);
    two.sync(&mut registry, 11_500, vec![heard("b", 2, 40)]);
    let answer = one.ask(&mut registry, 11_600, Vec::new());
    assert!(!answer.whole);
    assert_eq!(answer.backends.len(), 2);
    one.take(11_600, answer).expect("a fitting answer");
    // 40 ms, and one each for the rounding and the drift of the clocks.
    assert_eq!(one.proofs["b"], (2, 11_458));
    assert_eq!(one.peers.len(), 1);
    assert_eq!(one.owners, two.owners);
    assert_eq!(one.owners.len(), 2);
    // Nothing new makes an answer without lists.
    let quiet = one.ask(&mut registry, 11_650, Vec::new());
    assert!(quiet.backends.is_empty() && quiet.peers.is_none() && quiet.owners.is_none());
    assert_eq!(quiet.renewals.unpack(), Ok(Vec::new()));
}

/// Guards against a renewal that repeats the profile, and against one with the
/// number or age of another.
#[test]
fn an_unchanged_profile_is_only_renewed() {
    let mut registry = leader(0, 1);
    let (mut one, mut two) = (Entry::new("one"), Entry::new("two"));
    one.sync(
        &mut registry,
        10_000,
        vec![heard("a", 5, 0), heard("b", 9, 0)],
    );
    // The second entry VM joins when the numbers have moved on.
    one.sync(&mut registry, 11_000, vec![heard("a", 6, 30)]);
    two.sync(&mut registry, 11_100, Vec::new());
    one.sync(
        &mut registry,
        12_000,
        vec![heard("a", 7, 0), heard("b", 11, 150)],
    );
    let answer = two.ask(&mut registry, 12_000, Vec::new());
    assert!(answer.backends.is_empty());
    two.take(12_000, answer).expect("a fitting answer");
    // Ages of 2 and 152 ms, rounded up to the unit of 100 ms.
    assert_eq!(two.proofs["a"], (7, 11_900));
    assert_eq!(two.proofs["b"], (11, 11_800));
}

/// Guards against slots and versions of one leader that are read by another.
#[test]
fn a_new_leader_answers_whole() {
    let mut entry = Entry::new("one");
    let mut registry = leader(0, 1);
    entry.sync(
        &mut registry,
        10_000,
        vec![heard("a", 1, 0), heard("b", 1, 0)],
    );
    let mut next = leader(9_900, 2);
    let mut other = Entry::new("two");
    for step in 0..4 {
        other.sync(&mut next, 10_000 + step, vec![heard("b", 2, 0)]);
    }
    let answer = entry.ask(&mut next, 10_100, Vec::new());
    assert!(answer.whole);
    entry.take(10_100, answer).expect("a fitting answer");
    assert!(
        entry.owners.is_empty(),
        "leases of the previous leader may run"
    );
    other.sync(&mut next, 11_000, vec![heard("b", 3, 0)]);
    entry.sync(&mut next, 11_000, Vec::new());
    assert_eq!(entry.proofs["b"], (3, 10_900));
    // It was told in the first exchange, which the leader could not date.
    assert_eq!(
        entry.proofs["a"],
        (1, 10_000 - sync::UNKNOWN_TIME_MIN_AGE_MS)
    );
    // A restarted entry VM knows the term from nobody.
    let restarted = Entry::new("three").ask(&mut next, 11_100, Vec::new());
    assert!(restarted.whole);
    // A version that the leader never gave is not built upon.
    entry.table += 1_000;
    assert!(entry.ask(&mut next, 11_200, Vec::new()).whole);
}

/// Guards against renewals of one backend server that count for another, and
/// against one that comes back without its profile.
#[test]
fn a_removed_backend_server_frees_no_slot() {
    let mut registry = leader(0, 1);
    let (mut one, mut two) = (Entry::new("one"), Entry::new("two"));
    one.sync(
        &mut registry,
        10_000,
        vec![heard("a", 1, 0), heard("b", 1, 0)],
    );
    let before = one
        .listing
        .apply(&one.ask(&mut registry, 10_000, Vec::new()));
    assert!(before.is_ok());
    for step in 1..=62 {
        let now_ms = 10_000 + step * 500;
        two.sync(&mut registry, now_ms, vec![heard("b", 1 + step, 0)]);
    }
    let answer = one.ask(&mut registry, 41_100, vec![heard("c", 1, 0)]);
    assert_eq!(answer.removed.len(), 1);
    assert!(
        !answer
            .backends
            .iter()
            .any(|listed| answer.removed.contains(&listed.slot))
    );
    one.take(41_100, answer).expect("a fitting answer");
    assert_eq!(one.proofs["a"], (1, 10_000 - sync::UNKNOWN_TIME_MIN_AGE_MS));
    assert_eq!(one.proofs["b"].0, 63);
    one.sync(&mut registry, 41_200, vec![heard("a", 2, 0)]);
    two.sync(&mut registry, 41_200, Vec::new());
    assert_eq!(two.proofs["a"], (2, 41_198));
}

/// Guards against new work for a backend server whose last proof is older than
/// an entry VM computes, over delays, lost answers and copies of one renewal.
#[test]
fn no_age_is_younger_than_the_truth() {
    let mut registry = leader(0, 1);
    let mut entries = [Entry::new("one"), Entry::new("two"), Entry::new("three")];
    let mut made = collections::BTreeMap::new();
    let mut random: u64 = 7;
    let mut next = |below: u64| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random >> 33) % below
    };
    for step in 0..2_000_u64 {
        let now_ms = 10_000 + step * 167;
        let backend = ["a", "b", "c"][next(3) as usize];
        let delay_ms = next(90);
        let sequence = 1 + step;
        made.insert((Name::from(backend), sequence), now_ms - delay_ms);
        let report = vec![heard(backend, sequence, delay_ms + next(50))];
        let entry = &mut entries[next(3) as usize];
        let answer = entry.ask(&mut registry, now_ms, report);
        if next(4) > 0 {
            // The answer was written after the request was sent.
            let sent_ms = now_ms - next(160);
            entry.take(sent_ms, answer).expect("a fitting answer");
        }
        for (id, (sequence, proof_ms)) in &entry.proofs {
            let truth_ms = made[&(id.clone(), *sequence)];
            assert!(
                *proof_ms <= truth_ms,
                "{id} {sequence} {proof_ms} {truth_ms}"
            );
        }
    }
}

/// Guards against renewals that are still sent in full, and against counts by
/// name, for backend servers that the leader has listed.
#[test]
fn listed_backend_servers_are_named_by_slot() {
    let mut registry = leader(0, 1);
    let mut one = Entry::new("one");
    one.sync(&mut registry, 10_000, vec![heard("a", 1, 0)]);
    let renewed = one.request(10_500, vec![heard("a", 2, 0), heard("b", 1, 0)]);
    assert_eq!(renewed.heard.len(), 1, "only the new one");
    assert_eq!(renewed.renewals.unpack().map(|all| all.len()), Ok(1));
    assert_eq!(renewed.online.unpack().map(|all| all.len()), Ok(1));
    assert!(renewed.online_unlisted.is_empty());
    let mut changed = heard("a", 3, 0);
    changed.announcement.state = backend::State::Leaving;
    let changed = one.request(10_600, vec![changed]);
    assert_eq!(
        (changed.heard.len(), changed.renewals.is_empty()),
        (1, true)
    );
    // A load that matters goes with the slot and reaches the others.
    let mut busy = heard("a", 4, 0);
    busy.announcement.load.running = 7;
    one.sync(&mut registry, 10_700, vec![busy]);
    let mut two = Entry::new("two");
    two.sync(&mut registry, 10_800, Vec::new());
    let known = registry.backend(&"a".into()).expect("known");
    assert_eq!(
        (known.announcement.sequence, known.announcement.load.running),
        (4, 7)
    );
}

/// What happens in one step of a run.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// A backend server's next announcement is heard.
    Announce { backend: usize, entry: usize },
    /// An entry VM sends a request, also if the last one is not answered yet,
    /// which it has given up then.
    Send {
        entry: usize,
        up_ms: u64,
        down_ms: u64,
        fate: Fate,
    },
    /// A leader with another clock takes over; requests under way reach it.
    Change,
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    RequestLost,
    ResponseLost,
    /// The request arrives once more this much later.
    Doubled(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let delay = || prop_oneof![0..20_u64, 0..400_u64, 0..4_000_u64];
    let fate = prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::RequestLost),
        1 => Just(Fate::ResponseLost),
        2 => (0..4_000_u64).prop_map(Fate::Doubled),
    ];
    let send = (0..3_usize, delay(), delay(), fate);
    prop_oneof![
        6 => prop_oneof![0..100_u64, 0..900_u64].prop_map(Step::Wait),
        6 => (0..2_usize, 0..3_usize).prop_map(|(backend, entry)| Step::Announce { backend, entry }),
        6 => send.prop_map(|(entry, up_ms, down_ms, fate)| Step::Send { entry, up_ms, down_ms, fate }),
        1 => Just(Step::Change),
    ]
}

/// Something that is under way, by the time of its arrival and its number.
enum Parcel {
    Request {
        entry: usize,
        number: u64,
        sent_ms: u64,
        request: Box<sync::Request>,
        down_ms: Option<u64>,
    },
    Response {
        entry: usize,
        number: u64,
        sent_ms: u64,
        response: Box<sync::Response>,
    },
}

/// A leader and three entry VMs on a network that delays, loses, doubles and
/// reorders, with clocks that have nothing in common.
struct Run {
    now_ms: u64,
    term: u64,
    /// What the leader's clock is behind the time of the run.
    leader_behind_ms: u64,
    registry: Registry,
    entries: [Entry; 3],
    /// What entry VMs heard and have not reported, and the newest of all.
    unreported: [Vec<(backend::Announcement, u64)>; 3],
    known: [collections::BTreeMap<Name, (backend::Announcement, u64)>; 3],
    /// The number of the request whose response is still awaited.
    awaited: [u64; 3],
    full: [bool; 3],
    last: u64,
    sequence: u64,
    /// When each announcement was heard.
    truth: collections::BTreeMap<(Name, u64), u64>,
    parcels: collections::BTreeMap<(u64, u64), Parcel>,
    /// Proofs that were young enough to be used, so that the run says something.
    used: u64,
}

/// Clocks of entry VMs are this much ahead of the time of the run.
const AHEAD_MS: [u64; 3] = [3_600_000, 7_000_000, 3_000];

impl Run {
    fn new() -> Run {
        Run {
            now_ms: 1_000_000,
            term: 1,
            leader_behind_ms: 999_990,
            registry: leader(0, 1),
            entries: [Entry::new("one"), Entry::new("two"), Entry::new("three")],
            unreported: Default::default(),
            known: Default::default(),
            awaited: [0; 3],
            full: [true; 3],
            last: 0,
            sequence: 0,
            truth: collections::BTreeMap::new(),
            parcels: collections::BTreeMap::new(),
            used: 0,
        }
    }

    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Wait(duration_ms) => self.wait(duration_ms),
            Step::Announce { backend, entry } => {
                self.sequence += 1;
                let id = ["a", "b"][backend];
                let announcement = heard(id, self.sequence, 0).announcement;
                self.truth.insert((id.into(), self.sequence), self.now_ms);
                let heard = (announcement, self.now_ms);
                self.known[entry].insert(id.into(), heard.clone());
                self.unreported[entry].push(heard);
            }
            Step::Send {
                entry,
                up_ms,
                down_ms,
                fate,
            } => self.send(entry, up_ms, down_ms, fate),
            Step::Change => {
                self.term += 1;
                // Its process has just started, so that its clock is near zero.
                self.leader_behind_ms = self.now_ms - 5;
                self.registry = leader(5, self.term);
            }
        }
        self.check();
    }

    fn wait(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while let Some(next) = self.parcels.first_entry()
            && next.key().0 <= until_ms
        {
            self.now_ms = self.now_ms.max(next.key().0);
            let parcel = next.remove();
            self.deliver(parcel);
            self.check();
        }
        self.now_ms = until_ms;
    }

    fn send(&mut self, entry: usize, up_ms: u64, down_ms: u64, fate: Fate) {
        let own_ms = self.now_ms + AHEAD_MS[entry];
        let reported = match self.full[entry] {
            true => self.known[entry].values().cloned().collect(),
            false => self.unreported[entry].clone(),
        };
        let heard = reported
            .into_iter()
            .map(|(announcement, at_ms)| sync::Heard {
                announcement,
                age_ms: self.now_ms - at_ms,
            });
        let request = self.entries[entry].request(own_ms, heard.collect());
        let number = self.number();
        self.awaited[entry] = number;
        let parcel = |down_ms: Option<u64>| Parcel::Request {
            entry,
            number,
            sent_ms: own_ms,
            request: Box::new(request.clone()),
            down_ms,
        };
        let arrives_ms = self.now_ms + up_ms;
        let first = match fate {
            Fate::RequestLost => None,
            Fate::ResponseLost => Some(parcel(None)),
            Fate::Answered | Fate::Doubled(_) => Some(parcel(Some(down_ms))),
        };
        if let Some(first) = first {
            self.parcels.insert((arrives_ms, number), first);
        }
        if let Fate::Doubled(later_ms) = fate {
            let again = parcel(Some(down_ms));
            let number = self.number();
            self.parcels.insert((arrives_ms + later_ms, number), again);
        }
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Request {
                entry,
                number,
                sent_ms,
                request,
                down_ms,
            } => {
                let leader_ms = self.now_ms - self.leader_behind_ms;
                let response = Box::new(answer(&mut self.registry, leader_ms, *request));
                let Some(down_ms) = down_ms else {
                    return;
                };
                let response = Parcel::Response {
                    entry,
                    number,
                    sent_ms,
                    response,
                };
                let number = self.number();
                self.parcels
                    .insert((self.now_ms + down_ms, number), response);
            }
            Parcel::Response {
                entry,
                number,
                sent_ms,
                response,
            } => self.take(entry, number, sent_ms, *response),
        }
    }

    /// Takes a response, unless its request was given up or was answered.
    fn take(&mut self, entry: usize, number: u64, sent_ms: u64, response: sync::Response) {
        if self.awaited[entry] != number {
            return;
        }
        self.awaited[entry] = 0;
        let reported = |at_ms: &u64| at_ms + AHEAD_MS[entry] <= sent_ms;
        self.unreported[entry].retain(|(_, at_ms)| !reported(at_ms));
        let own_ms = self.now_ms + AHEAD_MS[entry];
        let term_changed = response.leader_term != self.entries[entry].term;
        self.full[entry] = term_changed || response.report_all;
        let taken = self.entries[entry].take_at(sent_ms, own_ms, response);
        assert_eq!(taken, Ok(()));
    }

    /// No proof looks younger than it is, at the leader or at an entry VM.
    fn check(&mut self) {
        let leader_ms = self.now_ms - self.leader_behind_ms;
        let mut claims = Vec::new();
        for known in self.registry.backends() {
            let announced = &known.announcement;
            let age_ms = known.renewed.age_ms(leader_ms);
            claims.push(("leader", announced.id.clone(), announced.sequence, age_ms));
        }
        for (entry, ahead_ms) in self.entries.iter().zip(AHEAD_MS) {
            for (id, (sequence, proof_ms)) in &entry.proofs {
                let age_ms = (self.now_ms + ahead_ms).saturating_sub(*proof_ms);
                claims.push((entry.name, id.clone(), *sequence, age_ms));
            }
        }
        for (place, id, sequence, age_ms) in claims {
            let truth_ms = self.now_ms - self.truth[&(id.clone(), sequence)];
            // What is too old for a proof need not be exact.
            let proof = age_ms < backend::PROOF_MAX_AGE_MS;
            self.used += u64::from(proof);
            assert!(
                !proof || age_ms >= truth_ms,
                "{place} takes {id} {sequence} for {age_ms} ms old, it is {truth_ms}"
            );
        }
    }
}

/// Guards against a proof of not leaving that looks younger than it is when
/// requests and responses are delayed, lost, doubled or reordered, also across
/// leader changes.
#[test]
fn no_delay_makes_a_proof_younger() {
    const SEED: u64 = 20_261_204;
    println!("seed {SEED}");
    let config = ProptestConfig {
        cases: 400,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let used = cell::Cell::new(0);
    let steps = proptest::collection::vec(step(), 1..150);
    let result = test_runner::TestRunner::new(config).run(&steps, |steps| {
        let mut run = Run::new();
        for step in steps {
            run.step(step);
        }
        used.set(used.get() + run.used);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    println!("{} young proofs checked", used.get());
    assert!(used.get() > 10_000, "hardly any proof was young");
}
