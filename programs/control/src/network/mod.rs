//! The network thread: control port, links to other replicas, admin endpoints
//! and orders to backend servers. It only moves messages.

pub(crate) mod admin;
pub(crate) mod auth;
pub(crate) mod call;
pub(crate) mod links;
pub(crate) mod methods;
pub(crate) mod orders;
