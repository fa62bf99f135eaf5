//! Tests a single replica that runs inside another program.

use bw_client::control;
use bw_control::settings::Settings;
use bw_wire::{command::work, fingerprint};

fn settings(folder: &std::path::Path) -> Settings {
    Settings {
        listen: "127.0.0.1:0".into(),
        admin: "127.0.0.1:0".into(),
        data: folder.join("data"),
        ..Settings::default()
    }
}

/// Guards against a single replica that cannot commit, does not stop, or loses state on a
/// restart.
#[test]
fn a_single_replica_serves_stops_and_keeps_its_state() {
    let folder = tempfile::tempdir().expect("folder");
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    for fresh in [true, false] {
        let handle = bw_control::start(settings(folder.path())).expect("started");
        let address = handle.address().to_string().into();
        let client = control::Builder::new(vec![address]).build();
        let claim = work::Command::Claim {
            team: "t".into(),
            key: "k".into(),
            body: fingerprint::Fingerprint(1, 1),
            value: if fresh { "first" } else { "second" }.into(),
        };
        let reply = runtime.block_on(client.work(1, claim));
        let expected = work::Reply::Claimed {
            value: "first".into(),
            fresh,
        };
        assert_eq!(reply, Ok(expected));
        handle.stop().expect("stopped");
    }
}

/// Guards against two replicas that use the same data folder.
#[test]
fn a_data_folder_has_one_user() {
    let folder = tempfile::tempdir().expect("folder");
    let handle = bw_control::start(settings(folder.path())).expect("started");
    assert!(bw_control::start(settings(folder.path())).is_err());
    handle.stop().expect("stopped");
}
