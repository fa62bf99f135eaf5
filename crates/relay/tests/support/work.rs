//! Progress and routes for tests of the dispatcher.

use bw_relay::{dispatch::Progress, route, suspect};
use bw_wire::name::Name;

/// Returns the progress of an item up to an event, none of it stored.
pub fn progress(last: u64) -> Progress {
    let data = (1..=last).map(|id| format!("e{id}"));
    Progress {
        bytes: 0,
        saved: 0,
        last,
        data: data.collect(),
    }
}

/// Returns a table with one route for jobs.
pub fn routes(give_up_ms: u64) -> route::Table {
    table(vec![job_route("/p/", "desk", give_up_ms)])
}

/// Returns a route for jobs, whose items one service runs.
pub fn job_route(prefix: &str, service: &str, give_up_ms: u64) -> route::Route {
    let service = service.into();
    route::Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: route::Kind::Batch,
        timeout_ms: 1_000,
        target_ms: 500,
        gap_ms: 0,
        shares: vec![route::Share { service, weight: 1 }],
        attempts: 3,
        priority: 2,
        complete_ms: 18_000,
        give_up_ms,
        waiting_tokens: 0,
    }
}

/// Returns a table of routes.
pub fn table(routes: Vec<route::Route>) -> route::Table {
    route::Table::new(&route::Config {
        version: 1,
        routes,
        services: Vec::new(),
        limits: route::Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_ms: 1,
            idle_ms: 1,
        },
    })
}

/// Judges items by nothing.
pub fn unjudged(_: &[(Name, Name)]) -> suspect::Request {
    suspect::Request::default()
}
