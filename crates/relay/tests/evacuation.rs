//! Orders to empty VMs that keep a replica.

use bw_relay::evacuation::{Role, Verdict, Vm, decide, removable};
use rstest::rstest;

const REPLICAS: usize = 3;

/// Builds VMs `a`, `b` and so on: `v` votes, `l` learns, `s` stands by; capital
/// letters were ordered to be emptied.
fn vms(parts: &str) -> Vec<Vm> {
    let named = parts.chars().zip('a'..);
    let vms = named.map(|(part, node)| Vm {
        node: node.to_string().as_str().into(),
        role: match part.to_ascii_lowercase() {
            'v' => Role::Voter,
            'l' => Role::Learner,
            _ => Role::Standby,
        },
        evacuated: part.is_uppercase(),
    });
    vms.collect()
}

/// Guards against giving away a replica that the group needs to bear its losses.
#[rstest]
#[case::none_to_spare("vvv", "a", Verdict::TooFew)]
#[case::one_to_spare("vvvs", "a", Verdict::Accepted)]
#[case::spare_itself("vvvs", "d", Verdict::Accepted)]
#[case::spare_is_promised("Vvvs", "b", Verdict::TooFew)]
#[case::repeated_order("Vvvs", "a", Verdict::Accepted)]
#[case::unknown("vvvs", "e", Verdict::Unknown)]
fn orders_are_accepted_while_enough_replicas_are_left(
    #[case] parts: &str,
    #[case] node: &str,
    #[case] verdict: Verdict,
) {
    assert_eq!(decide(&vms(parts), node, REPLICAS), verdict);
}

/// Guards against removing a replica before another has taken its place.
#[rstest]
#[case::nothing_ordered("vvvs", None)]
#[case::nobody_took_over("Vvvs", None)]
#[case::successor_catches_up("Vvvl", None)]
#[case::successor_votes("Vvvv", Some("a"))]
#[case::learner_is_ordered("vvvL", Some("d"))]
#[case::only_a_standby_is_ordered("vvvS", None)]
fn a_replica_leaves_once_enough_others_vote(#[case] parts: &str, #[case] node: Option<&str>) {
    let vms = vms(parts);
    assert_eq!(removable(&vms, REPLICAS).map(|vm| &*vm.node), node);
}
