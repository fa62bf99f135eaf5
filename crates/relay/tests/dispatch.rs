//! Scheduling of batch items beside online requests.

mod support;

use bw_relay::{
    dispatch::{
        Action, Dispatcher, EVICTION_MS, Key, Options, Outcome, Reason, Server, Start, Survey, wait,
    },
    ledger::{Command, End, Job, Ledger, NewItem, NewJob},
    route,
};
use rstest::rstest;
use support::work::{self, progress};

const SLOTS: u32 = 4;

fn job(ledger: &mut Ledger, id: &str, items: usize, complete_ms: u64) -> Job {
    job_with_paths(ledger, id, &vec!["/p/x"; items], complete_ms)
}

fn job_with_paths(ledger: &mut Ledger, id: &str, paths: &[&str], complete_ms: u64) -> Job {
    let items = paths.iter().enumerate().map(|(index, path)| NewItem {
        id: format!("{id}-{index}").as_str().into(),
        path: (*path).into(),
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

fn dispatcher(items: usize) -> Dispatcher {
    let options = Options {
        reserve: 1,
        ..Options::default()
    };
    let mut dispatcher = Dispatcher::new(options);
    let job = job(&mut Ledger::default(), "job", items, 18_000);
    dispatcher.add(&"job".into(), &job, work::unjudged);
    dispatcher
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
fn items_start_only_in_slots_that_online_requests_leave_free() {
    let mut dispatcher = dispatcher(20);
    let actions = dispatcher.plan(&servers(&[0, 2, 4]), &routes(), 0);
    // One slot of each backend server is reserved.
    let on = |id: &str| {
        starts(&actions)
            .iter()
            .filter(|start| &*start.server == id)
            .count()
    };
    assert_eq!((on("s0"), on("s1"), on("s2")), (3, 1, 0));
}

/// Replays an online peak: the items that started last are preempted, keep their output
/// and resume when slots are free again.
#[test]
fn an_online_peak_preempts_items_without_loss_of_output() {
    let mut dispatcher = dispatcher(3);
    let routes = routes();
    let started = starts(&dispatcher.plan(&servers(&[0]), &routes, 0));
    assert_eq!(started.len(), 3);
    let keys = preempted(&dispatcher.plan(&servers(&[3]), &routes, 50));
    assert_eq!(keys, [started[2].key.clone(), started[1].key.clone()]);
    let none = dispatcher.plan(&servers(&[3]), &routes, 100);
    assert!(none.is_empty(), "a run is stopped once: {none:?}");
    for key in &keys {
        assert_eq!(
            dispatcher.ended(key, Outcome::Broken(progress(7)), 120),
            None
        );
    }
    // Slots that become free do not mean that the peak has ended.
    let early = dispatcher.plan(&servers(&[0]), &routes, 150);
    assert!(early.is_empty(), "{early:?}");
    let after_ms = 50 + Options::default().evicted_ms;
    let resumed = starts(&dispatcher.plan(&servers(&[0]), &routes, after_ms));
    let last_events: Vec<u64> = resumed.iter().map(|start| start.progress.last).collect();
    assert_eq!(last_events, [7, 7]);
}

/// Guards against items that start in each short gap of an online peak and are preempted
/// again. In a scale test 5,581 of 6,600 runs were stopped, after half a second each, and
/// starting them again cost a sixth of the capacity for items.
#[test]
fn a_backend_server_is_paused_after_a_preemption() {
    let mut dispatcher = Dispatcher::new(Options::default());
    let job = job(&mut Ledger::default(), "job", 3, 18_000);
    dispatcher.add(&"job".into(), &job, work::unjudged);
    let routes = routes();
    assert_eq!(
        starts(&dispatcher.plan(&servers(&[0, 4]), &routes, 0)).len(),
        3
    );
    let mut runs = 0;
    // Online requests come and go every 50 ms.
    for now_ms in (50..=450_u64).step_by(50) {
        let online = [3 - (now_ms / 50 % 2) as u32, 4];
        let actions = dispatcher.plan(&servers(&online), &routes, now_ms);
        runs += starts(&actions).len();
        for key in preempted(&actions) {
            dispatcher.ended(&key, Outcome::Broken(progress(7)), now_ms);
        }
    }
    assert!(runs <= 2, "{runs} starts in a peak");
    // An item starts at another backend server with a free slot immediately.
    let elsewhere = starts(&dispatcher.plan(&servers(&[4, 0]), &routes, 460));
    assert!(elsewhere.iter().all(|start| &*start.server == "s1"));
    assert!(!elsewhere.is_empty());
}

#[test]
fn the_job_that_is_due_first_runs_first() {
    let mut ledger = Ledger::default();
    let mut dispatcher = Dispatcher::new(Options::default());
    for (id, due) in [("late", 30_000), ("early", 10_000)] {
        let job = job(&mut ledger, id, 3, due);
        dispatcher.add(&id.into(), &job, work::unjudged);
    }
    let started = starts(&dispatcher.plan(&servers(&[0]), &routes(), 0));
    let jobs: Vec<&str> = started.iter().map(|start| &*start.key.job).collect();
    assert_eq!(jobs, ["early", "early", "early", "late"]);
}

#[test]
fn a_complete_run_ends_its_item_once() {
    let mut dispatcher = dispatcher(1);
    let start = starts(&dispatcher.plan(&servers(&[0]), &routes(), 0)).remove(0);
    let ended = dispatcher.ended(&start.key, Outcome::Completed(progress(2)), 10);
    assert_eq!(ended, Some((End::Completed, progress(2).unsaved())));
    let again = dispatcher.ended(&start.key, Outcome::Completed(progress(3)), 11);
    assert_eq!(again, None);
    assert!(
        dispatcher
            .plan(&servers(&[0]), &routes(), 10_000)
            .is_empty()
    );
    dispatcher.recorded(&start.key);
    assert_eq!(dispatcher.open_items(), 0);
}

#[rstest]
#[case::impossible(vec![Outcome::Impossible], Some(1))]
#[case::failed(vec![Outcome::Failed(progress(0)); 3], Some(3))]
#[case::broken(vec![Outcome::Broken(progress(0)); 9], None)]
#[case::not_run(vec![Outcome::NotRun(progress(0)); 9], None)]
fn only_the_backend_server_can_fail_an_item(
    #[case] outcomes: Vec<Outcome>,
    #[case] expected_runs: Option<usize>,
) {
    let mut dispatcher = dispatcher(1);
    let mut now_ms = 0;
    let mut given_up = None;
    for (index, outcome) in outcomes.into_iter().enumerate() {
        now_ms += 3_000;
        let Some(start) = starts(&dispatcher.plan(&servers(&[0, 0]), &routes(), now_ms)).pop()
        else {
            // A suspect is paused for longer.
            continue;
        };
        if let Some((end, _)) = dispatcher.ended(&start.key, outcome, now_ms) {
            assert_eq!(end, End::GivenUp);
            given_up.get_or_insert(index + 1);
        }
    }
    assert_eq!(given_up, expected_runs);
}

#[test]
fn a_broken_run_resumes_at_another_backend_server() {
    let mut dispatcher = dispatcher(1);
    let first = starts(&dispatcher.plan(&servers(&[0, 0]), &routes(), 0)).remove(0);
    dispatcher.ended(&first.key, Outcome::Broken(progress(5)), 100);
    assert!(
        dispatcher
            .plan(&servers(&[0, 0]), &routes(), 101)
            .is_empty(),
        "after a pause"
    );
    let second = starts(&dispatcher.plan(&servers(&[0, 0]), &routes(), 5_000)).remove(0);
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
    let mut dispatcher = dispatcher(2);
    let actions = dispatcher.plan(&servers(&[]), &routes, now_ms);
    let reasons = actions.iter().map(|action| match action {
        Action::GiveUp(_, reason) => *reason,
        other => panic!("unexpected {other:?}"),
    });
    assert_eq!(reasons.collect::<Vec<_>>(), [expected; 2]);
    assert!(
        dispatcher
            .plan(&servers(&[]), &routes, now_ms + 1)
            .is_empty()
    );
}

/// Guards against items that are given up too early, as the clock of a new leader is
/// ahead of the clock of the leader that dated the job.
#[test]
fn inherited_items_are_not_given_up_early_because_of_clock_skew() {
    let job = job(&mut Ledger::default(), "job", 1, 18_000);
    let given_up = |now_ms| {
        let mut dispatcher = Dispatcher::new(Options::default());
        dispatcher.inherit(&"job".into(), &job, work::unjudged);
        let actions = dispatcher.plan(&[], &routes(), now_ms);
        matches!(actions[..], [Action::GiveUp(_, Reason::Expired)])
    };
    for ahead_ms in [1, 3_000, 9_000] {
        assert!(!given_up(59_999 + ahead_ms), "{ahead_ms} ms ahead");
    }
    assert!(given_up(60_000 + 10_000));
}

#[test]
fn a_removed_job_returns_its_running_items() {
    let mut dispatcher = dispatcher(9);
    let started = starts(&dispatcher.plan(&servers(&[0]), &routes(), 0));
    let running = dispatcher.remove(&"job".into());
    assert_eq!(running.len(), started.len());
    assert!(dispatcher.plan(&servers(&[0]), &routes(), 1).is_empty());
}

/// Replays a change of leaders: runs of the former one still occupy slots that the new
/// leader takes for free.
#[test]
fn a_crowded_backend_server_is_paused() {
    let mut dispatcher = dispatcher(1);
    let routes = routes();
    let start = starts(&dispatcher.plan(&servers(&[0]), &routes, 0)).remove(0);
    assert_eq!(
        dispatcher.ended(&start.key, Outcome::Crowded(progress(3)), 100),
        None
    );
    assert!(dispatcher.plan(&servers(&[0]), &routes, 499).is_empty());
    let again = starts(&dispatcher.plan(&servers(&[0]), &routes, 500)).remove(0);
    assert_eq!(again.progress, progress(3));
    let elsewhere = starts(&plan_after_crowded_run(&routes)).len();
    assert_eq!(elsewhere, 1, "another backend server is used at once");
}

fn plan_after_crowded_run(routes: &route::Table) -> Vec<Action> {
    let mut dispatcher = dispatcher(1);
    let start = starts(&dispatcher.plan(&servers(&[0, 0]), routes, 0)).remove(0);
    dispatcher.ended(&start.key, Outcome::Crowded(progress(0)), 10);
    dispatcher.plan(&servers(&[0, 0]), routes, 11)
}

/// Guards against an item that crashes one backend server after the other as fast as
/// they restart.
#[test]
fn an_item_whose_runs_keep_breaking_off_is_delayed() {
    let mut dispatcher = dispatcher(1);
    let mut began = Vec::new();
    for now_ms in (0..55_000).step_by(50) {
        let started = starts(&dispatcher.plan(&servers(&[0, 0, 0]), &routes(), now_ms));
        for start in started {
            began.push(now_ms);
            dispatcher.ended(&start.key, Outcome::Broken(progress(0)), now_ms);
        }
    }
    assert!(began.len() <= 8, "{began:?}");
    let rounds_with_progress = {
        let mut dispatcher = crate::dispatcher(1);
        (1..30_u64)
            .filter(|round| {
                let now_ms = round * 1_000;
                let started = starts(&dispatcher.plan(&servers(&[0, 0, 0]), &routes(), now_ms));
                let advanced = started.iter().all(|start| {
                    let more = progress(start.progress.last + 1);
                    dispatcher
                        .ended(&start.key, Outcome::Broken(more), now_ms)
                        .is_none()
                });
                !started.is_empty() && advanced
            })
            .count()
    };
    assert_eq!(
        rounds_with_progress, 29,
        "an item that makes progress is not a suspect"
    );
}

/// Guards against spending all attempts of an item at one backend server that fails every
/// run immediately.
#[test]
fn a_failed_run_pauses_its_backend_server_and_the_item() {
    let mut dispatcher = dispatcher(2);
    let routes = routes();
    let both = starts(&dispatcher.plan(&servers(&[3, 0]), &routes, 0));
    let failed = &both[0];
    dispatcher.ended(&failed.key, Outcome::Failed(progress(0)), 10);
    assert!(starts(&dispatcher.plan(&servers(&[0, 0]), &routes, 500)).is_empty());
    let again = starts(&dispatcher.plan(&servers(&[0, 0]), &routes, 900)).remove(0);
    assert_ne!(
        again.server, failed.server,
        "the first backend server is paused"
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

/// Replays a leader that froze in an online peak. Guards against runs that occupy slots
/// although nobody reads their output, and against moving a run to a full backend server.
#[test]
fn adopted_runs_move_to_the_backend_server_with_the_most_free_slots() {
    let mut dispatcher = dispatcher(3);
    dispatcher.defer_starts(1_000);
    assert!(starts(&dispatcher.plan(&servers(&[0, 0, 0]), &routes(), 999)).is_empty());
    let adoption = dispatcher.adopt(
        &surveys(&[
            &["job-0", "online-1", "online-2", "online-3"],
            &["online-4", "online-5", "online-6"],
            &["online-7"],
        ]),
        &routes(),
        0,
    );
    let adopted = starts(&adoption.starts);
    assert_eq!((adopted.len(), adoption.evictions.len()), (1, 0));
    assert_eq!(&*adopted[0].id, "job-0");
    assert_eq!(&*adopted[0].server, "s2");
    assert_eq!(adopted[0].orphan.as_deref(), Some("10.0.0.1:80"));
    // The other items start immediately, not only after the deferral.
    let actions = dispatcher.plan(&servers(&[0, 0, 0]), &routes(), 1);
    let others = starts(&actions);
    assert_eq!(others.len(), 2);
    assert!(others.iter().all(|start| start.orphan.is_none()));
}

/// Guards against an order to a backend server to move memory to itself, which it refuses
/// without stopping the run.
#[test]
fn a_run_is_not_moved_without_another_backend_server() {
    let mut dispatcher = dispatcher(1);
    let adoption = dispatcher.adopt(&surveys(&[&["job-0"]]), &routes(), 0);
    assert!(adoption.starts.is_empty() && adoption.evictions.is_empty());
}

/// Guards against a new leader that sends items to the service that their route has left,
/// or to that of a route that was removed.
#[rstest]
#[case::moved(vec![work::job_route("/p/", "billing", 60_000)], 2)]
#[case::removed(Vec::new(), 0)]
fn runs_at_a_service_that_the_route_has_left_are_stopped(
    #[case] routes: Vec<route::Route>,
    #[case] started: usize,
) {
    let routes = work::table(routes);
    let mut dispatcher = dispatcher(2);
    let mut surveys = surveys(&[&["job-0"], &["job-1"], &[]]);
    surveys[2].server.service = "billing".into();
    let adoption = dispatcher.adopt(&surveys, &routes, 0);
    assert!(adoption.starts.is_empty(), "{:?}", adoption.starts);
    let evicted: Vec<&str> = adoption.evictions.iter().map(|run| &*run.id).collect();
    assert_eq!(evicted, ["job-0", "job-1"]);
    let servers: Vec<Server> = surveys.into_iter().map(|survey| survey.server).collect();
    let actions = dispatcher.plan(&servers, &routes, EVICTION_MS);
    let starts = starts(&actions);
    assert_eq!(starts.len(), started, "{actions:?}");
    assert!(starts.iter().all(|start| &*start.server == "s2"));
}

/// Replays an overload in which not all items can be complete in time. Guards against
/// running late items first, which makes all later ones late too.
#[test]
fn late_items_run_after_those_that_can_be_in_time() {
    let mut ledger = Ledger::default();
    let mut dispatcher = Dispatcher::new(Options::default());
    for (id, due) in [("first", 6_000), ("second", 7_500), ("third", 20_000)] {
        let job = job(&mut ledger, id, 1, due);
        dispatcher.add(&id.into(), &job, work::unjudged);
    }
    let names = |actions: &[Action]| -> Vec<String> {
        let started = starts(actions).into_iter();
        started.map(|start| start.key.job.to_string()).collect()
    };
    // An item of 100 events takes 5 s.
    let started = dispatcher.plan(&servers(&[3]), &routes(), 0);
    assert_eq!(names(&started), ["first"]);
    let key = &starts(&started)[0].key;
    dispatcher.ended(key, Outcome::Completed(progress(100)), 5_000);
    dispatcher.recorded(key);
    // Even a small item takes 4.25 s, and the second one is due in 2.5 s.
    let started = dispatcher.plan(&servers(&[3]), &routes(), 5_000);
    assert_eq!(names(&started), ["third"]);
    let started = dispatcher.plan(&servers(&[2]), &routes(), 5_100);
    assert_eq!(
        names(&started),
        ["second"],
        "a late item runs if no other waits"
    );
    let preempted_keys = preempted(&dispatcher.plan(&servers(&[3]), &routes(), 5_200));
    assert_eq!(
        &*preempted_keys[0].job, "second",
        "a late item is preempted first"
    );
}

/// Guards against preempting the run with the least slack.
#[test]
fn the_run_with_the_most_slack_is_preempted() {
    let mut ledger = Ledger::default();
    let mut dispatcher = Dispatcher::new(Options::default());
    for (id, due, now_ms) in [("later", 18_000, 0), ("sooner", 12_000, 50)] {
        let job = job(&mut ledger, id, 1, due);
        dispatcher.add(&id.into(), &job, work::unjudged);
        assert_eq!(
            starts(&dispatcher.plan(&servers(&[0]), &routes(), now_ms)).len(),
            1
        );
    }
    let preempted_keys = preempted(&dispatcher.plan(&servers(&[3]), &routes(), 100));
    assert_eq!(&*preempted_keys[0].job, "later");
}

/// Replays a leader that froze in an online peak, when all slots are taken. Guards against
/// orders to move runs to full backend servers, which refuse them, and against starting an
/// item elsewhere while its run is being stopped.
#[test]
fn runs_are_evicted_without_a_free_slot_elsewhere() {
    let mut dispatcher = dispatcher(2);
    let adoption = dispatcher.adopt(
        &surveys(&[
            &["job-0", "online-1", "online-2", "online-3"],
            &["job-1", "online-4", "online-5"],
        ]),
        &routes(),
        0,
    );
    assert!(starts(&adoption.starts).is_empty(), "one slot for two runs");
    assert_eq!(adoption.evictions.len(), 2);
    assert_eq!(adoption.targets[0], servers(&[0, 0])[1].address);
    let mut full = crate::dispatcher(2);
    let adoption = full.adopt(
        &surveys(&[
            &["job-0", "online-1", "online-2", "online-3"],
            &["job-1", "online-4", "online-5", "online-6"],
        ]),
        &routes(),
        0,
    );
    assert!(adoption.starts.is_empty());
    let evicted: Vec<&str> = adoption.evictions.iter().map(|run| &*run.id).collect();
    assert_eq!(evicted, ["job-0", "job-1"]);
    assert_eq!(adoption.targets.len(), 2);
    let during = full.plan(&servers(&[0, 0]), &routes(), EVICTION_MS - 1);
    assert!(starts(&during).is_empty());
    let after = full.plan(&servers(&[0, 0]), &routes(), EVICTION_MS);
    assert_eq!(starts(&after).len(), 2);
}

/// Guards against a new leader that allows an item as many failed runs again as its route
/// allows in all.
#[test]
fn a_new_leader_continues_the_count_of_failures() {
    let mut ledger = Ledger::default();
    job(&mut ledger, "job", 1, 18_000);
    for _ in 0..2 {
        let job = "job".into();
        ledger.execute(Command::Fail { job, item: 0 });
    }
    let mut dispatcher = Dispatcher::new(Options::default());
    dispatcher.add(&"job".into(), &ledger.jobs()["job"], work::unjudged);
    let started = starts(&dispatcher.plan(&servers(&[0]), &routes(), 0));
    // The route allows three failed runs.
    let ended = dispatcher.ended(&started[0].key, Outcome::Failed(progress(0)), 10);
    assert!(matches!(ended, Some((End::GivenUp, _))), "{ended:?}");
}

/// Backend servers of two services: `desk` and `billing`.
fn two_services() -> [Server; 2] {
    let mut servers = servers(&[0, 0]);
    servers[1].service = "billing".into();
    servers.try_into().expect("two backend servers")
}

/// Guards against giving up accepted items, or running them at another service, because
/// of the routes of other requests: the path of an item is what the backend server is
/// asked for, and it need not be under the prefix of the item's own route.
#[rstest]
#[case::under_the_own_prefix("/p/x")]
#[case::under_another_prefix("/checks/1")]
#[case::under_a_longer_prefix("/p/3/1")]
#[case::under_no_prefix("/elsewhere/1")]
#[case::without_a_slash("x")]
fn items_belong_to_the_route_of_their_job(#[case] path: &str) {
    let own = work::job_route("/p/", "desk", 60_000);
    let others = ["/checks/", "/p/3/"].map(|prefix| route::Route {
        kind: route::Kind::NonIdempotent,
        ..work::job_route(prefix, "billing", 60_000)
    });
    let with_others = work::table([&others[..], std::slice::from_ref(&own)].concat());
    let alone = work::table(vec![own.clone()]);
    let mut dispatcher = Dispatcher::new(Options::default());
    let paths = [path; 8];
    let job = job_with_paths(&mut Ledger::default(), "job", &paths, 18_000);
    dispatcher.add(&"job".into(), &job, work::unjudged);
    let mut run = |routes: &route::Table, now_ms| {
        let actions = dispatcher.plan(&two_services(), routes, now_ms);
        assert!(
            !actions
                .iter()
                .any(|action| matches!(action, Action::GiveUp(..))),
            "{actions:?}"
        );
        let started = starts(&actions);
        assert_eq!(started.len(), SLOTS as usize, "{actions:?}");
        assert!(started.iter().all(|start| &*start.server == "s0"));
        let queue = dispatcher.queue(&two_services(), routes, 1, now_ms);
        assert_eq!(queue.longest[0].reason, wait::Reason::NoSlot);
        for start in started {
            dispatcher.ended(&start.key, Outcome::Broken(progress(0)), now_ms);
        }
    };
    run(&with_others, 0);
    // Between breaks without an event the items pause, and then run as trials.
    run(&alone, 20_000);
    let routes = work::table(others.to_vec());
    let actions = dispatcher.plan(&two_services(), &routes, 20_100);
    let given_up = actions
        .iter()
        .filter(|action| matches!(action, Action::GiveUp(_, Reason::RouteGone)));
    assert_eq!(given_up.count(), paths.len(), "{actions:?}");
}
