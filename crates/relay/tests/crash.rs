//! Items under which backend servers crash.

mod support;

use rstest::rstest;
use support::Fleet;

const SERVERS: usize = 12;
/// Online requests, which leave half of the slots free.
const ONLINE: u32 = 48;
/// Online requests after a burst, when callers send again what was lost: all slots.
const PEAK: u32 = 96;
/// Backend servers that one crash of a burst takes: 30 of a hundred.
const TAKEN: usize = 4;
/// Starts of the bursts of the reported day, in milliseconds.
const BURSTS: [u64; 3] = [5_000, 11_000, 17_000];
/// Crashes of a burst and the time between them in milliseconds.
const CRASHES: u64 = 5;
const APART_MS: u64 = 400;
/// Time before a burst from which there is room again, in milliseconds: the items
/// start, and have no event yet when the burst begins.
const ROOM_MS: u64 = 100;
/// When the last crash is over, in milliseconds.
const CALM_MS: u64 = 17_000 + (CRASHES - 1) * APART_MS;
/// Time after the last crash in which a few suspects are placed again, in
/// milliseconds: two seconds of calm, then one after the other.
const PLACED_MS: u64 = 3_500;
/// The same for dozens of suspects.
const ALL_PLACED_MS: u64 = 10_000;
const MINUTE_MS: u64 = 60_000;

/// Takes numbers from a seed (xorshift).
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// Replays the bursts. Each crash takes backend servers where an item of the job
/// `unlucky` begins to run before others. Between the bursts there is no room.
fn replay(fleet: &mut Fleet, seed: u64) {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for burst in BURSTS {
        fleet.run_until(burst - ROOM_MS);
        fleet.online = ONLINE;
        for crash in 0..CRASHES {
            fleet.run_until(burst + crash * APART_MS);
            let mut crashed = fleet.beginning("unlucky");
            while crashed.len() < TAKEN {
                crashed.push(random.below(SERVERS));
            }
            for server in crashed.into_iter().take(TAKEN) {
                if fleet.is_up(server) {
                    fleet.crash(server);
                }
            }
        }
        fleet.online = PEAK;
    }
    fleet.online = ONLINE;
}

/// Crashes all backend servers several times, whenever an unlucky item begins to
/// run. Returns when the last crash was.
fn crash_beginning(fleet: &mut Fleet) -> u64 {
    for _ in 0..CRASHES {
        while fleet.beginning("unlucky").is_empty() {
            fleet.step();
        }
        fleet.run_until(fleet.now_ms + ROOM_MS);
        for server in 0..SERVERS {
            if fleet.is_up(server) {
                fleet.crash(server);
            }
        }
    }
    fleet.now_ms
}

/// Returns how many unlucky items neither run nor are complete.
fn waiting(fleet: &Fleet, items: usize) -> usize {
    let running = fleet.runs.iter().filter(|run| &*run.key.job == "unlucky");
    items - fleet.completed_of("unlucky") - running.count()
}

fn assert_all_placed(fleet: &Fleet, items: usize, calm_ms: u64) {
    let starts = fleet.placed_at("unlucky");
    let left = waiting(fleet, items);
    assert_eq!(left, 0, "last crash {calm_ms}, starts {starts:?}");
}

/// Guards against a sound item that is left waiting for 15 s in a calm fleet with
/// room because several backend servers crashed while they ran it.
#[test]
fn a_sound_item_is_placed_again_soon_after_a_burst_of_crashes() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(SERVERS, ONLINE);
        fleet.submit("before", 30);
        fleet.run_until(4_900);
        fleet.submit("unlucky", 3);
        replay(&mut fleet, seed);
        fleet.run_until(CALM_MS + PLACED_MS);
        let starts = fleet.placed_at("unlucky");
        assert_eq!(waiting(&fleet, 3), 0, "seed {seed}, starts at {starts:?}");
    }
}

/// Guards against suspects that wait for whole runs of each other.
#[test]
fn many_suspects_are_placed_again_soon_after_crashes() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit("before", 30);
    fleet.submit("unlucky", 40);
    let calm_ms = crash_beginning(&mut fleet);
    fleet.run_until(calm_ms + ALL_PLACED_MS);
    assert_all_placed(&fleet, 40, calm_ms);
}

/// Guards against items that take down one backend server after the other.
#[rstest]
#[case::one(1, 8)]
#[case::several(6, 24)]
fn items_that_crash_every_backend_server_do_bounded_harm(
    #[case] items: usize,
    #[case] first_minute: usize,
) {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit_bad("bad", items);
    let mut most_down = 0;
    while fleet.now_ms < 4 * MINUTE_MS {
        fleet.step();
        // The first two crashes of each item make it a suspect.
        let known_ms = fleet.caused.get(2 * items - 1).copied();
        if known_ms.is_some_and(|at_ms| fleet.now_ms >= at_ms + support::DOWN_MS) {
            most_down = most_down.max(fleet.servers_down());
        }
    }
    let minute = |number: u64| {
        let within = fleet
            .caused
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

/// Guards against sound suspects that wait behind items which crash every backend
/// server and are due before them.
#[test]
fn bad_items_do_not_keep_sound_suspects_waiting() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit_bad("bad", 3);
    fleet.submit("before", 30);
    fleet.run_until(1_000);
    fleet.submit("unlucky", 6);
    let calm_ms = crash_beginning(&mut fleet);
    fleet.run_until(calm_ms + ALL_PLACED_MS);
    assert_all_placed(&fleet, 6, calm_ms);
}

/// Guards against suspects that wait without end for a trial that shows nothing.
#[test]
fn a_trial_that_shows_nothing_does_not_keep_others_waiting() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit("before", 30);
    fleet.submit("unlucky", 6);
    let calm_ms = crash_beginning(&mut fleet);
    fleet.silence_trial = true;
    fleet.run_until(calm_ms + ALL_PLACED_MS);
    assert_all_placed(&fleet, 6, calm_ms);
}

/// Guards against a pause for a suspect whose trial only gave way to online requests.
#[test]
fn a_trial_that_gives_way_is_repeated_when_there_is_room() {
    let mut fleet = Fleet::new(SERVERS, ONLINE);
    fleet.submit("before", 30);
    fleet.submit("unlucky", 1);
    crash_beginning(&mut fleet);
    while fleet.beginning("unlucky").is_empty() {
        fleet.step();
    }
    fleet.online = PEAK;
    fleet.run_until(fleet.now_ms + ROOM_MS);
    assert_eq!(waiting(&fleet, 1), 1, "it gave way");
    fleet.online = ONLINE;
    fleet.run_until(fleet.now_ms + 1_000);
    assert_eq!(waiting(&fleet, 1), 0, "{:?}", fleet.placed_at("unlucky"));
}
