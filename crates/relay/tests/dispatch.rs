//! Batch items beside online requests.

mod support;

use bw_relay::{
    dispatch::{
        Action, Dispatcher, EVICTION_MS, Key, Options, Outcome, Reason, Server, Start, Survey,
    },
    ledger::{Command, End, Job, Ledger, NewItem, NewJob},
    route,
};
use rstest::rstest;
use support::work::{self, progress};

const SLOTS: u32 = 4;

fn job(ledger: &mut Ledger, id: &str, items: usize, complete_ms: u64) -> Job {
    let items = (0..items).map(|index| NewItem {
        id: format!("{id}-{index}").as_str().into(),
        path: "/p/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 10,
    });
    ledger.execute(Command::Submit(Box::new(NewJob {
        id: id.into(),
        route: route::Key {
            host: "a.example".into(),
            prefix: "/p/".into(),
        },
        submitted_ms: 0,
        complete_ms,
        give_up_ms: 60_000,
        attempts: 3,
        items: items.collect(),
    })));
    ledger.jobs()[id].clone()
}

fn dispatch(items: usize) -> Dispatcher {
    let options = Options {
        reserve: 1,
        ..Options::default()
    };
    let mut dispatch = Dispatcher::new(options);
    let job = job(&mut Ledger::default(), "job", items, 18_000);
    dispatch.add(&"job".into(), &job);
    dispatch
}

fn routes() -> route::Table {
    work::routes(60_000)
}

fn servers(online: &[u32]) -> Vec<Server> {
    let numbered = online.iter().enumerate();
    numbered
        .map(|(index, online)| Server {
            id: format!("s{index}").as_str().into(),
            address: "10.0.0.1:80".into(),
            service: "desk".into(),
            slots: SLOTS,
            online: *online,
        })
        .collect()
}

fn starts(actions: &[Action]) -> Vec<Start> {
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.clone()),
        _ => None,
    });
    starts.collect()
}

fn preempted(actions: &[Action]) -> Vec<Key> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::Preempt(key) => Some(key.clone()),
        _ => None,
    });
    keys.collect()
}

#[test]
fn items_take_only_slots_that_online_requests_leave_free() {
    let mut dispatch = dispatch(20);
    let actions = dispatch.plan(&servers(&[0, 2, 4]), &routes(), 0);
    // One slot of each backend server is kept in reserve.
    let on = |id: &str| {
        starts(&actions)
            .iter()
            .filter(|start| &*start.server == id)
            .count()
    };
    assert_eq!((on("s0"), on("s1"), on("s2")), (3, 1, 0));
}

/// Replays an online peak: the items that started last give way, keep what they
/// produced and go on where there is room again.
#[test]
fn a_peak_takes_slots_back_and_loses_nothing() {
    let mut dispatch = dispatch(3);
    let routes = routes();
    let started = starts(&dispatch.plan(&servers(&[0]), &routes, 0));
    assert_eq!(started.len(), 3);
    let keys = preempted(&dispatch.plan(&servers(&[3]), &routes, 50));
    assert_eq!(keys, [started[2].key.clone(), started[1].key.clone()]);
    let none = dispatch.plan(&servers(&[3]), &routes, 100);
    assert!(none.is_empty(), "a run is stopped once: {none:?}");
    for key in &keys {
        assert_eq!(dispatch.ended(key, Outcome::Broken(progress(7)), 120), None);
    }
    // The peak has not ended because one slot is free.
    let early = dispatch.plan(&servers(&[0]), &routes, 150);
    assert!(early.is_empty(), "{early:?}");
    let after_ms = 50 + Options::default().evicted_ms;
    let resumed = starts(&dispatch.plan(&servers(&[0]), &routes, after_ms));
    let lasts: Vec<u64> = resumed.iter().map(|start| start.progress.last).collect();
    assert_eq!(lasts, [7, 7]);
}

/// Guards against items that are started into each gap of a peak: in scale-2 of the
/// grown third site 5,581 of 6,600 runs were stopped, after half a second each, and
/// what it cost to start them again was a sixth of what items had.
#[test]
fn a_backend_server_that_took_a_slot_back_gets_no_items_for_a_while() {
    let mut dispatch = Dispatcher::new(Options::default());
    let job = job(&mut Ledger::default(), "job", 3, 18_000);
    dispatch.add(&"job".into(), &job);
    let routes = routes();
    assert_eq!(
        starts(&dispatch.plan(&servers(&[0, 4]), &routes, 0)).len(),
        3
    );
    let mut runs = 0;
    // Online requests come and go every 50 ms.
    for now_ms in (50..=450_u64).step_by(50) {
        let online = [3 - (now_ms / 50 % 2) as u32, 4];
        let actions = dispatch.plan(&servers(&online), &routes, now_ms);
        runs += starts(&actions).len();
        for key in preempted(&actions) {
            dispatch.ended(&key, Outcome::Broken(progress(7)), now_ms);
        }
    }
    assert!(runs <= 2, "{runs} starts in a peak");
    // Another backend server with a free slot takes an item at once.
    let elsewhere = starts(&dispatch.plan(&servers(&[4, 0]), &routes, 460));
    assert!(elsewhere.iter().all(|start| &*start.server == "s1"));
    assert!(!elsewhere.is_empty());
}

#[test]
fn the_job_that_is_due_first_runs_first() {
    let mut ledger = Ledger::default();
    let mut dispatch = Dispatcher::new(Options::default());
    for (id, due) in [("late", 30_000), ("early", 10_000)] {
        let job = job(&mut ledger, id, 3, due);
        dispatch.add(&id.into(), &job);
    }
    let started = starts(&dispatch.plan(&servers(&[0]), &routes(), 0));
    let jobs: Vec<&str> = started.iter().map(|start| &*start.key.job).collect();
    assert_eq!(jobs, ["early", "early", "early", "late"]);
}

#[test]
fn a_complete_run_ends_an_item_once() {
    let mut dispatch = dispatch(1);
    let start = starts(&dispatch.plan(&servers(&[0]), &routes(), 0)).remove(0);
    let ended = dispatch.ended(&start.key, Outcome::Completed(progress(2)), 10);
    assert_eq!(ended, Some((End::Completed, progress(2).unsaved())));
    let again = dispatch.ended(&start.key, Outcome::Completed(progress(3)), 11);
    assert_eq!(again, None);
    assert!(dispatch.plan(&servers(&[0]), &routes(), 10_000).is_empty());
    dispatch.recorded(&start.key);
    assert_eq!(dispatch.open_items(), 0);
}

#[rstest]
#[case::impossible(vec![Outcome::Impossible], Some(1))]
#[case::failed(vec![Outcome::Failed(progress(0)); 3], Some(3))]
#[case::broken(vec![Outcome::Broken(progress(0)); 9], None)]
#[case::not_run(vec![Outcome::NotRun(progress(0)); 9], None)]
fn only_what_the_backend_server_says_ends_an_item(
    #[case] outcomes: Vec<Outcome>,
    #[case] expected_runs: Option<usize>,
) {
    let mut dispatch = dispatch(1);
    let mut now_ms = 0;
    let mut given_up = None;
    for (index, outcome) in outcomes.into_iter().enumerate() {
        now_ms += 3_000;
        let Some(start) = starts(&dispatch.plan(&servers(&[0, 0]), &routes(), now_ms)).pop() else {
            // A suspect waits for longer.
            continue;
        };
        if let Some((end, _)) = dispatch.ended(&start.key, outcome, now_ms) {
            assert_eq!(end, End::GivenUp);
            given_up.get_or_insert(index + 1);
        }
    }
    assert_eq!(given_up, expected_runs);
}

#[test]
fn a_failed_run_goes_on_at_another_backend_server() {
    let mut dispatch = dispatch(1);
    let first = starts(&dispatch.plan(&servers(&[0, 0]), &routes(), 0)).remove(0);
    dispatch.ended(&first.key, Outcome::Broken(progress(5)), 100);
    assert!(
        dispatch.plan(&servers(&[0, 0]), &routes(), 101).is_empty(),
        "after a pause"
    );
    let second = starts(&dispatch.plan(&servers(&[0, 0]), &routes(), 5_000)).remove(0);
    assert_ne!(second.server, first.server);
    assert_eq!(second.progress, progress(5));
}

#[rstest]
#[case::expired(60_000, routes(), Reason::Expired)]
#[case::route_gone(100, route::Table::default(), Reason::RouteGone)]
fn waiting_items_are_given_up(
    #[case] now_ms: u64,
    #[case] routes: route::Table,
    #[case] expected: Reason,
) {
    let mut dispatch = dispatch(2);
    let actions = dispatch.plan(&servers(&[]), &routes, now_ms);
    let reasons = actions.iter().map(|action| match action {
        Action::GiveUp(_, reason) => *reason,
        other => panic!("unexpected {other:?}"),
    });
    assert_eq!(reasons.collect::<Vec<_>>(), [expected; 2]);
    assert!(dispatch.plan(&servers(&[]), &routes, now_ms + 1).is_empty());
}

/// Guards against items that are given up too early, as the clock of a new leader is
/// ahead of that of the leader which dated the job.
#[test]
fn items_of_a_former_leader_are_not_given_up_by_a_clock_ahead() {
    let job = job(&mut Ledger::default(), "job", 1, 18_000);
    let given_up = |now_ms| {
        let mut dispatch = Dispatcher::new(Options::default());
        dispatch.inherit(&"job".into(), &job);
        let actions = dispatch.plan(&[], &routes(), now_ms);
        matches!(actions[..], [Action::GiveUp(_, Reason::Expired)])
    };
    for ahead_ms in [1, 3_000, 9_000] {
        assert!(!given_up(59_999 + ahead_ms), "{ahead_ms} ms ahead");
    }
    assert!(given_up(60_000 + 10_000));
}

#[test]
fn an_ended_job_names_its_runs() {
    let mut dispatch = dispatch(9);
    let started = starts(&dispatch.plan(&servers(&[0]), &routes(), 0));
    let running = dispatch.remove(&"job".into());
    assert_eq!(running.len(), started.len());
    assert!(dispatch.plan(&servers(&[0]), &routes(), 1).is_empty());
}

/// Replays a change of leaders: runs of the one before still hold slots that the
/// new leader believes to be free.
#[test]
fn a_crowded_backend_server_gets_no_items_for_a_while() {
    let mut dispatch = dispatch(1);
    let routes = routes();
    let start = starts(&dispatch.plan(&servers(&[0]), &routes, 0)).remove(0);
    assert_eq!(
        dispatch.ended(&start.key, Outcome::Crowded(progress(3)), 100),
        None
    );
    assert!(dispatch.plan(&servers(&[0]), &routes, 499).is_empty());
    let again = starts(&dispatch.plan(&servers(&[0]), &routes, 500)).remove(0);
    assert_eq!(again.progress, progress(3));
    let elsewhere = starts(&dispatch_again(&routes)).len();
    assert_eq!(elsewhere, 1, "another backend server is used at once");
}

fn dispatch_again(routes: &route::Table) -> Vec<Action> {
    let mut dispatch = dispatch(1);
    let start = starts(&dispatch.plan(&servers(&[0, 0]), routes, 0)).remove(0);
    dispatch.ended(&start.key, Outcome::Crowded(progress(0)), 10);
    dispatch.plan(&servers(&[0, 0]), routes, 11)
}

/// Guards against an item that crashes one backend server after the other as
/// fast as they come back.
#[test]
fn an_item_whose_runs_only_break_is_paced() {
    let mut dispatch = dispatch(1);
    let mut began = Vec::new();
    for now_ms in (0..55_000).step_by(50) {
        let started = starts(&dispatch.plan(&servers(&[0, 0, 0]), &routes(), now_ms));
        for start in started {
            began.push(now_ms);
            dispatch.ended(&start.key, Outcome::Broken(progress(0)), now_ms);
        }
    }
    assert!(began.len() <= 8, "{began:?}");
    let progress_clears = {
        let mut dispatch = crate::dispatch(1);
        (1..30_u64)
            .filter(|round| {
                let now_ms = round * 1_000;
                let started = starts(&dispatch.plan(&servers(&[0, 0, 0]), &routes(), now_ms));
                let advanced = started.iter().all(|start| {
                    let more = progress(start.progress.last + 1);
                    dispatch
                        .ended(&start.key, Outcome::Broken(more), now_ms)
                        .is_none()
                });
                !started.is_empty() && advanced
            })
            .count()
    };
    assert_eq!(
        progress_clears, 29,
        "a run that makes progress is no suspect"
    );
}

/// Guards against spending all attempts of an item at one backend server that
/// fails everything at once.
#[test]
fn a_failed_run_pauses_its_backend_server_and_the_item() {
    let mut dispatch = dispatch(2);
    let routes = routes();
    let both = starts(&dispatch.plan(&servers(&[3, 0]), &routes, 0));
    let failed = &both[0];
    dispatch.ended(&failed.key, Outcome::Failed(progress(0)), 10);
    assert!(starts(&dispatch.plan(&servers(&[0, 0]), &routes, 500)).is_empty());
    let again = starts(&dispatch.plan(&servers(&[0, 0]), &routes, 900)).remove(0);
    assert_ne!(
        again.server, failed.server,
        "the other one, as the first is paused"
    );
}

fn surveys(runs: &[&[&str]]) -> Vec<Survey> {
    let servers = servers(&vec![0; runs.len()]).into_iter();
    let surveys = servers.zip(runs).map(|(server, runs)| Survey {
        server,
        runs: runs.iter().map(|id| (*id).into()).collect(),
    });
    surveys.collect()
}

/// Replays a leader that froze in a peak. Guards against runs that keep slots for
/// nobody, and against moving one to a backend server that is full.
#[test]
fn runs_of_a_former_leader_move_to_the_backend_server_with_most_free_slots() {
    let mut dispatch = dispatch(3);
    dispatch.defer_starts(1_000);
    assert!(starts(&dispatch.plan(&servers(&[0, 0, 0]), &routes(), 999)).is_empty());
    let adoption = dispatch.adopt(
        &surveys(&[
            &["job-0", "online-1", "online-2", "online-3"],
            &["online-4", "online-5", "online-6"],
            &["online-7"],
        ]),
        0,
    );
    let adopted = starts(&adoption.starts);
    assert_eq!((adopted.len(), adoption.evictions.len()), (1, 0));
    assert_eq!(&*adopted[0].id, "job-0");
    assert_eq!(&*adopted[0].server, "s2");
    assert_eq!(adopted[0].orphan.as_deref(), Some("10.0.0.1:80"));
    // The others start as usual, not only after the hold.
    let actions = dispatch.plan(&servers(&[0, 0, 0]), &routes(), 1);
    let others = starts(&actions);
    assert_eq!(others.len(), 2);
    assert!(others.iter().all(|start| start.orphan.is_none()));
}

/// Guards against ordering a backend server to move memory to itself, which it
/// refuses without stopping the run.
#[test]
fn a_run_at_the_only_backend_server_is_not_moved() {
    let mut dispatch = dispatch(1);
    let adoption = dispatch.adopt(&surveys(&[&["job-0"]]), 0);
    assert!(adoption.starts.is_empty() && adoption.evictions.is_empty());
}

/// Replays an overload in which not all items can be complete in time. Guards
/// against running those that are late already first, which makes all later ones
/// late too.
#[test]
fn items_that_will_be_late_run_after_those_that_can_be_in_time() {
    let mut ledger = Ledger::default();
    let mut dispatch = Dispatcher::new(Options::default());
    for (id, due) in [("first", 6_000), ("second", 7_500), ("third", 20_000)] {
        let job = job(&mut ledger, id, 1, due);
        dispatch.add(&id.into(), &job);
    }
    let names = |actions: &[Action]| -> Vec<String> {
        let started = starts(actions).into_iter();
        started.map(|start| start.key.job.to_string()).collect()
    };
    // An item of 100 events takes 5 s.
    let started = dispatch.plan(&servers(&[3]), &routes(), 0);
    assert_eq!(names(&started), ["first"]);
    let key = &starts(&started)[0].key;
    dispatch.ended(key, Outcome::Completed(progress(100)), 5_000);
    dispatch.recorded(key);
    // Even a small item takes 4.25 s, and the second one is due in 2.5 s.
    let started = dispatch.plan(&servers(&[3]), &routes(), 5_000);
    assert_eq!(names(&started), ["third"]);
    let started = dispatch.plan(&servers(&[2]), &routes(), 5_100);
    assert_eq!(
        names(&started),
        ["second"],
        "it runs where nothing else waits"
    );
    let stopped = preempted(&dispatch.plan(&servers(&[3]), &routes(), 5_200));
    assert_eq!(&*stopped[0].job, "second", "and gives way first");
}

/// Guards against stopping the run that has least time to spare.
#[test]
fn the_run_with_most_time_to_spare_gives_way() {
    let mut ledger = Ledger::default();
    let mut dispatch = Dispatcher::new(Options::default());
    for (id, due, now_ms) in [("later", 18_000, 0), ("sooner", 12_000, 50)] {
        let job = job(&mut ledger, id, 1, due);
        dispatch.add(&id.into(), &job);
        assert_eq!(
            starts(&dispatch.plan(&servers(&[0]), &routes(), now_ms)).len(),
            1
        );
    }
    let stopped = preempted(&dispatch.plan(&servers(&[3]), &routes(), 100));
    assert_eq!(&*stopped[0].job, "later");
}

/// Replays a leader that froze at a peak, when all slots are taken. Guards against
/// orders to move runs to full backend servers, which refuse them, and against
/// starting the item elsewhere while its run is being stopped.
#[test]
fn runs_without_a_free_slot_elsewhere_are_stopped() {
    let mut dispatch = dispatch(2);
    let adoption = dispatch.adopt(
        &surveys(&[
            &["job-0", "online-1", "online-2", "online-3"],
            &["job-1", "online-4", "online-5"],
        ]),
        0,
    );
    assert!(starts(&adoption.starts).is_empty(), "one slot for two runs");
    assert_eq!(adoption.evictions.len(), 2);
    assert_eq!(adoption.targets[0], servers(&[0, 0])[1].address);
    let mut full = crate::dispatch(2);
    let adoption = full.adopt(
        &surveys(&[
            &["job-0", "online-1", "online-2", "online-3"],
            &["job-1", "online-4", "online-5", "online-6"],
        ]),
        0,
    );
    assert!(adoption.starts.is_empty());
    let stopped: Vec<&str> = adoption.evictions.iter().map(|run| &*run.id).collect();
    assert_eq!(stopped, ["job-0", "job-1"]);
    assert_eq!(adoption.targets.len(), 2);
    let during = full.plan(&servers(&[0, 0]), &routes(), EVICTION_MS - 1);
    assert!(starts(&during).is_empty());
    let after = full.plan(&servers(&[0, 0]), &routes(), EVICTION_MS);
    assert_eq!(starts(&after).len(), 2);
}

/// Guards against a leader that grants an item all runs again which failed before.
#[test]
fn a_new_leader_goes_on_counting_failures() {
    let mut ledger = Ledger::default();
    job(&mut ledger, "job", 1, 18_000);
    for _ in 0..2 {
        let job = "job".into();
        ledger.execute(Command::Fail { job, item: 0 });
    }
    let mut dispatch = Dispatcher::new(Options::default());
    dispatch.add(&"job".into(), &ledger.jobs()["job"]);
    let started = starts(&dispatch.plan(&servers(&[0]), &routes(), 0));
    // The route allows three failed runs.
    let ended = dispatch.ended(&started[0].key, Outcome::Failed(progress(0)), 10);
    assert!(matches!(ended, Some((End::GivenUp, _))), "{ended:?}");
}
