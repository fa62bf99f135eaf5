//! Validation of configurations, and lookups of routes and services.

use bw_relay::route;
use rstest::rstest;

fn route(name: &str, prefix: &str) -> route::Route {
    route::Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: route::Kind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 300,
        gap_ms: 0,
        shares: vec![share("desk", 1)],
        attempts: 2,
        priority: 0,
        complete_ms: 18_000,
        give_up_ms: 60_000,
        waiting_tokens: 0,
    }
}

fn share(service: &str, weight: u32) -> route::Share {
    let service = service.into();
    route::Share { service, weight }
}

fn config(routes: Vec<route::Route>) -> route::Config {
    route::Config {
        version: 7,
        routes,
        services: vec![route::Service {
            name: "desk".into(),
            connections: 10,
        }],
        limits: route::Limits {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        },
    }
}

#[rstest]
#[case::unknown_service(|route: &mut route::Route| route.shares = vec![share("other", 1)], "unknown service other")]
#[case::no_share(|route: &mut route::Route| route.shares.clear(), "add up to 0")]
#[case::no_weight(|route: &mut route::Route| route.shares = vec![share("desk", 0), share("desk", 0)], "add up to 0")]
#[case::no_timeout(|route: &mut route::Route| route.timeout_ms = 0, "timeout of route b is 0")]
#[case::duplicate(|route: &mut route::Route| route.prefix = "/a/".into(), "two routes have host")]
#[case::no_trailing_slash(|route: &mut route::Route| route.prefix = "/b".into(), "begin and end with a slash")]
fn an_invalid_configuration_is_rejected_with_its_reason(
    #[case] invalidate: fn(&mut route::Route),
    #[case] reason: &str,
) {
    let mut invalid = route("b", "/b/");
    invalidate(&mut invalid);
    let result = config(vec![route("a", "/a/"), invalid]).check();
    let message = result.expect_err("invalid").to_string();
    assert!(message.contains(reason), "{message}");
}

#[rstest]
#[case("a.example", "/a/x", Some("short"))]
#[case("a.example:8080", "/a/x", Some("short"))]
#[case("a.example", "/a/b/x", Some("long"))]
#[case("a.example", "/a", None)]
#[case("b.example", "/a/x", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = route::Table::new(&config(vec![route("short", "/a/"), route("long", "/a/b/")]));
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn services_are_picked_by_weight() {
    let mut split = route("split", "/a/");
    split.shares = vec![share("desk", 90), share("none", 0), share("bench", 10)];
    let pick = |random| split.service(random).map(|service| service.to_string());
    let bench = (0..1_000).filter(|random| pick(*random).as_deref() == Some("bench"));
    assert_eq!(bench.count(), 100);
    assert!((0..1_000).all(|random| pick(random).as_deref() != Some("none")));
    assert!(!split.allows(&"none".into()));
}
