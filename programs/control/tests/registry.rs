//! Tests configuration leases, announcements and batch ownership in the registry.

use std::collections;

use bw_control::registry::{Configuration, Registry, Replaced};
use bw_wire::{backend, intent, name::Name, renewal, sync};

const LEASE_MS: u64 = sync::CONFIG_LEASE_MS;

fn request(entry: &str, incarnation: u64, revision: u64) -> sync::Request {
    sync::Request {
        entry: entry.into(),
        incarnation,
        failure_domain: "z".into(),
        peer_address: "127.0.0.1:9".into(),
        revision,
        leader_term: 1,
        table: 0,
        clock_ms: None,
        heard: Vec::new(),
        renewals: renewal::Reports::default(),
        online: renewal::Counts::default(),
        online_unlisted: collections::BTreeMap::new(),
        draining: false,
    }
}

/// Returns an announcement that was received `age_ms` before the arrival of the
/// response that the request refers to.
fn heard(id: &str, sequence: u64, age_ms: i64) -> sync::Dated {
    sync::Dated {
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
        at_ms: -age_ms,
    }
}

/// Returns a request that refers to a response written at `clock_ms`, which arrived
/// without delay.
fn with_clock(request: sync::Request, clock_ms: u64) -> sync::Request {
    sync::Request {
        leader_term: 2,
        clock_ms: Some(clock_ms),
        ..request
    }
}

fn sync_at(registry: &mut Registry, now_ms: u64, request: sync::Request) -> sync::Response {
    let intent = intent::Intent::default();
    let configuration = Configuration {
        revision: 7,
        intent: &intent,
    };
    registry
        .sync(now_ms, request, configuration)
        .expect("newest process")
}

fn owners(response: &sync::Response) -> &collections::BTreeMap<Name, Name> {
    response.owners.as_ref().expect("a whole answer")
}

fn peers(response: &sync::Response) -> &[sync::Peer] {
    response.peers.as_ref().expect("a whole answer")
}

fn online(response: &sync::Response) -> collections::BTreeMap<Name, u32> {
    let counts = response.online.unpack().expect("well-formed counts");
    let id = |slot: u32| {
        let mut listed = response.backends.iter();
        let listed = listed.find(|listed| listed.slot == slot);
        listed.expect("a listed slot").heard.announcement.id.clone()
    };
    counts
        .into_iter()
        .map(|(slot, count)| (id(slot), count))
        .collect()
}

/// Guards against reporting a revision as in force while an entry VM may still use an
/// older one.
#[test]
fn a_revision_is_in_force_once_every_lease_carries_it() {
    let mut registry = Registry::default();
    registry.reset(1_000, 3);
    sync_at(&mut registry, 1_500, request("a", 1, 7));
    // Entry VMs that only the previous leader knows may still hold leases.
    assert!(!registry.in_force(1_500, 7, 7).everywhere);
    let later = 1_000 + LEASE_MS + 200;
    sync_at(&mut registry, later, request("a", 1, 7));
    assert!(registry.in_force(later, 7, 7).everywhere);
    let response = sync_at(&mut registry, later, request("b", 1, 6));
    assert!(response.intent.is_some());
    let status = registry.in_force(later + 10, 7, 7);
    assert_eq!(
        (status.everywhere, status.waiting_for),
        (false, vec!["b".into()])
    );
    // An entry VM without contact stops by itself when its lease ends.
    assert!(registry.in_force(later + LEASE_MS + 200, 7, 7).everywhere);
    // A revision that does not exist yet is not in force.
    assert!(!registry.in_force(later + LEASE_MS + 200, 8, 7).everywhere);
}

/// Guards against a first leader that waits for leases although there was no previous
/// leader.
#[test]
fn the_first_leader_ever_does_not_wait() {
    let mut registry = Registry::default();
    registry.reset(1_000, 1);
    let mut report = request("a", 1, 7);
    report.heard = vec![heard("e", 1, 0)];
    let response = sync_at(&mut registry, 1_500, report);
    assert_eq!(owners(&response).len(), 1);
    assert!(registry.in_force(1_500, 7, 7).everywhere);
}

/// Guards against dropping an older process that still holds a lease.
#[test]
fn the_lease_of_an_older_process_is_waited_for() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    sync_at(&mut registry, 10_000, request("a", 1, 6));
    sync_at(&mut registry, 10_100, request("a", 2, 7));
    assert_eq!(
        registry.in_force(10_200, 7, 7).waiting_for,
        [Name::from("a")]
    );
    let intent = intent::Intent::default();
    let configuration = Configuration {
        revision: 7,
        intent: &intent,
    };
    let late = registry.sync(10_300, request("a", 1, 7), configuration);
    assert_eq!(late, Err(Replaced));
    assert!(registry.in_force(10_000 + LEASE_MS + 200, 7, 7).everywhere);
}

/// Guards against two owners of one backend server.
#[test]
fn ownership_moves_only_after_the_old_lease() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let mut first = request("a", 1, 7);
    first.heard = (0..32)
        .map(|number| heard(&format!("e{number}"), 1, 0))
        .collect();
    let response = sync_at(&mut registry, 2_000, first.clone());
    assert!(
        owners(&response).is_empty(),
        "leases of the previous leader may run"
    );
    let response = sync_at(&mut registry, 10_000, first);
    assert!(
        owners(&response)
            .values()
            .all(|owner| owner.as_str() == "a")
    );
    let response = sync_at(&mut registry, 10_100, request("b", 1, 7));
    let kept = owners(&response).len();
    assert!(
        kept < 32
            && owners(&response)
                .values()
                .all(|owner| owner.as_str() == "a")
    );
    // `a` stays silent. `b` gets its backend servers only after the lease has ended.
    let response = sync_at(&mut registry, 10_000 + LEASE_MS, request("b", 1, 7));
    assert!(
        owners(&response)
            .values()
            .all(|owner| owner.as_str() == "a")
    );
    let response = sync_at(&mut registry, 10_300 + LEASE_MS, request("b", 1, 7));
    assert_eq!(owners(&response).len(), 32);
    assert!(
        owners(&response)
            .values()
            .all(|owner| owner.as_str() == "b")
    );
}

/// Guards against an entry VM that gets batch work while it shuts down.
#[test]
fn a_draining_entry_vm_owns_nothing() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let mut draining = request("a", 1, 7);
    draining.heard = vec![heard("e", 1, 0)];
    draining.draining = true;
    let response = sync_at(&mut registry, 10_000, draining);
    assert!(owners(&response).is_empty());
}

/// Guards against an older announcement that arrives late and makes a leaving backend
/// server ready again.
#[test]
fn the_newest_announcement_counts() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let mut newer = heard("e", 5, 100);
    newer.announcement.state = backend::State::Leaving;
    let mut report = with_clock(request("a", 1, 7), 10_000);
    report.heard = vec![newer, heard("e", 4, 0)];
    let response = sync_at(&mut registry, 10_000, report);
    assert_eq!(
        response.backends[0].heard.announcement.state,
        backend::State::Leaving
    );
    // The additional millisecond allows for clock drift.
    assert_eq!(response.backends[0].heard.age_ms, 101);
    // A further copy of the same announcement does not count as a renewal.
    let mut again = with_clock(request("b", 1, 7), 11_000);
    again.heard = vec![heard("e", 5, 0)];
    let response = sync_at(&mut registry, 11_000, again);
    assert_eq!(response.backends[0].heard.age_ms, 1_101);
}

/// Guards against counts that include the requesting entry VM or one without a lease.
#[test]
fn online_counts_are_those_of_other_entry_vms_with_a_lease() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    for (entry, count) in [("a", 1), ("b", 10), ("c", 100)] {
        let mut report = request(entry, 1, 7);
        report.heard = vec![heard("e", 1, 0)];
        report.online_unlisted.insert("e".into(), count);
        sync_at(&mut registry, 10_000, report);
    }
    let response = sync_at(&mut registry, 10_500, request("a", 1, 7));
    assert_eq!(online(&response).get("e"), Some(&110));
    assert_eq!(peers(&response).len(), 2);
    let response = sync_at(&mut registry, 10_500 + LEASE_MS, request("a", 1, 7));
    assert_eq!(online(&response).get("e"), None);
    assert!(peers(&response).is_empty());
}

/// Guards against a young age for an announcement whose time the leader does not know,
/// because its request may have been delayed. It would prove that the backend server is
/// not leaving.
#[test]
fn an_announcement_of_unknown_time_is_listed_but_proves_nothing() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let age = |response: &sync::Response| response.backends[0].heard.age_ms;
    let mut first = request("a", 1, 7);
    first.heard = vec![heard("e", 1, 0)];
    let response = sync_at(&mut registry, 1_000, first.clone());
    assert!(age(&response) >= backend::PROOF_MAX_AGE_MS);
    assert!(response.report_all, "the times are requested");
    // The clock value of another leader is ignored.
    let mut foreign = with_clock(first.clone(), 900);
    foreign.leader_term = 1;
    let response = sync_at(&mut registry, 1_100, foreign);
    assert!(age(&response) >= backend::PROOF_MAX_AGE_MS);
    // A clock value in the future is ignored as well.
    let response = sync_at(&mut registry, 1_200, with_clock(first.clone(), 1_201));
    assert!(age(&response) >= backend::PROOF_MAX_AGE_MS);
    let response = sync_at(&mut registry, 1_300, with_clock(first.clone(), 1_000));
    assert_eq!(age(&response), 300);
    // A copy with unknown time from another entry VM does not make the time unknown.
    let mut copy = request("b", 1, 7);
    copy.heard = vec![heard("e", 1, 0)];
    let response = sync_at(&mut registry, 1_400, copy);
    assert_eq!(age(&response), 400);
}

/// Guards against an announcement from before the start of the leader's process whose
/// age is limited to the age of that process.
#[test]
fn ages_may_exceed_the_time_since_the_start() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let mut report = with_clock(request("a", 1, 7), 100);
    report.heard = vec![heard("e", 1, 2_500)];
    let response = sync_at(&mut registry, 200, report);
    assert!(response.backends[0].heard.age_ms >= 2_600);
}

/// Guards against a renewal by slot that renews a profile which the entry VM does not
/// know, or another backend server.
#[test]
fn renewals_by_slot_need_the_profile_of_their_table() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let mut report = with_clock(request("a", 1, 7), 10_000);
    report.heard = vec![heard("e", 1, 0), heard("f", 1, 0)];
    let whole = sync_at(&mut registry, 10_000, report);
    let slot = |id: &str| {
        let mut listed = whole.backends.iter();
        let listed = listed.find(|listed| listed.heard.announcement.id.as_str() == id);
        listed.expect("listed").slot
    };
    let by_slot = |table: u64, sequence: u64, at_ms: i64| {
        let renewal = renewal::Report::new(slot("e"), sequence, at_ms, None);
        sync::Request {
            table,
            renewals: renewal::Reports::new(vec![renewal]),
            ..with_clock(request("a", 1, 7), 10_000)
        }
    };
    let known = |registry: &Registry, id: &str, now_ms: u64| {
        let backend = registry.backend(&id.into()).expect("known");
        let age_ms = backend.renewed.age_ms(now_ms);
        (backend.announcement.sequence, age_ms)
    };
    let renewed = sync_at(&mut registry, 11_000, by_slot(whole.table, 2, 900));
    assert!(!renewed.report_all);
    assert_eq!(known(&registry, "e", 11_000), (2, 101));
    assert_eq!(known(&registry, "f", 11_000), (1, 1_000));
    // Another entry VM reports that the backend server is loading, so that the profile
    // that `a` knows is out of date.
    let mut loading = heard("e", 3, 0);
    loading.announcement.state = backend::State::Loading;
    let mut other = with_clock(request("b", 1, 7), 11_500);
    other.heard = vec![loading];
    sync_at(&mut registry, 11_500, other);
    sync_at(&mut registry, 12_000, by_slot(renewed.table, 4, 1_900));
    assert_eq!(known(&registry, "e", 12_000), (3, 500));
    // Slots that refer to an unknown table version are ignored.
    let unknown = sync_at(&mut registry, 12_100, by_slot(9_999, 9, 2_000));
    assert!(unknown.report_all && unknown.whole);
    assert_eq!(known(&registry, "e", 12_100).0, 3);
}

/// Guards against a large fleet, such as 370 entry VMs, that syncs at the interval of a
/// small one.
#[test]
fn the_interval_follows_the_number_of_entry_vms() {
    let mut registry = Registry::default();
    registry.reset(0, 2);
    let mut intervals = Vec::new();
    for number in 0..66 {
        let report = request(&format!("entry-{number}"), 1, 7);
        intervals.push(sync_at(&mut registry, 10_000, report).interval_ms);
    }
    assert_eq!(intervals[..64], [500; 64]);
    assert_eq!(intervals[64..], [1_000; 2]);
    let response = sync_at(&mut registry, 15_000, request("entry-1", 1, 7));
    assert_eq!(
        response.interval_ms, 500,
        "the leases of the others have ended"
    );
}
