//! Loads of backend servers and their encoding in messages.
//!
//! Entry VMs and the leader exchange loads many times a second. To keep the messages
//! small, they name a backend server by a number that the leader assigns, and contain
//! only what changed since the message before.

use std::collections::HashMap;

use bw_wire::name::Name;

use crate::message;

/// Load of one backend server, summed over all entry VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Load {
    /// The id of the backend server.
    pub id: Name,
    /// Online requests in flight.
    pub online: u32,
    /// Batch items that run.
    pub batch: u32,
    /// Whether it is ejected: it failed its requests and gets no new ones for a while.
    pub ejected: bool,
}

/// Requests of one entry VM at a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The id of the backend server.
    pub id: Name,
    /// Online requests in flight.
    pub online: u32,
    /// Requests that succeeded since the last report.
    pub succeeded: u32,
    /// Requests that failed since the last report.
    pub failed: u32,
}

/// The numbers of backend servers, assigned in the order in which the leader learned of
/// them.
#[derive(Clone, Debug, Default)]
struct Numbers {
    names: Vec<Name>,
    numbers: HashMap<Name, u32>,
}

impl Numbers {
    fn number(&self, id: &str) -> Option<u32> {
        self.numbers.get(id).copied()
    }

    fn name(&self, number: u32) -> Option<&Name> {
        self.names.get(number as usize)
    }

    fn add(&mut self, id: &Name) -> u32 {
        if let Some(number) = self.number(id) {
            return number;
        }
        let number = self.names.len() as u32;
        self.names.push(id.clone());
        self.numbers.insert(id.clone(), number);
        number
    }

    fn clear(&mut self) {
        self.names.clear();
        self.numbers.clear();
    }
}

/// The leader's side: assigns numbers to backend servers and publishes changes.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    numbers: Numbers,
    /// The loads that were published last, by number.
    published: Vec<message::Load>,
}

impl Publisher {
    /// Returns the id of the backend server with a number.
    pub fn name(&self, number: u32) -> Option<&Name> {
        self.numbers.name(number)
    }

    /// Returns the number of a backend server.
    pub fn number(&self, id: &str) -> Option<u32> {
        self.numbers.number(id)
    }

    /// Publishes the loads of all known backend servers. Returns what changed for
    /// receivers of all earlier messages, `None` if nothing did.
    pub fn changes(&mut self, loads: &[Load]) -> Option<message::Loads> {
        let known = self.published.len();
        let mut changed = Vec::new();
        for load in loads {
            let number = self.numbers.add(&load.id);
            let load = message::Load {
                number,
                online: load.online,
                batch: load.batch,
                ejected: load.ejected,
            };
            match self.published.get_mut(number as usize) {
                Some(published) if *published == load => {}
                Some(published) => {
                    *published = load;
                    changed.push(load);
                }
                None => {
                    self.published.push(load);
                    changed.push(load);
                }
            }
        }
        let names = self.numbers.names[known..].to_vec();
        (!changed.is_empty()).then_some(message::Loads {
            is_snapshot: false,
            names,
            loads: changed,
        })
    }

    /// Returns a snapshot of all published loads, for a new receiver.
    pub fn snapshot(&self) -> message::Loads {
        message::Loads {
            is_snapshot: true,
            names: self.numbers.names.clone(),
            loads: self.published.clone(),
        }
    }
}

/// The receiver's side: translates the numbers of one leader.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    numbers: Numbers,
}

impl Subscriber {
    /// Applies a message and returns the loads that changed. If the message is a
    /// snapshot, all other loads are zero.
    pub fn apply(&mut self, message: &message::Loads) -> Vec<Load> {
        if message.is_snapshot {
            self.numbers.clear();
        }
        for id in &message.names {
            self.numbers.add(id);
        }
        let loads = message.loads.iter().filter_map(|load| {
            Some(Load {
                id: self.numbers.name(load.number)?.clone(),
                online: load.online,
                batch: load.batch,
                ejected: load.ejected,
            })
        });
        loads.collect()
    }

    /// Encodes a report to the leader. It leaves out backend servers without a number,
    /// which the leader assigns within a few milliseconds.
    pub fn report(&self, usage: &[Usage]) -> Vec<message::Usage> {
        let numbered = usage.iter().filter_map(|usage| {
            Some(message::Usage {
                number: self.numbers.number(&usage.id)?,
                online: usage.online,
                succeeded: usage.succeeded,
                failed: usage.failed,
            })
        });
        numbered.collect()
    }

    /// Discards all numbers, as another leader assigns others.
    pub fn clear(&mut self) {
        self.numbers.clear();
    }
}
