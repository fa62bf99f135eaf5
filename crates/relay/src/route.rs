//! Published routes: which service may run a request, and on which terms.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a series of numbered events. A resumable stream may go on
    /// at another backend server; any other runs at most once.
    Stream {
        /// Whether the stream may be resumed.
        resumable: bool,
    },
    /// Requests are submitted in jobs and run later.
    Batch,
}

impl Kind {
    /// Returns whether a request that may have run may be sent again.
    pub fn repeatable(self) -> bool {
        match self {
            Kind::Idempotent | Kind::Batch => true,
            Kind::NonIdempotent => false,
            Kind::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the answer is a series of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. } | Kind::Batch)
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: Name,
    /// The relative weight.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs.
    pub name: Name,
    /// The host that callers name.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective up to the answer or the first event, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between events that is on time, in milliseconds; 0 if unset.
    pub gap_ms: u64,
    /// Services that run the requests. Services of one route may repeat.
    pub shares: Vec<Share>,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Rank, 0 is the most urgent.
    pub priority: u32,
    /// When the results of a job are due, in milliseconds after its submission.
    pub complete_ms: u64,
    /// When an item of a job may be given up, in milliseconds after submission.
    pub give_up_ms: u64,
    /// Most tokens of items that may wait, over all callers; 0 for no limit.
    pub waiting_tokens: u64,
}

/// Identifies a route. It stays the same while operators change the rest of the route.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// The host that callers name.
    pub host: Name,
    /// The path prefix.
    pub prefix: Name,
}

impl Route {
    /// Returns whether the route has the key.
    pub fn has_key(&self, key: &Key) -> bool {
        self.host == key.host && self.prefix == key.prefix
    }

    /// Picks a service by weight; `draw` is any number, equal draws pick alike.
    pub fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = draw.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns whether a service may run requests of the route.
    pub fn allows(&self, service: &Name) -> bool {
        let mut shares = self.shares.iter();
        shares.any(|share| share.weight > 0 && share.service == *service)
    }
}

/// One service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// Connections that one backend server accepts from all callers.
    pub connections: u32,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time to send the headers in milliseconds.
    pub header_ms: u64,
    /// Time that a connection may stay idle in milliseconds.
    pub idle_ms: u64,
}

/// A complete configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The limits.
    pub limits: Limits,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Invalid {
    /// A route names a service that is not declared.
    UnknownService(Name, Name),
    /// Two routes have the same host and prefix.
    Duplicate(Name, Name),
    /// The weights of a route add up to 0.
    NoWeight(Name),
    /// The timeout of a route is 0.
    NoTimeout(Name),
    /// The prefix of a route does not begin and end with a slash.
    Prefix(Name, Name),
}

impl fmt::Display for Invalid {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::UnknownService(route, service) => {
                write!(formatter, "route {route} names unknown service {service}")
            }
            Invalid::Duplicate(host, prefix) => {
                write!(formatter, "two routes have host {host} and prefix {prefix}")
            }
            Invalid::NoWeight(route) => {
                write!(formatter, "the weights of route {route} add up to 0")
            }
            Invalid::NoTimeout(route) => write!(formatter, "the timeout of route {route} is 0"),
            Invalid::Prefix(route, prefix) => write!(
                formatter,
                "prefix {prefix} of route {route} does not begin and end with a slash"
            ),
        }
    }
}

impl std::error::Error for Invalid {}

impl Config {
    /// Checks the configuration as a whole.
    ///
    /// # Errors
    ///
    /// Returns the first thing that is wrong.
    pub fn check(&self) -> Result<(), Invalid> {
        let services: BTreeSet<&Name> = self.services.iter().map(|service| &service.name).collect();
        let mut keys = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !keys.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(Invalid::Duplicate(host, prefix));
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, services: &BTreeSet<&Name>) -> Result<(), Invalid> {
    let name = || route.name.clone();
    for share in &route.shares {
        if !services.contains(&share.service) {
            return Err(Invalid::UnknownService(name(), share.service.clone()));
        }
    }
    if !route.shares.iter().any(|share| share.weight > 0) {
        return Err(Invalid::NoWeight(name()));
    }
    if route.timeout_ms == 0 {
        return Err(Invalid::NoTimeout(name()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Invalid::Prefix(name(), route.prefix.clone()));
    }
    Ok(())
}

/// The routes of one configuration, arranged for lookups.
#[derive(Clone, Debug, Default)]
pub struct Table {
    hosts: HashMap<Name, Vec<Arc<Route>>>,
}

impl Table {
    /// Arranges the routes of a configuration.
    pub fn new(config: &Config) -> Table {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Table { hosts }
    }

    /// Returns the route with the longest prefix of the path. A port in the
    /// host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }
}
