//! Loads of backend servers and the messages that carry them.
//!
//! Entry VMs and the leader exchange loads many times a second. A message names
//! a backend server by a number that the leader gives it, and has only what
//! changed since the message before.

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
    /// Batch items running.
    pub batch: u32,
    /// Whether it is ejected: it failed its requests and gets no new ones for a while.
    pub ejected: bool,
}

/// What one entry VM has to say of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Usage {
    /// The id of the backend server.
    pub id: Name,
    /// Online requests in flight.
    pub online: u32,
    /// Answers since the last report.
    pub succeeded: u32,
    /// Failures since the last report.
    pub failed: u32,
}

/// Numbers of backend servers, in the order in which the leader learned of them.
#[derive(Clone, Debug, Default)]
struct Roster {
    names: Vec<Name>,
    numbers: HashMap<Name, u32>,
}

impl Roster {
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

/// The leader's side: numbers backend servers and says what changed.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    roster: Roster,
    /// Loads by number as they were told last.
    told: Vec<message::Load>,
}

impl Publisher {
    /// Returns the id of a backend server that a report names.
    pub fn name(&self, number: u32) -> Option<&Name> {
        self.roster.name(number)
    }

    /// Returns the number of a backend server.
    pub fn number(&self, id: &str) -> Option<u32> {
        self.roster.number(id)
    }

    /// Takes the loads of all known backend servers. Returns what receivers of
    /// all messages so far need to know, `None` if nothing changed.
    pub fn changes(&mut self, loads: &[Load]) -> Option<message::Loads> {
        let known = self.told.len();
        let mut changed = Vec::new();
        for load in loads {
            let number = self.roster.add(&load.id);
            let load = message::Load {
                number,
                online: load.online,
                batch: load.batch,
                ejected: load.ejected,
            };
            match self.told.get_mut(number as usize) {
                Some(told) if *told == load => {}
                Some(told) => {
                    *told = load;
                    changed.push(load);
                }
                None => {
                    self.told.push(load);
                    changed.push(load);
                }
            }
        }
        let names = self.roster.names[known..].to_vec();
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
            names: self.roster.names.clone(),
            loads: self.told.clone(),
        }
    }
}

/// The receiver's side.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    roster: Roster,
}

impl Subscriber {
    /// Applies a message and returns the loads that changed; after a snapshot all other
    /// loads are zero.
    pub fn apply(&mut self, message: &message::Loads) -> Vec<Load> {
        if message.is_snapshot {
            self.roster.clear();
        }
        for id in &message.names {
            self.roster.add(id);
        }
        let loads = message.loads.iter().filter_map(|load| {
            Some(Load {
                id: self.roster.name(load.number)?.clone(),
                online: load.online,
                batch: load.batch,
                ejected: load.ejected,
            })
        });
        loads.collect()
    }

    /// Encodes a report. Backend servers that have no number yet are left out;
    /// the leader numbers them within a few milliseconds.
    pub fn report(&self, usage: &[Usage]) -> Vec<message::Usage> {
        let numbered = usage.iter().filter_map(|usage| {
            Some(message::Usage {
                number: self.roster.number(&usage.id)?,
                online: usage.online,
                succeeded: usage.succeeded,
                failed: usage.failed,
            })
        });
        numbered.collect()
    }

    /// Forgets all numbers, as another leader gives others.
    pub fn clear(&mut self) {
        self.roster.clear();
    }
}
