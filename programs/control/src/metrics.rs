//! Metrics of the control program.

use std::sync;

use prometheus::{IntCounterVec, IntGaugeVec};

use bw_base::metrics;

macro_rules! metric {
    ($(#[$doc:meta])* $name:ident: $kind:ty = $make:ident($metric:literal, $help:literal, $labels:expr)) => {
        $(#[$doc])*
        pub(crate) static $name: sync::LazyLock<$kind> =
            sync::LazyLock::new(|| metrics::$make($metric, $help, &$labels));
    };
}

metric!(CALLS: IntCounterVec = counter("bw_control_calls_total", "Calls to the control port by method.", ["method"]));
metric!(REFUSALS: IntCounterVec = counter("bw_control_refusals_total", "Refused calls by reason.", ["reason"]));
metric!(RETRIES: IntCounterVec = counter("bw_control_retries_total", "Repeated work by reason.", ["reason"]));
metric!(RAFT_DROPPED: IntCounterVec = counter("bw_control_raft_dropped_total", "Consensus messages that were not sent, by reason.", ["reason"]));
metric!(ORDERS: IntCounterVec = counter("bw_control_orders_total", "Orders to backend servers by result.", ["result"]));
metric!(LOG: IntGaugeVec = gauge("bw_control_log_index", "Log positions by group.", ["group", "position"]));
metric!(TERM: IntGaugeVec = gauge("bw_control_term", "Term by group.", ["group"]));
metric!(LEADER: IntGaugeVec = gauge("bw_control_leader", "1 while this replica leads the group.", ["group"]));
metric!(LEASE: IntGaugeVec = gauge("bw_control_lease_remaining_ms", "Remaining leader lease by group.", ["group"]));
metric!(MEMBERS: IntGaugeVec = gauge("bw_control_members", "Members by group and part.", ["group", "part"]));
metric!(REVISION: IntGaugeVec = gauge("bw_control_revision", "Configuration revision.", []));
metric!(ENTRIES: IntGaugeVec = gauge("bw_control_entries", "Entry VMs with a lease.", []));
metric!(BACKENDS: IntGaugeVec = gauge("bw_control_backends", "Known backend servers.", []));
metric!(DISK: IntGaugeVec = gauge("bw_control_disk", "Totals of the write-ahead log since the start.", ["total"]));
metric!(STORED: IntGaugeVec = gauge("bw_control_stored_bytes", "Bytes of input lines and results by group.", ["group"]));
metric!(PAYLOADS: IntGaugeVec = gauge("bw_control_payload_bytes", "Bytes of payload segments by group and part.", ["group", "part"]));
metric!(PLACEMENT: IntGaugeVec = gauge("bw_control_placement_missing", "Replicas that a model still lacks.", ["model"]));
