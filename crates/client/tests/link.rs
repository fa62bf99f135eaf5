//! Connections of the control client.

use std::{collections, future, net, sync, time};

use bw_client::control;
use bw_wire::{rpc, verdict};
use jsonrpsee::{ConnectionId, RpcModule, server};

const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(300);

type Connections = sync::Mutex<collections::BTreeSet<usize>>;

/// Guards against a client that keeps a connection without answers after a timeout, and
/// so stays disconnected for minutes after a partition has ended.
#[tokio::test]
async fn connections_are_replaced_after_a_timeout() {
    let used_connections: sync::Arc<Connections> = sync::Arc::default();
    let mut module = RpcModule::new(sync::Arc::clone(&used_connections));
    module
        .register_async_method(rpc::IN_FORCE, |_, connections, extensions| async move {
            let id = extensions.get::<ConnectionId>().expect("connection id");
            connections.lock().expect("not poisoned").insert(id.0);
            future::pending::<u64>().await
        })
        .expect("method");
    let server = server::ServerBuilder::default()
        .build("127.0.0.1:0")
        .await
        .expect("server");
    let address = server.local_addr().expect("address").to_string();
    let server = server.start(module);
    let client = control::Builder::new(vec![address.as_str().into()])
        .call_timeout(CALL_TIMEOUT)
        .total_timeout(2 * CALL_TIMEOUT)
        .build();

    let error = client.in_force(1).await.expect_err("nobody answers");
    assert_eq!(error.verdict, verdict::Verdict::MayHaveRun);
    let used = used_connections.lock().expect("not poisoned").len();
    assert!(used >= 2, "{used} connections were used");
    server.stop().expect("server stops");
}

/// Guards against a refusal that says `may_have_run` although no replica could
/// be reached.
#[tokio::test]
async fn refused_connections_mean_not_run() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let client = control::Builder::new(vec![address.as_str().into()])
        .total_timeout(CALL_TIMEOUT)
        .build();

    let error = client.in_force(1).await.expect_err("nobody listens");
    assert_eq!(error.verdict, verdict::Verdict::NotRun, "{error}");
}
