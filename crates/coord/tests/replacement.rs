//! Groups that keep their voters by [`bw_coord::member::plan`] while replicas are lost
//! for good and empty ones join.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use bw_coord::{
    ReplicaId,
    member::{
        Change,
        plan::{self, EVEN_SILENT_MS, Peer, SILENT_MS},
    },
    storage::Loss,
};
use common::{Cluster, FIRST, GROUPS, Options};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rstest::rstest;

const VOTERS_MAX: usize = 5;
/// Interval at which a leader looks for a change, and a replica asks to join.
const CONTROL_MS: u64 = 100;
/// Time from a loss until an empty replica starts.
const ABSENT_MS: u64 = 1_000;
/// Time from the start of an empty replica until the one that it replaces no longer
/// counts as lost.
const CATCH_UP_MS: u64 = 4_500;

/// Builds replicas 1, 2 and so on from one letter each. Voters: `v` is alive, `l` leaves,
/// `x` is silent, `z` has been silent for long. Learners: `s` has caught up, `b` is
/// behind, `o` leaves, `d` is silent.
fn peers(letters: &str) -> Vec<Peer> {
    let peers = letters.chars().zip(1..).map(|(letter, id)| Peer {
        replica: ReplicaId(id),
        voter: "vlxz".contains(letter),
        silent_ms: match letter {
            'x' | 'd' => SILENT_MS,
            'z' => EVEN_SILENT_MS,
            _ => SILENT_MS - 1,
        },
        caught_up: "vlso".contains(letter),
        leaving: "lo".contains(letter),
    });
    peers.collect()
}

/// Guards against lost voters that stay beside their successors, learners that vote
/// before, groups of an even size, and voters that are given up without need.
#[rstest]
#[case::all_alive("vvv", None)]
#[case::one_spare("vvvs", None)]
#[case::grows_by_two("vvvss", Some(('+', 4)))]
#[case::grows_to_an_odd_size("vvvvs", Some(('+', 5)))]
#[case::second_learner_is_behind("vvvsb", None)]
#[case::largest_size("vvvvvss", None)]
#[case::silent_without_successor("vvx", None)]
#[case::silent_for_long_without_successor("vvz", None)]
#[case::successor_is_behind("vvxb", None)]
#[case::successor_leaves("vvxo", None)]
#[case::silent_goes_first("vvxs", Some(('-', 3)))]
#[case::then_its_successor_votes("vvs", Some(('+', 3)))]
#[case::then_its_successor_is_lost("vvd", Some(('-', 3)))]
#[case::two_are_silent("vvvxzs", Some(('-', 5)))]
#[case::even_and_silent("vvvx", None)]
#[case::even_and_silent_for_long("vvvz", Some(('-', 4)))]
#[case::even_and_silent_with_successor("vvvxs", Some(('-', 4)))]
#[case::silent_learner("vvvd", Some(('-', 4)))]
#[case::leaving_without_successor("vvl", None)]
#[case::successor_of_the_leaving_votes_first("vvls", Some(('+', 4)))]
#[case::leaving_goes_next("vvlv", None)]
#[case::spare_waits_for_the_leaving("vvlvs", None)]
#[case::single("v", None)]
#[case::single_leaves("ls", Some(('+', 2)))]
fn voters_are_kept(#[case] letters: &str, #[case] expected: Option<(char, u64)>) {
    let change = plan::next(&peers(letters), VOTERS_MAX).map(|change| match change {
        Change::Promote { replica } => ('+', replica.0),
        Change::Remove { replica } => ('-', replica.0),
        Change::Add(member) => ('?', member.replica.0),
    });
    assert_eq!(change, expected);
}

/// A cluster whose leaders keep the voters and whose lost replicas are replaced.
struct Group {
    cluster: Cluster,
    rng: rand_pcg::Pcg32,
    alive: BTreeSet<u64>,
    /// Replicas that ask to join, with their failure domains.
    joining: BTreeMap<u64, usize>,
    next_id: u64,
}

impl Group {
    fn start(members: u64, standbys: u64, seed: u64) -> Group {
        let mut options = Options::new(members, seed);
        options.automatic_promotion = false;
        options.span_domains = false;
        let mut group = Group {
            cluster: Cluster::new(options),
            rng: rand_pcg::Pcg32::seed_from_u64(seed),
            alive: (1..=members).collect(),
            joining: BTreeMap::new(),
            next_id: members + 1,
        };
        for _ in 0..standbys {
            group.add();
        }
        group.run(CATCH_UP_MS);
        group
    }

    /// Starts an empty replica that asks to join.
    fn add(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.cluster.create(id, Vec::new());
        self.alive.insert(id);
        self.joining.insert(id, id as usize);
        id
    }

    /// Stops a replica for good.
    fn lose(&mut self, id: u64) {
        self.cluster.lose_disk(id);
        self.alive.remove(&id);
        self.joining.remove(&id);
    }

    fn run(&mut self, duration_ms: u64) {
        let end = self.cluster.now + duration_ms;
        while self.cluster.now < end {
            self.cluster.run(CONTROL_MS.min(end - self.cluster.now));
            self.control();
        }
    }

    /// Does what a program does on its leader.
    fn control(&mut self) {
        for group in GROUPS {
            let Some(leader) = self.cluster.leader(group) else {
                continue;
            };
            let peers = self.cluster.peers(group);
            let is_member = |id: &u64| peers.iter().any(|peer| peer.replica == ReplicaId(*id));
            let applicant = self.joining.iter().find(|(id, _)| !is_member(id));
            let change = plan::next(&peers, VOTERS_MAX).or_else(|| {
                let (id, domain) = applicant.filter(|_| plan::takes_learner(&peers))?;
                Some(self.cluster.learner(*id, *domain))
            });
            if let Some(change) = change {
                self.cluster.change(leader, group, change);
            }
        }
    }

    /// Checks that each group has as many losses to spare as its living replicas allow,
    /// up to those of five voters.
    fn check_spare(&self) {
        let odd = (self.alive.len() - 1 + self.alive.len() % 2).min(VOTERS_MAX);
        for group in GROUPS {
            let voters = self.cluster.peers(group);
            let voters: Vec<u64> = voters
                .iter()
                .filter(|peer| peer.voter)
                .map(|peer| peer.replica.0)
                .collect();
            let living = voters.iter().filter(|id| self.alive.contains(id)).count();
            let spare = living.checked_sub(voters.len() / 2 + 1);
            assert!(
                spare.is_some_and(|spare| spare >= odd / 2),
                "{group}: of the voters {voters:?}, {living} live, which spares {spare:?}"
            );
        }
    }

    fn victim(&mut self, takes_leader: bool) -> u64 {
        let leader = self.cluster.leader(FIRST);
        let alive: Vec<u64> = self.alive.iter().copied().collect();
        match leader.filter(|_| takes_leader) {
            Some(leader) => leader,
            None => *alive.choose(&mut self.rng).expect("a replica"),
        }
    }
}

/// Guards against groups whose lost voters use up the losses that they can bear, at
/// whatever moment the next one is lost.
#[rstest]
fn losses_one_after_the_other_leave_a_majority(
    #[values(3, 4, 5, 6)] replicas: u64,
    #[values(false, true)] takes_leader: bool,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut group = Group::start(3, replicas - 3, seed);
    for _ in 0..2 * replicas {
        group.check_spare();
        group.cluster.write_acked(FIRST, 100);
        let victim = group.victim(takes_leader);
        group.lose(victim);
        group.run(ABSENT_MS);
        group.add();
        group.run(CATCH_UP_MS);
    }
    group.check_spare();
    group.cluster.settle();
}

/// Guards against a successor that is lost before it has caught up and then counts as a
/// second loss.
#[rstest]
fn successors_that_are_lost_as_well_cost_no_majority(
    #[values(3, 5)] replicas: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut group = Group::start(3, replicas - 3, seed);
    for _ in 0..replicas {
        let victim = group.victim(seed.is_multiple_of(2));
        group.lose(victim);
        for _ in 0..4 {
            let successor = group.add();
            let pause_ms = group.rng.random_range(1..CATCH_UP_MS);
            group.run(pause_ms);
            group.lose(successor);
            group.cluster.write_acked(FIRST, 100);
        }
        group.run(ABSENT_MS);
        group.add();
        group.run(CATCH_UP_MS);
        group.check_spare();
    }
    group.cluster.settle();
}

/// Guards against an exchange that nobody completes because its leader is restarted at
/// any moment of it.
#[rstest]
fn an_exchange_is_completed_by_the_next_leader(
    #[values(3, 5)] replicas: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut group = Group::start(3, replicas - 3, seed);
    for _ in 0..replicas {
        let victim = group.victim(false);
        group.lose(victim);
        group.run(ABSENT_MS);
        group.add();
        for _ in 0..3 {
            let pause_ms = group.rng.random_range(1..2_000);
            group.run(pause_ms);
            if let Some(leader) = group.cluster.leader(FIRST) {
                group.cluster.crash(leader, Loss::All);
                group.run(50);
                group.cluster.start(leader).expect("healthy disk");
            }
        }
        // A new leader counts the silence from the start of its term.
        group.run(CATCH_UP_MS + SILENT_MS);
        group.check_spare();
    }
    group.cluster.settle();
}

/// Guards against a learner that was removed while it was silent and never finds out.
#[rstest]
fn a_removed_learner_forgets_its_leader(#[values(1, 2, 3)] seed: u64) {
    let mut group = Group::start(3, 1, seed);
    group.cluster.isolate(4, true);
    group.joining.clear();
    group.run(SILENT_MS + 1_000);
    assert_eq!(group.cluster.peers(FIRST).len(), 3);
    group.cluster.isolate(4, false);
    group.run(1_000);
    let status = group.cluster.status(4, FIRST).expect("running");
    assert_eq!(status.leader, None);
}

/// Guards against a group that was cut in two and gives up the voters of a half, with
/// their copies of what is committed.
#[rstest]
fn no_voter_is_given_up_in_a_cut(
    #[values(3, 4, 5)] replicas: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut group = Group::start(3, replicas - 3, seed);
    let voters = |group: &Group| -> BTreeSet<u64> {
        let peers = group.cluster.peers(FIRST);
        let voters = peers.iter().filter(|peer| peer.voter);
        voters.map(|peer| peer.replica.0).collect()
    };
    let before = voters(&group);
    let side: Vec<u64> = before.iter().copied().take(before.len() / 2).collect();
    for (one, other) in before
        .iter()
        .flat_map(|one| before.iter().map(move |other| (*one, *other)))
        .filter(|(one, other)| side.contains(one) != side.contains(other))
    {
        group.cluster.blocked.insert((one, other));
    }
    group.run(2 * SILENT_MS);
    group.cluster.write_acked(FIRST, 100);
    let during = voters(&group);
    assert_eq!(
        during.len(),
        before.len(),
        "{during:?} instead of {before:?}"
    );
    group.cluster.blocked.clear();
    group.run(CATCH_UP_MS);
    group.cluster.settle();
}
