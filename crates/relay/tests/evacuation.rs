//! Orders to evacuate VMs that keep a replica.

use bw_relay::evacuation::{Role, Verdict, Vm, decide, removable};
use rstest::rstest;

const REPLICAS: usize = 3;

/// Builds VMs `a`, `b` and so on from one letter each: `v` for a voter, `l` for a
/// learner, `s` for a standby, in upper case if the VM is being evacuated.
fn vms(roles: &str) -> Vec<Vm> {
    let named = roles.chars().zip('a'..);
    let vms = named.map(|(role, node)| Vm {
        node: node.to_string().as_str().into(),
        role: match role.to_ascii_lowercase() {
            'v' => Role::Voter,
            'l' => Role::Learner,
            _ => Role::Standby,
        },
        evacuated: role.is_uppercase(),
    });
    vms.collect()
}

/// Guards against giving up a replica that the group needs to tolerate its losses.
#[rstest]
#[case::none_to_spare("vvv", "a", Verdict::TooFew)]
#[case::one_to_spare("vvvs", "a", Verdict::Accepted)]
#[case::spare_itself("vvvs", "d", Verdict::Accepted)]
#[case::spare_is_needed_already("Vvvs", "b", Verdict::TooFew)]
#[case::repeated_order("Vvvs", "a", Verdict::Accepted)]
#[case::unknown("vvvs", "e", Verdict::Unknown)]
fn orders_are_accepted_while_enough_replicas_remain(
    #[case] roles: &str,
    #[case] node: &str,
    #[case] verdict: Verdict,
) {
    assert_eq!(decide(&vms(roles), node, REPLICAS), verdict);
}

/// Guards against removing a replica before another one votes in its stead.
#[rstest]
#[case::nothing_ordered("vvvs", None)]
#[case::no_successor("Vvvs", None)]
#[case::successor_catches_up("Vvvl", None)]
#[case::successor_votes("Vvvv", Some("a"))]
#[case::learner_is_ordered("vvvL", Some("d"))]
#[case::only_a_standby_is_ordered("vvvS", None)]
fn a_replica_is_removed_once_enough_others_vote(#[case] roles: &str, #[case] node: Option<&str>) {
    let vms = vms(roles);
    assert_eq!(removable(&vms, REPLICAS).map(|vm| &*vm.node), node);
}
