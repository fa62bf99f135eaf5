//! Choice of the server that gets a request.

use std::sync::atomic;

use crate::scenario;

/// Chooses among servers and counts what is in flight at each.
#[derive(Debug)]
pub struct Picker {
    rule: Rule,
    servers: Vec<Server>,
    next: atomic::AtomicUsize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rule {
    InTurn,
    LeastInFlight,
    First,
}

#[derive(Debug)]
struct Server {
    address: String,
    in_flight: atomic::AtomicU32,
    usable: atomic::AtomicBool,
}

/// A chosen server; counts as in flight until it is dropped.
#[derive(Debug)]
pub struct Picked<'a> {
    server: &'a Server,
    /// The server's position.
    pub index: usize,
}

impl Picked<'_> {
    /// Returns `IP:port` of the server.
    pub fn address(&self) -> &str {
        &self.server.address
    }
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        self.server
            .in_flight
            .fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Picker {
    /// Creates the picker of a policy.
    pub fn new(policy: scenario::Policy, addresses: &[String]) -> Picker {
        let rule = match policy {
            // The platform's load balancer in front of the entry VMs.
            scenario::Policy::Bilberrywind | scenario::Policy::BilberrywindHealthy => Rule::InTurn,
            scenario::Policy::RoundRobin => Rule::InTurn,
            scenario::Policy::Direct => Rule::First,
            scenario::Policy::Fcfs => Rule::LeastInFlight,
            scenario::Policy::OnlineAlone | scenario::Policy::BatchAlone => Rule::LeastInFlight,
        };
        let server = |address: &String| Server {
            address: address.clone(),
            in_flight: atomic::AtomicU32::new(0),
            usable: atomic::AtomicBool::new(true),
        };
        Picker {
            rule,
            servers: addresses.iter().map(server).collect(),
            next: atomic::AtomicUsize::new(0),
        }
    }

    /// Chooses a server, if possible not the one that failed before.
    ///
    /// Returns `None` only without servers.
    pub fn pick(&self, failed: Option<usize>) -> Option<Picked<'_>> {
        let count = self.servers.len();
        if count == 0 {
            return None;
        }
        let start = match self.rule {
            Rule::First => 0,
            _ => self.next.fetch_add(1, atomic::Ordering::Relaxed) % count,
        };
        // Starting at another server each time spreads ties.
        let order = (0..count).map(|offset| (start + offset) % count);
        let avoid = |index: &usize| {
            let usable = self.servers[*index].usable.load(atomic::Ordering::Relaxed);
            (!usable, failed == Some(*index))
        };
        let load = |index: &usize| match self.rule {
            Rule::LeastInFlight => self.servers[*index]
                .in_flight
                .load(atomic::Ordering::Relaxed),
            _ => 0,
        };
        let index = order.min_by_key(|index| (avoid(index), load(index)))?;
        let server = &self.servers[index];
        server.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
        Some(Picked { server, index })
    }

    /// Returns the addresses of the servers.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().map(|server| server.address.as_str())
    }

    /// Says whether a server passed its last health check.
    pub fn set_usable(&self, index: usize, usable: bool) {
        if let Some(server) = self.servers.get(index) {
            server.usable.store(usable, atomic::Ordering::Relaxed);
        }
    }
}
