//! Settings of a control replica.

use std::{collections, net, path};

use serde::{Deserialize, Serialize};

use bw_base::{access, logs, settings};
use bw_wire::{command::work, member, name};

/// Most work groups, because each needs timers and heartbeats on every replica.
const WORK_GROUPS_MAX: u32 = 64;
/// Smallest election timeout that works reliably on a loaded VM.
const ELECTION_MIN_MS: u64 = 100;
/// Upper bound of the clock drift during an election timeout, as a divisor of the
/// timeout. The leader lease is shorter than the election timeout by this part.
const DRIFT_DIVISOR: u64 = 10;

/// Settings of a control replica.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Settings {
    /// The replica id, from 1. An id must not be used again after its disk is lost.
    pub replica: u64,
    /// The name in logs and status.
    pub name: name::Name,
    /// `IP:port` of the control port.
    pub listen: name::Name,
    /// `IP:port` of the admin endpoints.
    pub admin: name::Name,
    /// The data folder, which only one process can use at a time.
    pub data: path::PathBuf,
    /// Folder of a backup from which an empty data folder is restored. Ignored if the
    /// data folder is not empty.
    pub restore_from: Option<path::PathBuf>,
    /// The failure domain of this replica.
    pub failure_domain: name::Name,
    /// The initial members, the same list on each of them. A replica that is not listed
    /// joins as a learner once it is added.
    pub members: Vec<member::Member>,
    /// The number of work groups. The same on all replicas, and never changed.
    pub work_groups: u32,
    /// Timeouts of elections, orders, loads and stops.
    pub timeouts: Timeouts,
    /// File of the accepted tokens as `name: token` lines.
    pub token_file: Option<path::PathBuf>,
    /// The name in the token file whose token this replica presents to others.
    /// Only this name may send consensus messages and change members.
    pub token_name: String,
    /// How long the work groups keep files, jobs, claims, attempts and suspects, and how
    /// many bytes.
    pub retention: work::Retention,
    /// Settings of the log output.
    pub logs: logs::Settings,
}

/// Timeouts, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Timeouts {
    /// Smallest election timeout, the same on all replicas.
    pub election_ms: u64,
    /// Timeout of an order to a backend server. Shorter than the leader lease, because
    /// some backend servers ignore fencing tokens.
    pub order_ms: u64,
    /// How long an engine may take to load before it is ordered again.
    pub load_ms: u64,
    /// Time limit of a graceful stop.
    pub stop_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            election_ms: 1_000,
            order_ms: 500,
            load_ms: 120_000,
            stop_ms: 10_000,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            replica: 1,
            name: "control-1".into(),
            listen: "127.0.0.1:8090".into(),
            admin: "127.0.0.1:8091".into(),
            data: "data/control-1".into(),
            restore_from: None,
            failure_domain: "local".into(),
            members: Vec::new(),
            work_groups: 4,
            timeouts: Timeouts::default(),
            token_file: None,
            token_name: "control".to_owned(),
            retention: work::Retention::default(),
            logs: logs::Settings::default(),
        }
    }
}

impl Settings {
    /// Returns the initial members. A replica without any is the only member.
    pub fn initial_members(&self) -> Vec<member::Member> {
        if !self.members.is_empty() {
            return self.members.clone();
        }
        vec![member::Member {
            replica: self.replica,
            address: self.listen.clone(),
            failure_domain: self.failure_domain.clone(),
            voter: true,
        }]
    }

    /// Returns whether the initial voters span two or more failure domains. If so, each
    /// commit must span two as well.
    pub fn spans_failure_domains(&self) -> bool {
        let members = self.initial_members();
        let voters = members.iter().filter(|member| member.voter);
        let domains: collections::BTreeSet<&name::Name> =
            voters.map(|member| &member.failure_domain).collect();
        domains.len() > 1
    }

    fn check_members(&self, report: &mut settings::Report) {
        let mut seen = collections::BTreeSet::new();
        for (position, member) in self.members.iter().enumerate() {
            let field = |name: &str| format!("members.{position}.{name}");
            report.require_address(&field("address"), &member.address);
            let unique = seen.insert(member.replica);
            report.require(unique, &field("replica"), member.replica, "is listed twice");
            let domain = &member.failure_domain;
            let has_domain = !domain.is_empty();
            report.require(
                has_domain,
                &field("failure_domain"),
                domain,
                "must not be empty",
            );
            if member.replica != self.replica {
                continue;
            }
            let same = member.failure_domain == self.failure_domain;
            let reason = "differs from failure_domain of this replica";
            report.require(same, &field("failure_domain"), domain, reason);
        }
        let voters = self.members.iter().filter(|member| member.voter).count();
        let has_voter = self.members.is_empty() || voters > 0;
        report.require(has_voter, "members", voters, "must include a voter");
    }

    fn check_timeouts(&self, report: &mut settings::Report) {
        let times = &self.timeouts;
        let reason = "must be from 100 to 10000";
        let valid = (ELECTION_MIN_MS..=10_000).contains(&times.election_ms);
        report.require(valid, "timeouts.election_ms", times.election_ms, reason);
        let lease_ms = times.election_ms - times.election_ms / DRIFT_DIVISOR;
        let reason = "must be above 0 and below nine tenths of election_ms, the leader lease";
        let valid = (1..lease_ms).contains(&times.order_ms);
        report.require(valid, "timeouts.order_ms", times.order_ms, reason);
        let reason = "must be above 0";
        report.require(times.load_ms > 0, "timeouts.load_ms", times.load_ms, reason);
        report.require(times.stop_ms > 0, "timeouts.stop_ms", times.stop_ms, reason);
    }

    fn check_access(&self, report: &mut settings::Report) {
        let Some(file) = &self.token_file else {
            for (field, address) in [("listen", &self.listen), ("admin", &self.admin)] {
                let reason = "an address that is not loopback needs token_file";
                report.require(is_loopback(address), field, address, reason);
            }
            return;
        };
        match access::Tokens::load(file) {
            Ok(tokens) => {
                let known = tokens.token_of(&self.token_name).is_some();
                let reason = "is not in token_file";
                report.require(known, "token_name", &self.token_name, reason);
            }
            Err(error) => report.add("token_file", file.display(), error.to_string()),
        }
    }

    fn check_retention(&self, report: &mut settings::Report) {
        let retention = &self.retention;
        let values = [
            ("unsealed_ms", retention.unsealed_ms),
            ("file_ms", retention.file_ms),
            ("job_ms", retention.job_ms),
            ("claim_ms", retention.claim_ms),
            ("attempt_ms", retention.attempt_ms),
            ("suspect_ms", retention.suspect_ms),
            ("max_bytes", retention.max_bytes),
            ("max_state_bytes", retention.max_state_bytes),
        ];
        for (name, value) in values {
            let field = format!("retention.{name}");
            report.require(value > 0, &field, value, "must be above 0");
        }
        let reason = "must not be below retention.job_ms: a resend would create a second job";
        let valid = retention.claim_ms >= retention.job_ms;
        report.require(valid, "retention.claim_ms", retention.claim_ms, reason);
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        report.require(self.replica > 0, "replica", self.replica, "must be above 0");
        report.require(
            !self.name.is_empty(),
            "name",
            &self.name,
            "must not be empty",
        );
        report.require_address("listen", &self.listen);
        report.require_address("admin", &self.admin);
        let domain = &self.failure_domain;
        report.require(
            !domain.is_empty(),
            "failure_domain",
            domain,
            "must not be empty",
        );
        let data = !self.data.as_os_str().is_empty();
        report.require(data, "data", self.data.display(), "must not be empty");
        let groups = (1..=WORK_GROUPS_MAX).contains(&self.work_groups);
        report.require(
            groups,
            "work_groups",
            self.work_groups,
            "must be from 1 to 64",
        );
        self.check_members(report);
        self.check_timeouts(report);
        self.check_access(report);
        self.check_retention(report);
        self.logs.check(report);
    }
}

fn is_loopback(address: &str) -> bool {
    match address.parse::<net::SocketAddr>() {
        Ok(address) => address.ip().is_loopback(),
        // A malformed address is reported by `require_address`.
        Err(_) => true,
    }
}
