//! Connections to backend servers.
//!
//! A connection carries one request at a time. It is kept for later requests
//! only after a complete answer; dropping a [`Lease`] early closes it, which
//! makes the backend server drop the request.

use std::{cell::RefCell, collections::HashMap, net, rc::Rc, time};

use bw_wire::verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, StatusCode, body, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::task;

use crate::{dialect, memory, metrics, socket};

/// Time limit of a new connection. Connecting takes a few milliseconds, so a
/// backend server that needs longer is dead or cut off.
const CONNECT: time::Duration = time::Duration::from_millis(300);
/// How long an idle connection is kept if the backend server states no timeout.
const IDLE: time::Duration = time::Duration::from_millis(3_000);
/// How much sooner than the stated timeout an idle connection is given up.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Idle time beyond which a connection is not used for a request that must not
/// run twice: if the backend server has dropped the connection meanwhile, it
/// cannot be told whether the request ran. Some drop connections that rested for
/// 0.3 s.
const IDLE_ONCE: time::Duration = time::Duration::from_millis(200);
/// Largest head of an answer in bytes, and most bytes that are read ahead of a
/// body. Heads have some hundred bytes; more are no answer.
const HEAD_BYTES: usize = 16 << 10;
/// Idle connections that are kept to one backend server.
const IDLE_MAX: usize = 16;

type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    task: task::AbortHandle,
    until: time::Instant,
    since: time::Instant,
}

/// Why a request that was sent has no answer of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection was made.
    Connect,
    /// The connection broke.
    Broken,
    /// No answer came in time.
    Timeout,
    /// The backend server refused the request as full.
    Full,
    /// Another backend server answered at the address.
    OtherBackend,
    /// The answer belongs to another request.
    CrossedAnswer,
    /// The answer does not come from a backend server.
    ForeignAnswer,
    /// The head of the answer does not end.
    Endless,
}

impl Failure {
    /// Returns whether the request may have run.
    pub fn verdict(self) -> verdict::Verdict {
        match self {
            Failure::Connect | Failure::Full | Failure::OtherBackend => verdict::Verdict::NotRun,
            Failure::Broken
            | Failure::Timeout
            | Failure::CrossedAnswer
            | Failure::ForeignAnswer
            | Failure::Endless => verdict::Verdict::MayHaveRun,
        }
    }
}

/// Judges the head of an answer to a request.
///
/// # Errors
///
/// Fails if it is not the answer of a backend server that ran the request.
pub fn check_head<B>(
    names: &dialect::Headers,
    id: &str,
    answer: &hyper::Response<B>,
) -> Result<(), Failure> {
    let headers = answer.headers();
    let answered = headers.get(&names.request_id);
    if answered.is_some_and(|answered| answered.as_bytes() != id.as_bytes()) {
        return Err(Failure::CrossedAnswer);
    }
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::OtherBackend);
    }
    if headers.contains_key(&names.not_run) {
        return Err(Failure::Full);
    }
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    if encoded || answered.is_none() || !headers.contains_key(&names.response_stamp) {
        return Err(Failure::ForeignAnswer);
    }
    Ok(())
}

/// Connections to all backend servers, kept by address.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<net::SocketAddr, Vec<Idle>>>>,
    budget: memory::Budget,
}

/// A connection in use.
pub struct Lease {
    pool: Pool,
    address: net::SocketAddr,
    sender: Option<Sender>,
    task: task::AbortHandle,
    keep: Option<time::Duration>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Lease {
    /// Keeps the connection for later requests, after a complete answer.
    pub fn release(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let Some(keep) = self.keep.filter(|_| !sender.is_closed()) else {
            self.task.abort();
            return;
        };
        let now = time::Instant::now();
        let idle = Idle {
            sender,
            task: self.task.clone(),
            until: now + keep,
            since: now,
        };
        let mut all = self.pool.idle.borrow_mut();
        let kept = all.entry(self.address).or_default();
        if kept.len() >= IDLE_MAX {
            kept.remove(0).task.abort();
        }
        kept.push(idle);
    }
}

/// An answer with the connection that it arrives on.
pub struct Exchange {
    /// The answer.
    pub response: hyper::Response<body::Incoming>,
    /// The connection.
    pub lease: Lease,
}

impl Pool {
    /// Returns the account of what is held of answers.
    pub fn budget(&self) -> &memory::Budget {
        &self.budget
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer within the limit; the failure says whether
    /// the request may have run.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        repeatable: bool,
        limit: time::Duration,
    ) -> Result<Exchange, Failure> {
        let exchange = self.exchange(address, request, repeatable);
        match tokio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Timeout),
        }
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        mut request: hyper::Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<Exchange, Failure> {
        while let Some(mut lease) = self.idle(address, repeatable) {
            let Some(sender) = lease.sender.as_mut() else {
                continue;
            };
            let again = repeatable.then(|| request.clone());
            match sender.try_send_request(request).await {
                Ok(response) => {
                    lease.keep = keep(response.headers());
                    return Ok(Exchange { response, lease });
                }
                Err(mut error) => match (error.take_message(), again) {
                    // Not a byte was sent; an idle connection had been closed.
                    (Some(unsent), _) => request = unsent,
                    // The backend server may have dropped the connection while it
                    // was idle, which says nothing of the request.
                    (None, Some(again)) => {
                        metrics::BACKEND_CONNECTIONS
                            .with_label_values(&["dropped"])
                            .inc();
                        let second = self.exchange_fresh(address, again).await;
                        // The first send may have run, whatever became of the second.
                        return second.map_err(|_| Failure::Broken);
                    }
                    (None, None) => return Err(broken(address, error.error())),
                },
            }
        }
        self.exchange_fresh(address, request).await
    }

    /// Sends a request on a new connection.
    async fn exchange_fresh(
        &self,
        address: net::SocketAddr,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<Exchange, Failure> {
        let mut lease = self.connect(address).await?;
        let Some(sender) = lease.sender.as_mut() else {
            return Err(Failure::Connect);
        };
        match sender.try_send_request(request).await {
            Ok(response) => {
                lease.keep = keep(response.headers());
                Ok(Exchange { response, lease })
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::Connect),
                None => Err(broken(address, error.error())),
            },
        }
    }

    fn idle(&self, address: net::SocketAddr, repeatable: bool) -> Option<Lease> {
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        let now = time::Instant::now();
        while let Some(idle) = kept.pop() {
            let fresh = repeatable || now - idle.since < IDLE_ONCE;
            if now < idle.until && fresh && idle.sender.is_ready() {
                return Some(Lease {
                    pool: self.clone(),
                    address,
                    sender: Some(idle.sender),
                    task: idle.task,
                    keep: None,
                });
            }
            idle.task.abort();
        }
        None
    }

    async fn connect(&self, address: net::SocketAddr) -> Result<Lease, Failure> {
        let stream = match socket::connect(address, CONNECT).await {
            Ok(stream) => stream,
            Err(error) => {
                metrics::BACKEND_CONNECTIONS
                    .with_label_values(&["failed"])
                    .inc();
                log::debug!(address = address.to_string().as_str(); "cannot connect: {error}");
                return Err(Failure::Connect);
            }
        };
        metrics::BACKEND_CONNECTIONS
            .with_label_values(&["opened"])
            .inc();
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| Failure::Connect)?;
        // The task ends with its connection, which the lease or the pool holds.
        let task = task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("backend connection ended: {error}");
            }
        });
        Ok(Lease {
            pool: self.clone(),
            address,
            sender: Some(sender),
            task: task.abort_handle(),
            keep: None,
        })
    }

    /// Closes idle connections that are too old.
    pub fn sweep(&self) {
        let now = time::Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| {
                let keep = now < idle.until && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !kept.is_empty()
        });
    }
}

/// Says why an exchange that began has no answer.
fn broken(address: net::SocketAddr, error: &hyper::Error) -> Failure {
    log::debug!(address = address.to_string().as_str(); "exchange failed: {error}");
    match error.is_parse_too_large() {
        true => Failure::Endless,
        false => Failure::Broken,
    }
}

/// Returns how long a connection may be kept after this answer.
fn keep(headers: &HeaderMap) -> Option<time::Duration> {
    let text = |name| {
        headers
            .get(name)
            .and_then(|value: &header::HeaderValue| value.to_str().ok())
    };
    if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let stated = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.parse().ok())
        .map(time::Duration::from_secs);
    match stated {
        Some(stated) => stated.checked_sub(IDLE_MARGIN),
        None => Some(IDLE),
    }
}
