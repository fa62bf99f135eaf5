//! Scheduling of items while backend servers crash.

mod support;

use rstest::rstest;
use support::Fleet;

const SERVERS: usize = 12;
/// Online requests, which leave half of the slots free.
const ONLINE: u32 = 48;
/// Online requests after a burst, when callers retry those that were lost. They take all
/// slots.
const PEAK_ONLINE: u32 = 96;
/// Backend servers that one crash of a burst takes down: about 30 % of the fleet.
const SERVERS_PER_CRASH: usize = 4;
/// Starts of the bursts in the reported incident, in milliseconds.
const BURSTS: [u64; 3] = [5_000, 11_000, 17_000];
/// Crashes in a burst.
const CRASHES: u64 = 5;
/// Time between two crashes of a burst, in milliseconds.
const CRASH_INTERVAL_MS: u64 = 400;
/// Time before a burst from which slots are free again, in milliseconds: items start, and
/// have no event yet when the burst begins.
const LEAD_MS: u64 = 100;
/// When the last crash of the last burst happens, in milliseconds.
const LAST_CRASH_MS: u64 = 17_000 + (CRASHES - 1) * CRASH_INTERVAL_MS;
/// Time after the last crash within which a few suspects start again, in milliseconds:
/// two seconds until the fleet is calm, then one after the other.
const RESTARTED_MS: u64 = 3_500;
/// The same for dozens of suspects.
const ALL_RESTARTED_MS: u64 = 10_000;
const MINUTE_MS: u64 = 60_000;

/// A xorshift random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// Replays the bursts. Backend servers where an item of the job `unlucky` begins to run
/// crash first, others at random. Between the bursts no slots are free.
fn replay(fleet: &mut Fleet, seed: u64) {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for burst in BURSTS {
        fleet.run_until(burst - LEAD_MS);
        fleet.online = ONLINE;
        for crash in 0..CRASHES {
            fleet.run_until(burst + crash * CRASH_INTERVAL_MS);
            let mut crashed = fleet.servers_without_event("unlucky");
            while crashed.len() < SERVERS_PER_CRASH {
                crashed.push(random.below(SERVERS));
            }
            for server in crashed.into_iter().take(SERVERS_PER_CRASH) {
                if fleet.is_up(server) {
                    fleet.crash(server);
                }
            }
        }
        fleet.online = PEAK_ONLINE;
    }
    fleet.online = ONLINE;
}

/// Crashes all backend servers several times, each time when an item of the job `unlucky`
/// begins to run. Returns the time of the last crash.
fn crash_at_starts(fleet: &mut Fleet) -> u64 {
    for _ in 0..CRASHES {
        while fleet.servers_without_event("unlucky").is_empty() {
            fleet.step();
        }
        fleet.run_until(fleet.now_ms + LEAD_MS);
        for server in 0..SERVERS {
            if fleet.is_up(server) {
                fleet.crash(server);
            }
        }
    }
    fleet.now_ms
}

/// Returns how many items of the job `unlucky` neither run nor are complete.
fn waiting(fleet: &Fleet, items: usize) -> usize {
    let running = fleet.runs.iter().filter(|run| &*run.key.job == "unlucky");
    items - fleet.completed_items("unlucky") - running.count()
}

fn assert_all_restarted(fleet: &Fleet, items: usize, last_crash_ms: u64) {
    let starts = fleet.start_times("unlucky");
    let waiting = waiting(fleet, items);
    assert_eq!(waiting, 0, "last crash {last_crash_ms}, starts {starts:?}");
}

/// Guards against a harmless item that waits for 15 s in a calm fleet with free slots,
/// because several backend servers crashed while they ran it.
#[test]
fn a_harmless_item_restarts_soon_after_a_burst_of_crashes() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(SERVERS, ONLINE);
        fleet.submit("before", 30);
        fleet.run_until(4_900);
        fleet.submit("unlucky", 3);
        replay(&mut fleet, seed);
        fleet.run_until(LAST_CRASH_MS + RESTARTED_MS);
        let starts = fleet.start_times("unlucky");
        assert_eq!(waiting(&fleet, 3), 0, "seed {seed}, starts at {starts:?}");
    }
}

/// Guards against suspects that wait for complete runs of each other.
#[test]
fn many_suspects_restart_soon_after_crashes() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit("before", 30);
    fleet.submit("unlucky", 40);
    let last_crash_ms = crash_at_starts(&mut fleet);
    fleet.run_until(last_crash_ms + ALL_RESTARTED_MS);
    assert_all_restarted(&fleet, 40, last_crash_ms);
}

/// Guards against items that crash one backend server after the other.
#[rstest]
#[case::one(1, 8)]
#[case::several(6, 24)]
fn items_that_crash_every_backend_server_cause_few_crashes(
    #[case] items: usize,
    #[case] first_minute: usize,
) {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit_crashing("bad", items);
    let mut most_down = 0;
    while fleet.now_ms < 4 * MINUTE_MS {
        fleet.step();
        // The first two crashes of each item make it a suspect.
        let suspected_ms = fleet.caused_crashes_ms.get(2 * items - 1).copied();
        if suspected_ms.is_some_and(|at_ms| fleet.now_ms >= at_ms + support::RESTART_MS) {
            most_down = most_down.max(fleet.servers_down());
        }
    }
    let minute = |number: u64| {
        let within = fleet
            .caused_crashes_ms
            .iter()
            .filter(|at_ms| *at_ms / MINUTE_MS == number);
        within.count()
    };
    let minutes: Vec<usize> = (0..4).map(minute).collect();
    assert!(minutes[0] <= first_minute, "crashes a minute: {minutes:?}");
    assert!(
        minutes[1..].iter().all(|crashes| (1..=5).contains(crashes)),
        "{minutes:?}"
    );
    assert!(most_down <= 2, "{most_down} backend servers down at once");
}

/// Guards against harmless suspects that wait for items that crash every backend server
/// and are due earlier.
#[test]
fn crashing_items_do_not_delay_harmless_suspects() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit_crashing("bad", 3);
    fleet.submit("before", 30);
    fleet.run_until(1_000);
    fleet.submit("unlucky", 6);
    let last_crash_ms = crash_at_starts(&mut fleet);
    fleet.run_until(last_crash_ms + ALL_RESTARTED_MS);
    assert_all_restarted(&fleet, 6, last_crash_ms);
}

/// Guards against suspects that wait without end for a trial that hangs.
#[test]
fn a_hanging_trial_does_not_delay_others() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit("before", 30);
    fleet.submit("unlucky", 6);
    let last_crash_ms = crash_at_starts(&mut fleet);
    fleet.hang_next_trial = true;
    fleet.run_until(last_crash_ms + ALL_RESTARTED_MS);
    assert_all_restarted(&fleet, 6, last_crash_ms);
}

/// Guards against a pause of a suspect whose trial was merely preempted.
#[test]
fn a_preempted_trial_is_repeated_when_slots_are_free() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit("before", 30);
    fleet.submit("unlucky", 1);
    crash_at_starts(&mut fleet);
    while fleet.servers_without_event("unlucky").is_empty() {
        fleet.step();
    }
    fleet.online = PEAK_ONLINE;
    fleet.run_until(fleet.now_ms + LEAD_MS);
    assert_eq!(waiting(&fleet, 1), 1, "it was preempted");
    fleet.online = ONLINE;
    fleet.run_until(fleet.now_ms + 1_000);
    assert_eq!(waiting(&fleet, 1), 0, "{:?}", fleet.start_times("unlucky"));
}
