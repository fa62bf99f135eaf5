//! The table of backend servers between the leader's registry and the listing
//! of an entry VM.

use std::collections;

use bw_control::registry::{Current, Registry};
use bw_entry::controller::listing::{Listing, Unknown};
use bw_wire::{backend, intent, name::Name, sync};

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
            listing: Listing::default(),
            peers: Vec::new(),
            owners: collections::BTreeMap::new(),
            proofs: collections::BTreeMap::new(),
        }
    }

    fn ask(&self, registry: &mut Registry, now_ms: u64, heard: Vec<sync::Heard>) -> sync::Response {
        let intent = intent::Intent::default();
        let current = Current {
            revision: 1,
            intent: &intent,
        };
        let request = sync::Request {
            entry: self.name.into(),
            incarnation: 1,
            failure_domain: "z".into(),
            peer_address: "127.0.0.1:9".into(),
            revision: 1,
            leader_term: self.term,
            table: self.table,
            heard,
            online: [("a".into(), 3)].into(),
            draining: false,
        };
        registry.sync(now_ms, request, current).expect("newest")
    }

    fn take(&mut self, sent_ms: u64, response: sync::Response) -> Result<(), Unknown> {
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
    assert_eq!(one.proofs["b"], (2, 11_460));
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
        vec![heard("a", 7, 0), heard("b", 11, 50)],
    );
    let answer = two.ask(&mut registry, 12_000, Vec::new());
    assert!(answer.backends.is_empty());
    two.take(12_000, answer).expect("a fitting answer");
    assert_eq!(two.proofs["a"], (7, 12_000));
    assert_eq!(two.proofs["b"], (11, 11_900));
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
    assert_eq!(entry.proofs["b"], (3, 11_000));
    assert_eq!(entry.proofs["a"], (1, 10_000));
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
    assert_eq!(one.proofs["a"], (1, 10_000));
    assert_eq!(one.proofs["b"].0, 63);
    one.sync(&mut registry, 41_200, vec![heard("a", 2, 0)]);
    two.sync(&mut registry, 41_200, Vec::new());
    assert_eq!(two.proofs["a"], (2, 41_200));
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
