//! Published routes: which services run a request, and with which guarantees and
//! limits.

use std::{
    collections::{BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

/// The kind of a route, which decides whether its requests may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a stream of numbered events. A resumable stream may continue at
    /// another backend server; any other runs at most once.
    Stream {
        /// Whether the stream may be resumed.
        resumable: bool,
    },
    /// Requests are the items of jobs, which run later and are resumable.
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

    /// Returns whether the answer is a stream of events.
    pub fn streams(self) -> bool {
        matches!(self, Kind::Stream { .. } | Kind::Batch)
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The name of the service.
    pub service: Name,
    /// The weight relative to the other shares; 0 for no requests.
    pub weight: u32,
}

/// A route: which requests of callers it takes, and how they are run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs.
    pub name: Name,
    /// The host in the requests of callers.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub prefix: Name,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Longest duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of the answer or its first event, in milliseconds.
    pub target_ms: u64,
    /// Latency objective of the time between two events, in milliseconds; 0 for none.
    pub gap_ms: u64,
    /// The services that run the requests. A service may have several shares.
    pub shares: Vec<Share>,
    /// Most backend servers to which one request may be sent.
    pub attempts: u32,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// When the results of a job are due, in milliseconds after its submission.
    pub complete_ms: u64,
    /// When the items of a job may be given up, in milliseconds after its submission.
    pub give_up_ms: u64,
    /// Most tokens of unfinished items, over all callers; 0 for no limit.
    pub waiting_tokens: u64,
}

/// Identifies a route. It stays the same while operators change the rest of the route.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Key {
    /// The host in the requests of callers.
    pub host: Name,
    /// The path prefix, with a slash at both ends.
    pub prefix: Name,
}

impl Route {
    /// Returns whether the route has the key.
    pub fn has_key(&self, key: &Key) -> bool {
        self.host == key.host && self.prefix == key.prefix
    }

    /// Picks a service by weight, the same one for the same `random` number. Returns
    /// `None` if all weights are 0.
    pub fn service(&self, random: u64) -> Option<&Name> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = random.checked_rem(total)?;
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

/// A service that backend servers run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name by which shares and backend servers refer to it.
    pub name: Name,
    /// Most connections that one backend server accepts, over all callers.
    pub connections: u32,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest headers of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the headers, in milliseconds.
    pub header_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_ms: u64,
}

/// A complete configuration, which replaces the one before as a whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version. Of all published configurations, the one with the highest version
    /// is in force.
    pub version: u64,
    /// The routes; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// The services that routes may name.
    pub services: Vec<Service>,
    /// The limits on the requests of callers, the same for all routes.
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
    /// Validates the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first problem that is found.
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

/// The routes of one configuration, indexed by host.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The routes of each host, those with the longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
}

impl Table {
    /// Indexes the routes of a configuration.
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

    /// Returns the route of a request: that of the host whose prefix is the longest that
    /// matches the path. A port in the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route with a key.
    pub fn get(&self, key: &Key) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&key.host)?;
        routes.iter().find(|route| route.has_key(key))
    }
}
