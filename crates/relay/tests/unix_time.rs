//! Unix time that does not follow changes of the system clock.

use bw_relay::unix_time::Clock;

/// Guards against timeouts that end early or late because the system clock was set.
#[test]
fn a_clock_advances_with_the_monotonic_clock() {
    let clock = Clock::new(1_000_000, 500);
    assert_eq!(clock.unix_ms(500), 1_000_000);
    assert_eq!(clock.unix_ms(2_500), 1_002_000);
    assert_eq!(clock.unix_ms(499), 1_000_000);
}
