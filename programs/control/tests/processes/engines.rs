//! Tests orders to a simulated engine, which a simulated entry VM announces.

use std::{
    collections,
    io::{Read, Write},
    net,
    sync::mpsc,
    thread, time,
};

use bw_client::control;
use bw_wire::{backend, name::Name, renewal, sync};

use crate::{
    cluster::Cluster,
    operators::{confirm, plan, planned},
};

const LIMIT: time::Duration = time::Duration::from_secs(40);

/// An engine that answers orders with given statuses and passes them to the test. Its
/// thread ends with the test process.
struct Engine {
    address: Name,
    orders: mpsc::Receiver<backend::Order>,
}

impl Engine {
    fn start(statuses: Vec<&'static str>) -> Engine {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address").to_string();
        let (sender, orders) = mpsc::channel();
        thread::spawn(move || {
            let mut statuses = statuses.into_iter();
            for stream in listener.incoming() {
                let status = statuses.next().unwrap_or("200 OK");
                let order = serve(stream.expect("connection"), status);
                if sender.send(order).is_err() {
                    return;
                }
            }
        });
        Engine {
            address: address.into(),
            orders,
        }
    }

    fn announcement(&self, sequence: u64, loaded: Vec<backend::Loaded>) -> backend::Announcement {
        backend::Announcement {
            id: "engine".into(),
            incarnation: 1,
            sequence,
            address: self.address.clone(),
            kind: backend::Kind::Engine,
            service: "default".into(),
            failure_domain: "zone-a".into(),
            state: backend::State::Ready,
            loaded,
            capacity: 1,
            fence: 0,
            load: backend::Load::default(),
        }
    }
}

/// Reads one order and answers it.
fn serve(mut stream: net::TcpStream, status: &str) -> backend::Order {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    loop {
        let read = stream.read(&mut buffer).expect("request");
        text += std::str::from_utf8(&buffer[..read]).expect("text");
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
        if let Some(order) = body.and_then(|body| serde_json::from_str(body).ok()) {
            let answer =
                format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
            stream.write_all(answer.as_bytes()).expect("answer");
            return order;
        }
    }
}

/// Reports the engine until it gets an order, or returns `None` after `limit`.
async fn next_order(
    client: &control::Client,
    engine: &Engine,
    sequence: &mut u64,
    loaded: &[backend::Loaded],
    limit: time::Duration,
) -> Option<backend::Order> {
    let start = time::Instant::now();
    let (mut leader_term, mut clock_ms) = (0, None);
    while start.elapsed() < limit {
        *sequence += 1;
        let heard = sync::Dated {
            announcement: engine.announcement(*sequence, loaded.to_vec()),
            at_ms: 0,
        };
        let request = sync::Request {
            entry: "entry-1".into(),
            incarnation: 1,
            failure_domain: "zone-a".into(),
            peer_address: "127.0.0.1:1".into(),
            revision: 1,
            leader_term,
            table: 0,
            clock_ms,
            heard: vec![heard],
            renewals: renewal::Reports::default(),
            online: renewal::Counts::default(),
            online_unlisted: collections::BTreeMap::new(),
            draining: false,
        };
        let response = client.sync(&request).await.expect("a leader");
        (leader_term, clock_ms) = (response.leader_term, Some(response.clock_ms));
        if let Ok(order) = engine.orders.try_recv() {
            return Some(order);
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    None
}

/// Guards against fencing tokens that are issued twice, also under a new leader, against
/// an order that is not repeated after a refusal, and against orders to an engine that
/// already has the declared model.
#[tokio::test]
async fn orders_have_increasing_fencing_tokens() {
    let mut cluster = Cluster::start(None);
    let client = cluster.client();
    let id = planned(&client, plan("p", 0, 1)).await;
    client.config(confirm("c", &id)).await.expect("an answer");
    let engine = Engine::start(vec!["409 Conflict", "409 Conflict"]);
    let mut sequence = 0;
    let first = next_order(&client, &engine, &mut sequence, &[], LIMIT).await;
    let first = first.expect("an order");
    let backend::Action::Load {
        model,
        version,
        adapters,
    } = first.action.clone()
    else {
        panic!("unexpected order {first:?}");
    };
    assert_eq!((model.as_str(), version.as_str()), ("m", "1"));
    let second = next_order(&client, &engine, &mut sequence, &[], LIMIT).await;
    let second = second.expect("a repeated order");
    assert!(second.fence > first.fence);
    let leader = cluster.leader(0).await;
    cluster.replica(leader).kill();
    let third = next_order(&client, &engine, &mut sequence, &[], LIMIT).await;
    let third = third.expect("an order of the new leader");
    assert!(third.fence > second.fence, "{}", cluster.logs());
    let loaded = [backend::Loaded {
        model,
        version,
        adapters,
    }];
    let pause = time::Duration::from_secs(7);
    let fourth = next_order(&client, &engine, &mut sequence, &loaded, pause).await;
    assert_eq!(fourth, None);
}
