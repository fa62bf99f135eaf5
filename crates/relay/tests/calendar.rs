//! Dates beside a time of day that jumps.

use bw_relay::calendar::Calendar;

/// Guards against waits that end early or late because the time of day jumped.
#[test]
fn a_calendar_follows_the_steady_clock() {
    let calendar = Calendar::new(1_000_000, 500);
    assert_eq!(calendar.unix_ms(500), 1_000_000);
    assert_eq!(calendar.unix_ms(2_500), 1_002_000);
    assert_eq!(calendar.unix_ms(499), 1_000_000);
}
