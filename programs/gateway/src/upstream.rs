//! A pool of HTTP/1.1 connections to backend servers.
//!
//! A connection carries one request at a time. It returns to the pool only after
//! a complete response; dropping a [`Lease`] before that closes the connection,
//! which makes the backend server cancel the request.

use std::{
    cell::RefCell,
    collections::HashMap,
    error, fmt, io, net,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time,
};

use bw_base::outgoing;
use bw_wire::verdict;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, StatusCode, body, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::task;

use crate::{dialect, memory, meter, metrics, socket};

/// Timeout of a new connection. Connecting takes a few milliseconds, so a backend
/// server that needs longer is dead or cut off.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// How long an idle connection is kept if the backend server states no keep-alive
/// timeout.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(3_000);
/// How long before the stated timeout an idle connection is closed.
const IDLE_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Idle time after which a connection is not used for a request that is not
/// idempotent: if the backend server has dropped the connection meanwhile, it is
/// unknown whether the request ran. Some backend servers drop connections that
/// were idle for 0.3 s.
const IDLE_MAX_NON_IDEMPOTENT: time::Duration = time::Duration::from_millis(200);
/// Largest response head in bytes, and most bytes that are read ahead of a body.
/// Real heads have a few hundred bytes.
const HEAD_BYTES_MAX: usize = 16 << 10;
/// The content type of a stream of events, without parameters.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Idle connections that are kept per backend server.
const IDLE_CONNECTIONS_MAX: usize = 16;

type Sender = http1::SendRequest<Full<Bytes>>;

struct Idle {
    sender: Sender,
    meter: meter::Meter,
    probe: outgoing::Probe,
    task: task::AbortHandle,
    expires_at: time::Instant,
    idle_since: time::Instant,
}

/// Why a send got no valid response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be established, for a reason of this VM.
    Connect,
    /// The VM of the backend server did not respond.
    Unreachable,
    /// No program listens at the address: the backend server has ended.
    Refused,
    /// The connection broke before the response.
    Broken,
    /// No response head arrived in time.
    Timeout,
    /// The backend server refused the request because it is at capacity.
    Full,
    /// The backend server ran the request and answered with a status that promises callers
    /// that it has not run.
    UnstatedRefusal(StatusCode),
    /// A different backend server than expected listens at the address.
    OtherBackend,
    /// The response carries the id of another request.
    CrossedAnswer,
    /// The response is not valid, lacks the headers that every backend server sets, or is
    /// compressed.
    ForeignAnswer,
    /// More bytes arrived than any valid response has before its head, or between two pieces
    /// of its body.
    Endless,
}

impl Failure {
    /// Returns whether the one send that failed may have run. [`Error::verdict`] also
    /// covers the sends before it.
    fn verdict(self) -> verdict::Verdict {
        match self {
            Failure::Connect
            | Failure::Unreachable
            | Failure::Refused
            | Failure::Full
            | Failure::OtherBackend => verdict::Verdict::NotRun,
            Failure::Broken
            | Failure::Timeout
            | Failure::CrossedAnswer
            | Failure::ForeignAnswer
            | Failure::Endless => verdict::Verdict::MayHaveRun,
            Failure::UnstatedRefusal(_) => verdict::Verdict::Run,
        }
    }
}

/// Why a request got no valid response from a backend server, to which the pool may have
/// sent it twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Error {
    /// Why the last send failed.
    pub failure: Failure,
    /// Whether any of the sends may have run.
    pub verdict: verdict::Verdict,
}

impl Error {
    /// Creates the error of a send that failed after others with this verdict.
    fn after(earlier: verdict::Verdict, failure: Failure) -> Error {
        Error {
            failure,
            verdict: earlier.join(failure.verdict()),
        }
    }
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Error {
        Error::after(verdict::Verdict::NotRun, failure)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Failure::Connect => "no connection to the backend server",
            Failure::Unreachable => "the VM of the backend server does not respond",
            Failure::Refused => "the backend server refused the connection",
            Failure::Broken => "the connection broke",
            Failure::Timeout => "no response in time",
            Failure::Full => "the backend server is at capacity",
            Failure::UnstatedRefusal(_) => "the backend server refused the request after it ran",
            Failure::OtherBackend => "another backend server listens at the address",
            Failure::CrossedAnswer => "the response belongs to another request",
            Failure::ForeignAnswer => "the response does not come from a backend server",
            Failure::Endless => "the response is endless",
        })
    }
}

impl error::Error for Failure {}

/// Returns whether a status promises callers that their request has not run and will not.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Checks that the head of a response comes from the expected backend server, belongs to
/// the request with this id, and can be passed on. A status that promises that the request
/// has not run cannot, unless the backend server states that.
fn check_head<B>(
    names: &dialect::Headers,
    id: &str,
    response: &mut hyper::Response<B>,
) -> Result<(), Failure> {
    let headers = response.headers();
    let echoed_id = headers.get(&names.request_id);
    let Some(echoed_id) = echoed_id else {
        // Not even a refusal: without the id it may be that of an earlier request.
        return Err(Failure::ForeignAnswer);
    };
    if echoed_id.as_bytes() != id.as_bytes() {
        return Err(Failure::CrossedAnswer);
    }
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::OtherBackend);
    }
    if headers.contains_key(&names.not_run) {
        return Err(Failure::Full);
    }
    let encoded = headers.contains_key(header::CONTENT_ENCODING);
    if encoded || !headers.contains_key(&names.response_stamp) {
        return Err(Failure::ForeignAnswer);
    }
    if promises_not_run(response.status()) {
        let status = response.status();
        log::warn!(
            request = id, status = status.as_u16();
            "backend server refused a request after it ran"
        );
        return Err(Failure::UnstatedRefusal(status));
    }
    outgoing::normalize_head(response).map_err(|why| {
        log::warn!(
            request = id, status = response.status().as_u16(), why = <&str>::from(why);
            "invalid response head"
        );
        Failure::ForeignAnswer
    })
}

/// Returns whether the body of a response with these headers is a stream of events,
/// unless they say otherwise.
pub fn has_events(headers: &HeaderMap) -> bool {
    let stated = headers.get(header::CONTENT_TYPE);
    stated.is_none_or(|value| value.as_bytes().starts_with(EVENT_STREAM))
}

/// Idle connections to all backend servers, by address; clones share them.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<net::SocketAddr, Vec<Idle>>>>,
    budget: memory::Budget,
}

/// A connection in use, which is closed on drop unless it was released.
pub struct Lease {
    pool: Pool,
    address: net::SocketAddr,
    sender: Option<Sender>,
    meter: meter::Meter,
    probe: outgoing::Probe,
    task: task::AbortHandle,
    idle_timeout: Option<time::Duration>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Lease {
    /// Returns the connection to the pool, after a complete response.
    pub fn release(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let Some(idle_timeout) = self.idle_timeout.filter(|_| !sender.is_closed()) else {
            self.task.abort();
            return;
        };
        let now = time::Instant::now();
        let idle = Idle {
            sender,
            meter: self.meter.clone(),
            probe: self.probe.clone(),
            task: self.task.clone(),
            expires_at: now + idle_timeout,
            idle_since: now,
        };
        let mut all = self.pool.idle.borrow_mut();
        let kept = all.entry(self.address).or_default();
        if kept.len() >= IDLE_CONNECTIONS_MAX {
            kept.remove(0).task.abort();
        }
        kept.push(idle);
    }
}

/// A response whose body is yet to be read, with the connection that carries it.
pub struct Exchange {
    /// The response head and the unread body.
    pub response: hyper::Response<Body>,
    /// The connection, to be released once the body was read in whole.
    pub lease: Lease,
    /// Whether a send before the one that got the response may have run.
    earlier: verdict::Verdict,
}

impl Exchange {
    /// Checks that the head of the response comes from the expected backend server and
    /// belongs to the request with this id.
    ///
    /// # Errors
    ///
    /// Fails if the response is not that of a backend server which ran the request. A
    /// refusal covers only the send that it responds to; an earlier one may have run.
    pub fn check(mut self, names: &dialect::Headers, id: &str) -> Result<Exchange, Error> {
        match check_head(names, id, &mut self.response) {
            Ok(()) => Ok(self),
            Err(failure) => Err(Error::after(self.earlier, failure)),
        }
    }
}

impl Exchange {
    fn new(
        response: hyper::Response<body::Incoming>,
        mut lease: Lease,
        earlier: verdict::Verdict,
    ) -> Exchange {
        lease.idle_timeout = idle_timeout(response.headers());
        lease.meter.reset();
        let meter = lease.meter.clone();
        let response = outgoing::Body::of(response, lease.probe.clone());
        let response = response.map(|inner| Body { inner, meter });
        Exchange {
            response,
            lease,
            earlier,
        }
    }
}

/// The body of a response, which is yet to be read.
pub struct Body {
    inner: outgoing::Body,
    meter: meter::Meter,
}

impl Body {
    /// Returns whether a length or chunks state where the body ends, or there is none. The
    /// end of another one may be that of its backend server.
    pub fn is_framed(&self) -> bool {
        self.inner.is_framed()
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Failure>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        Poll::Ready(frame.map(|frame| match frame {
            Ok(frame) => {
                if frame.data_ref().is_some_and(|bytes| !bytes.is_empty()) {
                    self.meter.reset();
                }
                Ok(frame)
            }
            Err(outgoing::Failure::Http(error)) => Err(failure(&self.meter, &error)),
            Err(error @ outgoing::Failure::Cut) => {
                log::debug!("exchange failed: {error}");
                Err(Failure::Broken)
            }
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}

impl Pool {
    /// Returns the memory budget for the responses that arrive on the connections.
    pub fn budget(&self) -> &memory::Budget {
        &self.budget
    }

    /// Sends a request and waits for the head of its response. An idempotent
    /// request is sent again if an idle connection turns out to be closed.
    ///
    /// # Errors
    ///
    /// Fails if there is no response within the timeout; [`Error::verdict`] says whether
    /// the request may have run.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        idempotent: bool,
        timeout: time::Duration,
    ) -> Result<Exchange, Error> {
        let exchange = self.exchange(address, request, idempotent);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Timeout.into()),
        }
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        mut request: hyper::Request<Full<Bytes>>,
        idempotent: bool,
    ) -> Result<Exchange, Error> {
        let not_run = verdict::Verdict::NotRun;
        while let Some(mut lease) = self.take_idle(address, idempotent) {
            let Some(sender) = lease.sender.as_mut() else {
                continue;
            };
            let retry = idempotent.then(|| request.clone());
            lease.meter.reset();
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(Exchange::new(response, lease, not_run)),
                Err(mut error) => match (error.take_message(), retry) {
                    // The idle connection was already closed and nothing was sent.
                    (Some(unsent), _) => request = unsent,
                    (None, retry) => {
                        let failure = failure(&lease.meter, error.error());
                        // The backend server may have dropped the connection, or sent bytes
                        // that belong to no request, while it was idle.
                        let Some(retry) = retry.filter(|_| failure != Failure::Endless) else {
                            return Err(failure.into());
                        };
                        metrics::BACKEND_CONNECTIONS
                            .with_label_values(&["dropped"])
                            .inc();
                        // The first send may have run, whatever becomes of the second.
                        let earlier = Failure::Broken.verdict();
                        let second = self.exchange_on_new_connection(address, retry, earlier);
                        return second.await.map_err(|failure| {
                            let kept = match failure.verdict().may_have_run() {
                                true => failure,
                                false => Failure::Broken,
                            };
                            Error::after(earlier, kept)
                        });
                    }
                },
            }
        }
        let exchange = self.exchange_on_new_connection(address, request, not_run);
        Ok(exchange.await?)
    }

    async fn exchange_on_new_connection(
        &self,
        address: net::SocketAddr,
        request: hyper::Request<Full<Bytes>>,
        earlier: verdict::Verdict,
    ) -> Result<Exchange, Failure> {
        let mut lease = self.connect(address).await?;
        let Some(sender) = lease.sender.as_mut() else {
            return Err(Failure::Connect);
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(Exchange::new(response, lease, earlier)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::Connect),
                None => Err(failure(&lease.meter, error.error())),
            },
        }
    }

    fn take_idle(&self, address: net::SocketAddr, idempotent: bool) -> Option<Lease> {
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        let now = time::Instant::now();
        while let Some(idle) = kept.pop() {
            let usable = idempotent || now - idle.idle_since < IDLE_MAX_NON_IDEMPOTENT;
            if now < idle.expires_at && usable && idle.sender.is_ready() {
                return Some(Lease {
                    pool: self.clone(),
                    address,
                    sender: Some(idle.sender),
                    meter: idle.meter,
                    probe: idle.probe,
                    task: idle.task,
                    idle_timeout: None,
                });
            }
            idle.task.abort();
        }
        None
    }

    async fn connect(&self, address: net::SocketAddr) -> Result<Lease, Failure> {
        let stream = match socket::connect(address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) => {
                metrics::BACKEND_CONNECTIONS
                    .with_label_values(&["failed"])
                    .inc();
                log::debug!(address = address.to_string().as_str(); "cannot connect: {error}");
                return Err(connect_failure(&error));
            }
        };
        metrics::BACKEND_CONNECTIONS
            .with_label_values(&["opened"])
            .inc();
        let meter = meter::Meter::default();
        let stream = outgoing::Stream::new(stream);
        let probe = stream.probe();
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake(TokioIo::new(meter::Stream::new(stream, meter.clone())))
            .await;
        let (sender, connection) = handshake.map_err(|_| Failure::Connect)?;
        // The task ends when the sender, which the lease or the pool owns, is dropped.
        let task = task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a backend server failed: {error}");
            }
        });
        Ok(Lease {
            pool: self.clone(),
            address,
            sender: Some(sender),
            meter,
            probe,
            task: task.abort_handle(),
            idle_timeout: None,
        })
    }

    /// Connects to a backend server, to find out whether it is there. The connection is kept
    /// for the next request.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection.
    pub async fn reach(&self, address: net::SocketAddr) -> Result<(), Failure> {
        let mut lease = self.connect(address).await?;
        lease.idle_timeout = Some(IDLE_TIMEOUT);
        lease.release();
        Ok(())
    }

    /// Closes idle connections that have expired.
    pub fn sweep(&self) {
        let now = time::Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| {
                let keep = now < idle.expires_at && !idle.sender.is_closed();
                if !keep {
                    idle.task.abort();
                }
                keep
            });
            !kept.is_empty()
        });
    }
}

fn connect_failure(error: &io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Failure::Refused,
        io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => Failure::Unreachable,
        _ => Failure::Connect,
    }
}

/// Logs the error of an exchange whose request was sent, and returns its failure.
fn failure(meter: &meter::Meter, error: &hyper::Error) -> Failure {
    log::debug!("exchange failed: {error}");
    if meter.is_exceeded() || error.is_parse_too_large() {
        return Failure::Endless;
    }
    match error.is_parse() || is_invalid_body(error) {
        true => Failure::ForeignAnswer,
        false => Failure::Broken,
    }
}

/// Returns whether an error is that of bytes which are not a valid body, such as those of
/// chunks, rather than that of a broken connection.
fn is_invalid_body(error: &hyper::Error) -> bool {
    let source = error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| {
        matches!(
            source.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    })
}

/// Returns how long a connection may stay idle after this response; `None` if it
/// must be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<time::Duration> {
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
        None => Some(IDLE_TIMEOUT),
    }
}
