//! Tests callers without a valid token and malformed or misdirected calls.

use std::{io::Write, net, time};

use bw_wire::verdict;

use crate::{cluster::Cluster, operators::plan};

/// Guards against a control port that accepts calls without a valid token.
#[tokio::test]
async fn calls_without_the_token_are_refused() {
    let cluster = Cluster::start(Some("secret-1"));
    cluster.leader(0).await;
    for token in [None, Some("secret-2"), Some("")] {
        let client = cluster.client_with(token);
        for address in client.addresses() {
            assert!(client.status(address).await.is_err());
        }
    }
    assert_eq!(cluster.revision().await, 0);
}

/// Guards against a replica that stops because it receives malformed data.
#[tokio::test]
async fn malformed_data_does_not_stop_a_replica() {
    let cluster = Cluster::start(None);
    let leader = cluster.leader(0).await;
    let client = cluster.client();
    let malformed: [&[u8]; 5] = [
        b"\x00\xff\xfe\x01garbage\r\n\r\n",
        b"GET / HTTP/1.1\r\nupgrade: websocket\r\n\r\n",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 71\r\n\r\n\
          {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"raft\",\"params\":[\"AAAAAAAAAAAAAAAAAA==\"]}",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 999999999\r\n\r\n{",
        b"POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 53\r\n\r\n\
          {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"propose\",\"params\":[]}",
    ];
    let mut open = Vec::new();
    for address in client.addresses() {
        for bytes in malformed {
            let mut stream = net::TcpStream::connect(address.as_str()).expect("connection");
            let limit = Some(time::Duration::from_secs(5));
            stream.set_write_timeout(limit).expect("time limit");
            stream.write_all(bytes).expect("garbage is read");
            open.push(stream);
        }
    }
    let reply = client.config(plan("p", 0, 1)).await;
    assert!(reply.is_ok(), "{reply:?}\n{}", cluster.logs());
    assert_eq!(cluster.leader(0).await, leader);
    drop(open);
}

/// Guards against a command or a query that reaches a group of another kind.
#[tokio::test]
async fn wrong_calls_are_refused_without_effect() {
    let cluster = Cluster::start(None);
    cluster.leader(0).await;
    let client = cluster.client();
    let command = bw_wire::command::Command::Config(plan("p", 0, 1));
    let refused = client.propose(1, command).await.expect_err("refused");
    assert_eq!(refused.verdict, verdict::Verdict::NotRun);
    assert!(
        client
            .query(9, bw_wire::query::Query::Backlog)
            .await
            .is_err()
    );
    assert!(
        client
            .query(1, bw_wire::query::Query::Config)
            .await
            .is_err()
    );
}
