//! A memory budget for responses that are still being read.
//!
//! A faulty backend server may send an endless response. The reader of a
//! response limits the bytes that it buffers; the budget limits the bytes of all
//! responses together, so that a small VM survives when every backend server is
//! faulty.

use std::{cell::Cell, rc::Rc};

/// Buffered bytes of all responses in a process. Entry VMs have 88 MB of memory,
/// of which the programs need less than 40 MB for everything else.
const BYTES_MAX: usize = 16 << 20;

/// The bytes that a process buffers for all responses; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    used: Rc<Cell<usize>>,
}

impl Budget {
    /// Returns the buffered bytes of all reservations.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns an empty reservation for one response.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// The buffered bytes of one response. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Sets the number of buffered bytes. Returns false if it grew and the budget
    /// is exceeded, after which the caller must give the response up.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.budget.used.get() - self.bytes;
        let grew = bytes > self.bytes;
        self.bytes = bytes;
        self.budget.used.set(others + bytes);
        !grew || others + bytes <= BYTES_MAX
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}
