//! Random simulations of whole clusters.
//!
//! [`common::Cluster`] checks after every step that a term has one leader, that
//! applied sequences agree, that leases do not overlap, that reads are not
//! stale and that learners become voters only once they have caught up.

mod common;

use std::collections::BTreeMap;

use bw_coord::{GroupId, ReplicaId, member, storage::Loss};
use common::{Cluster, ELECTION_TIMEOUT_MS, GROUPS, Network, Options};
use proptest::{prelude::*, sample, test_runner};

#[derive(Clone, Debug)]
enum Action {
    Run {
        duration_ms: u64,
    },
    Write {
        group: GroupId,
        count: usize,
        size: usize,
    },
    WriteAnywhere {
        group: GroupId,
        replica: sample::Index,
    },
    Read {
        group: GroupId,
        replica: sample::Index,
    },
    Crash {
        replica: sample::Index,
        loss: Loss,
    },
    CrashLeader {
        group: GroupId,
        loss: Loss,
    },
    FailSync {
        replica: sample::Index,
    },
    HoldSyncs {
        replica: sample::Index,
    },
    FinishSync {
        replica: sample::Index,
    },
    ReleaseSyncs,
    Restart,
    Isolate {
        replica: sample::Index,
    },
    IsolateLeader {
        group: GroupId,
    },
    Block {
        from: sample::Index,
        to: sample::Index,
    },
    Heal,
    DegradeNetwork {
        loss: u8,
        duplication: u8,
        max_delay_ms: u64,
    },
    Transfer {
        group: GroupId,
    },
    Replace {
        replica: sample::Index,
    },
}

fn group() -> impl Strategy<Value = GroupId> {
    sample::select(GROUPS.to_vec())
}

fn loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        Just(Loss::All),
        Just(Loss::Nothing),
        (0usize..200).prop_map(|keep| Loss::Torn { keep }),
        (0usize..1_000).prop_map(|keep| Loss::Zeroed { keep }),
    ]
}

/// Returns message delays, some of them as long as several election timeouts.
fn delay() -> impl Strategy<Value = u64> {
    prop_oneof![3 => 1..60u64, 1 => 60..3 * ELECTION_TIMEOUT_MS]
}

fn action() -> impl Strategy<Value = Action> {
    let replica = any::<sample::Index>;
    prop_oneof![
        8 => (1u64..400).prop_map(|duration_ms| Action::Run { duration_ms }),
        8 => (group(), 1usize..30, 8usize..300)
            .prop_map(|(group, count, size)| Action::Write { group, count, size }),
        2 => (group(), replica())
            .prop_map(|(group, replica)| Action::WriteAnywhere { group, replica }),
        6 => (group(), replica()).prop_map(|(group, replica)| Action::Read { group, replica }),
        2 => (replica(), loss()).prop_map(|(replica, loss)| Action::Crash { replica, loss }),
        2 => (group(), loss()).prop_map(|(group, loss)| Action::CrashLeader { group, loss }),
        1 => replica().prop_map(|replica| Action::FailSync { replica }),
        2 => replica().prop_map(|replica| Action::HoldSyncs { replica }),
        3 => replica().prop_map(|replica| Action::FinishSync { replica }),
        3 => Just(Action::ReleaseSyncs),
        5 => Just(Action::Restart),
        1 => replica().prop_map(|replica| Action::Isolate { replica }),
        2 => group().prop_map(|group| Action::IsolateLeader { group }),
        2 => (replica(), replica()).prop_map(|(from, to)| Action::Block { from, to }),
        3 => Just(Action::Heal),
        3 => (0u8..30, 0u8..30, delay()).prop_map(|(loss, duplication, max_delay_ms)| {
            Action::DegradeNetwork { loss, duplication, max_delay_ms }
        }),
        2 => group().prop_map(|group| Action::Transfer { group }),
        2 => replica().prop_map(|replica| Action::Replace { replica }),
    ]
}

/// A simulated operator that replaces lost replicas, one at a time.
#[derive(Default)]
struct Operator {
    replacement: Option<Replacement>,
}

struct Replacement {
    lost: u64,
    new: u64,
}

struct Simulation {
    cluster: Cluster,
    operator: Operator,
    next_replica: u64,
    /// The failure domain of each replica, as an index.
    domains: BTreeMap<u64, usize>,
}

impl Simulation {
    fn pick(&self, index: &sample::Index) -> u64 {
        let ids: Vec<u64> = self.cluster.replicas.keys().copied().collect();
        *index.get(&ids)
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::Run { duration_ms } => self.run(*duration_ms),
            Action::Write { group, count, size } => {
                if let Some(leader) = self.cluster.leader(*group) {
                    for _ in 0..*count {
                        self.cluster.write(leader, *group, *size);
                    }
                }
            }
            Action::WriteAnywhere { group, replica } => {
                let replica = self.pick(replica);
                self.cluster.write(replica, *group, 8);
            }
            Action::Read { group, replica } => {
                let replica = self.pick(replica);
                self.cluster.read(replica, *group);
                if let Some(leader) = self.cluster.leader(*group) {
                    self.cluster.read(leader, *group);
                }
            }
            Action::Crash { replica, loss } => {
                let replica = self.pick(replica);
                self.cluster.crash(replica, *loss);
            }
            Action::CrashLeader { group, loss } => {
                if let Some(leader) = self.cluster.leader(*group) {
                    self.cluster.crash(leader, *loss);
                }
            }
            Action::FailSync { replica } => {
                self.cluster.replicas[&self.pick(replica)]
                    .disk
                    .fail_syncs(1);
            }
            Action::HoldSyncs { replica } => {
                self.cluster.hold_syncs(self.pick(replica), true);
            }
            Action::FinishSync { replica } => {
                self.cluster.replicas[&self.pick(replica)]
                    .disk
                    .finish_sync();
            }
            Action::ReleaseSyncs => self.release_syncs(),
            Action::Restart => self.restart(),
            Action::Isolate { replica } => {
                let replica = self.pick(replica);
                self.cluster.isolate(replica, true);
            }
            Action::IsolateLeader { group } => {
                if let Some(leader) = self.cluster.leader(*group) {
                    self.cluster.isolate(leader, true);
                }
            }
            Action::Block { from, to } => {
                let pair = (self.pick(from), self.pick(to));
                self.cluster.blocked.insert(pair);
            }
            Action::Heal => self.cluster.blocked.clear(),
            Action::DegradeNetwork {
                loss,
                duplication,
                max_delay_ms,
            } => {
                self.cluster.network = Network {
                    loss: f64::from(*loss) / 100.0,
                    duplication: f64::from(*duplication) / 100.0,
                    max_delay_ms: *max_delay_ms,
                };
            }
            Action::Transfer { group } => {
                if let Some(leader) = self.cluster.leader(*group) {
                    self.cluster.transfer(leader, *group);
                }
            }
            Action::Replace { replica } => self.replace(replica),
        }
    }

    fn release_syncs(&mut self) {
        for replica in self.cluster.replicas.values() {
            replica.disk.hold_syncs(false);
        }
    }

    /// Starts all stopped replicas except for one whose disk is lost.
    fn restart(&mut self) {
        let lost = self
            .operator
            .replacement
            .as_ref()
            .map(|replacement| replacement.lost);
        let stopped: Vec<u64> = self
            .cluster
            .replicas
            .iter()
            .filter(|(id, replica)| replica.host.is_none() && Some(**id) != lost)
            .map(|(id, _)| *id)
            .collect();
        for id in stopped {
            let replica = &self.cluster.replicas[&id];
            replica.disk.fail_syncs(0);
            if replica.error.is_some() {
                // After a failed sync the data may never reach the disk.
                replica.disk.crash(Loss::All);
            }
            self.cluster
                .start(id)
                .expect("a crash does not corrupt the disk");
        }
    }

    /// Erases the disk of a replica and starts a new replica, unless a replacement is in
    /// progress.
    fn replace(&mut self, replica: &sample::Index) {
        if self.operator.replacement.is_some() {
            return;
        }
        let lost = self.pick(replica);
        let new = self.next_replica;
        self.next_replica += 1;
        self.cluster.lose_disk(lost);
        self.cluster.create(new, Vec::new());
        self.domains.insert(new, self.domains[&lost]);
        self.operator.replacement = Some(Replacement { lost, new });
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms.div_ceil(50) {
            self.cluster.run(50);
            self.advance_replacement();
        }
    }

    /// Attempts the next membership change of each group.
    fn advance_replacement(&mut self) {
        let Some(replacement) = self.operator.replacement.take() else {
            return;
        };
        let done = GROUPS.map(|group| self.advance_group(group, &replacement));
        if done.iter().all(|done| *done) {
            self.cluster.replicas.remove(&replacement.lost);
            return;
        }
        self.operator.replacement = Some(replacement);
    }

    /// Attempts the next membership change of a group. Returns whether the replica is
    /// replaced.
    fn advance_group(&mut self, group: GroupId, replacement: &Replacement) -> bool {
        let Some(leader) = self.cluster.leader(group) else {
            return false;
        };
        let status = self.cluster.status(leader, group).expect("running");
        let has = |id: u64| {
            let mut members = status.members.iter();
            members.any(|member| member.replica.0 == id)
        };
        let settled = status.commit == status.last_index && status.lease_remaining_ms > 0;
        let change = if !has(replacement.new) {
            self.cluster
                .learner(replacement.new, self.domains[&replacement.lost])
        } else if has(replacement.lost) && self.cluster.is_voter(group, replacement.new) {
            let replica = ReplicaId(replacement.lost);
            member::Change::Remove { replica }
        } else {
            return !has(replacement.lost) && settled;
        };
        self.cluster.change(leader, group, change);
        false
    }

    fn finish(mut self) {
        self.cluster.blocked.clear();
        self.cluster.network = Network {
            max_delay_ms: 3,
            ..Network::default()
        };
        for replica in self.cluster.replicas.values() {
            replica.disk.fail_syncs(0);
        }
        self.release_syncs();
        self.restart();
        for _ in 0..200 {
            self.run(ELECTION_TIMEOUT_MS);
            if self.operator.replacement.is_none() {
                break;
            }
        }
        assert!(
            self.operator.replacement.is_none(),
            "the replacement does not complete"
        );
        self.cluster.settle();
    }
}

/// Selects a fixed number of cases with a fixed seed. The environment variables
/// `PROPTEST_CASES` and `PROPTEST_RNG_SEED` override them for a longer search.
fn config() -> test_runner::Config {
    test_runner::contextualize_config(test_runner::Config {
        cases: 96,
        rng_seed: test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..test_runner::Config::default()
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against sequences of faults that break a guarantee of the log.
    #[test]
    fn guarantees_hold_under_random_faults(
        seed in any::<u64>(),
        replicas in sample::select(vec![3u64, 5]),
        lease_reads in any::<bool>(),
        padding in sample::select(vec![0usize, 1_000]),
        actions in proptest::collection::vec(action(), 20..150),
    ) {
        let mut options = Options::new(replicas, seed);
        options.lease_reads = lease_reads;
        if !lease_reads {
            // All guarantees except for leases are independent of the clocks.
            options.drift = 0.7;
        }
        options.padding = padding;
        let mut simulation = Simulation {
            cluster: Cluster::new(options),
            operator: Operator::default(),
            next_replica: 10,
            domains: (1..=replicas).map(|id| (id, id as usize - 1)).collect(),
        };
        simulation.run(2 * ELECTION_TIMEOUT_MS);
        for action in &actions {
            simulation.perform(action);
        }
        simulation.finish();
    }
}
