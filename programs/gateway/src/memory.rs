//! How much of unfinished answers a process holds.
//!
//! A backend server in trouble may send bytes without end. What is held of one
//! answer is limited where it is read; the budget limits what is held of all
//! together, so that a small VM survives when every backend server does it.

use std::{cell::Cell, rc::Rc};

/// Bytes that a process may hold of all unfinished answers. Entry VMs have 88 MB;
/// the programs need less than 40 MB beside this.
const BYTES_MAX: usize = 16 << 20;

/// What a process holds in all; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    used: Rc<Cell<usize>>,
}

impl Budget {
    /// Returns the bytes that are held.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Starts the account of one answer.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// What is held of one answer, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Notes how many bytes are held now. Returns false if the process holds too
    /// much and this answer must go.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.budget.used.get() - self.bytes;
        let grows = bytes > self.bytes;
        self.bytes = bytes;
        self.budget.used.set(others + bytes);
        !grows || others + bytes <= BYTES_MAX
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
