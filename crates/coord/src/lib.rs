//! An embeddable implementation of Raft: replicated logs with leader election,
//! leader leases and membership changes.
//!
//! A [`host::Host`] runs one replica of each of several replicated logs
//! (groups) and keeps them in one shared write-ahead log, so that one disk sync
//! covers all groups. The host performs no network I/O, starts no threads and
//! reads no clock: the program passes in messages and the time, and sends the
//! messages that the host returns. Disks are accessed through [`storage::Disk`].
//!
//! ```
//! use bw_coord::{GroupId, ReplicaId, host, member, storage};
//!
//! struct Counter(u64);
//!
//! impl host::Machine for Counter {
//!     fn apply(&mut self, _index: u64, _command: &[u8]) -> Vec<u8> {
//!         self.0 += 1;
//!         self.0.to_le_bytes().to_vec()
//!     }
//!     fn snapshot(&self) -> Vec<u8> {
//!         self.0.to_le_bytes().to_vec()
//!     }
//!     fn restore(&mut self, data: &[u8]) -> Result<(), host::RestoreError> {
//!         let bytes = data.try_into().map_err(|_| host::RestoreError::new("length"))?;
//!         self.0 = u64::from_le_bytes(bytes);
//!         Ok(())
//!     }
//! }
//!
//! struct Types;
//!
//! impl host::Types for Types {
//!     type Disk = storage::Memory;
//!     type Machine = Counter;
//! }
//!
//! let members = vec![member::Member::voter(ReplicaId(1), "10.0.0.1:7000", "zone-a")];
//! let mut host = host::Builder::<Types>::new(ReplicaId(1), members)
//!     .group(GroupId(0), Counter(0))
//!     .open(storage::Memory::new())?;
//! host.step(vec![host::Input::Tick], 0, &mut |_output| {})?;
//! # Ok::<(), storage::Error>(())
//! ```

pub mod host;
mod id;
pub mod member;
pub mod message;
pub mod node;
pub mod payload;
mod snapshot;
pub mod storage;
mod wal;

pub use id::{GroupId, ReplicaId};
