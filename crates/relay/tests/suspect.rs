//! Requests that crash backend servers, told from bystanders.

use bw_relay::suspect::{Fingerprint, Suspects};

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::new("a.example", "/x", body.as_bytes())
}

#[test]
fn the_third_crash_refuses_a_request_wherever_it_comes_from() {
    let (mut here, mut there) = (Suspects::default(), Suspects::default());
    let poison = fingerprint("poison");
    for _ in 0..2 {
        there.merge(here.crashed(poison));
    }
    assert!(!here.is_refused(poison));
    here.merge(there.crashed(poison));
    assert!(here.is_refused(poison) && there.is_refused(poison));
    assert!(!here.is_refused(fingerprint("other")));
}

/// Guards against refusing a request that only was on a crashed backend server.
#[test]
fn a_bystander_is_cleared_when_it_ends_whole() {
    let mut suspects = Suspects::default();
    let bystander = fingerprint("bystander");
    for _ in 0..5 {
        suspects.crashed(bystander);
        assert!(suspects.finished(bystander).is_some());
        assert!(!suspects.is_refused(bystander));
    }
    assert!(suspects.finished(bystander).is_none(), "nothing to tell");
}

#[test]
fn parts_of_the_content_do_not_run_together() {
    let one = Fingerprint::new("a", "/bc", b"d");
    let other = Fingerprint::new("a", "/b", b"cd");
    assert_ne!(one, other);
}

#[test]
fn memory_is_bounded() {
    let mut suspects = Suspects::default();
    for number in 0..20_000 {
        suspects.crashed(fingerprint(&number.to_string()));
    }
    assert_eq!(suspects.all().len(), 10_000);
}
