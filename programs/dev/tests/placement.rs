//! Placement by the running control leader.

mod fleet;

use std::time;

use serde_json::{Value, json};

/// Replicas that stay ready while versions roll.
const FLOOR: usize = 2;
const POLL: time::Duration = time::Duration::from_millis(30);

/// Guards against a version change that takes more replicas at once than the
/// declared floor allows, and against one that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_rolls_above_the_floor() {
    let fleet = fleet::Builder {
        engines: 3,
        // A load takes a second, so that loads at once would be seen.
        engine: json!({ "weights": { "mb_per_s": 1_000 } }),
        ..fleet::Builder::default()
    };
    let fleet = fleet.start().await;
    let (_, mut intent) = fleet.intent().await;
    let model = intent.models.get_mut(fleet::MODEL).expect("declared");
    model.version = "2".into();
    model.min_ready = FLOOR as u32;
    fleet.apply("roller", intent).await.expect("revision");
    let start = time::Instant::now();
    let mut fewest = fleet.engines.len();
    loop {
        let mut serving = 0;
        let mut rolled = 0;
        for index in 0..fleet.engines.len() {
            let models = debug(&fleet, index, "/v1/models").await;
            let serves = models.to_string().contains(fleet::MODEL);
            serving += usize::from(serves);
            let orders = debug(&fleet, index, "/debug/orders").await;
            rolled += usize::from(serves && orders.to_string().contains(r#""version":"2""#));
        }
        fewest = fewest.min(serving);
        assert!(
            serving >= FLOOR,
            "{serving} replicas serve\n{}",
            fleet.logs()
        );
        if rolled == fleet.engines.len() {
            break;
        }
        assert!(
            start.elapsed() < fleet::LIMIT,
            "{rolled} replicas rolled\n{}",
            fleet.logs()
        );
        tokio::time::sleep(POLL).await;
    }
    assert_eq!(fewest, FLOOR, "the roll was seen");
    fleet.ready().await;
}

async fn debug(fleet: &fleet::Fleet, engine: usize, path: &str) -> Value {
    let answer = fleet.http.get(&fleet.engine_address(engine), path);
    answer.send().await.expect("an answer of the engine").json()
}
