//! Counts the responses of a process until they are with their clients.
//!
//! A response that its handler has built may take seconds to be written to a client
//! behind a slow link. A process that stops waits for these responses too.

use std::{error, io, mem, pin, sync, task, time};

use hyper::{Request, Response, body, rt, server::conn::http1, service};
use hyper_util::rt as util_rt;
use tokio::{io::AsyncRead, net, sync::watch};

/// How long a connection that a stop closes waits for its client to close it, after the
/// last byte of the response was written. The kernel may still hold some hundred
/// kilobytes then, which takes seconds on slow links.
const CLIENT_CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time in which connections notice that they are to be closed.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(50);
/// Size of the buffer for what a client sends after its last response, in bytes.
const DISCARD_BYTES: usize = 4 << 10;

/// How far a process has got on its way to its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// It serves requests.
    Serving,
    /// It was told to stop and still serves requests. The last response of a connection
    /// counts until its client has closed the connection.
    Stopping,
    /// Idle connections are closed at once, and busy ones after their response.
    Closing,
    /// The process ends in a moment, so that all requests have to be answered now.
    Ending,
}

/// The responses of a process that are not with their clients yet.
#[derive(Clone, Debug)]
pub struct Responses {
    unfinished: sync::Arc<watch::Sender<usize>>,
    stage: sync::Arc<watch::Sender<Stage>>,
}

impl Default for Responses {
    fn default() -> Self {
        Responses {
            unfinished: sync::Arc::new(watch::Sender::new(0)),
            stage: sync::Arc::new(watch::Sender::new(Stage::Serving)),
        }
    }
}

impl Responses {
    /// Returns how many responses are not with their clients yet.
    pub fn unfinished(&self) -> usize {
        *self.unfinished.borrow()
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Moves on to a stage unless that or a later one is reached.
    pub fn advance(&self, stage: Stage) {
        self.stage.send_if_modified(|current| {
            let is_later = stage > *current;
            *current = stage.max(*current);
            is_later
        });
    }

    /// Waits until a stage or a later one is reached.
    pub async fn reached(&self, stage: Stage) {
        let mut stages = self.stage.subscribe();
        // Fails only if the sender is dropped, which lives as long as `self`.
        let _ = stages.wait_for(|current| *current >= stage).await;
    }

    /// Waits until each response is with its client or its connection is gone.
    pub async fn finished(&self) {
        tokio::time::sleep(SETTLE_TIME).await;
        let mut unfinished = self.unfinished.subscribe();
        // Fails only if the sender is dropped, which lives as long as `self`.
        let _ = unfinished.wait_for(|unfinished| *unfinished == 0).await;
    }

    /// Serves one connection until it ends, and counts its responses.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the client sends no valid HTTP or the service
    /// fails.
    pub async fn serve<S, B>(
        &self,
        http: http1::Builder,
        stream: net::TcpStream,
        service: S,
    ) -> hyper::Result<()>
    where
        S: service::Service<Request<body::Incoming>, Response = Response<B>>,
        S::Error: Into<Box<dyn error::Error + Send + Sync>>,
        B: body::Body + Unpin + 'static,
        B::Error: Into<Box<dyn error::Error + Send + Sync>>,
    {
        let connection = Connection {
            responses: self.clone(),
            progress: sync::Arc::default(),
        };
        let stream = Stream {
            inner: util_rt::TokioIo::new(stream),
            connection: connection.clone(),
            close_timer: None,
        };
        let service = service::service_fn(|request| {
            let exchange = connection.begin(&request);
            let responding = service.call(request);
            async move { Ok::<_, S::Error>(exchange.count(responding.await?)) }
        });
        let mut serving = pin::pin!(http.serve_connection(stream, service));
        tokio::select! {
            result = &mut serving => result,
            () = self.reached(Stage::Closing) => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        }
    }
}

/// Counts a response as unfinished until dropped.
#[derive(Debug)]
struct Unfinished(Responses);

impl Unfinished {
    fn new(responses: &Responses) -> Unfinished {
        responses.unfinished.send_modify(|count| *count += 1);
        Unfinished(responses.clone())
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        self.0.unfinished.send_modify(|count| *count -= 1);
    }
}

/// The progress of the current exchange of a connection, which is the last one while the
/// connection is idle.
#[derive(Debug, Default)]
struct Progress {
    unfinished: Option<Unfinished>,
    /// Whether the handler runs or the HTTP library still takes parts of the body.
    is_open: bool,
    /// Whether the HTTP library has taken the whole body.
    is_whole: bool,
    /// Whether only the end of the connection shows where the body ends. A response of
    /// this kind looks whole wherever it is cut, unless the connection is reset.
    ends_with_connection: bool,
}

#[derive(Clone, Debug)]
struct Connection {
    responses: Responses,
    progress: sync::Arc<sync::Mutex<Progress>>,
}

impl Connection {
    fn progress(&self) -> sync::MutexGuard<'_, Progress> {
        self.progress
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn begin(&self, request: &Request<body::Incoming>) -> Exchange {
        let mut progress = self.progress();
        progress
            .unfinished
            .get_or_insert_with(|| Unfinished::new(&self.responses));
        progress.is_open = true;
        progress.is_whole = false;
        progress.ends_with_connection = false;
        Exchange {
            connection: self.clone(),
            is_unframed: request.version() < hyper::Version::HTTP_11
                && request.method() != hyper::Method::HEAD,
        }
    }

    /// Notes that all that the HTTP library has taken is written.
    fn note_written(&self) {
        let mut progress = self.progress();
        if progress.is_open {
            return;
        }
        progress.ends_with_connection &= !progress.is_whole;
        if self.responses.stage() == Stage::Serving {
            progress.unfinished = None;
        }
    }
}

/// A request and its response, until the HTTP library has taken all of the response.
struct Exchange {
    connection: Connection,
    /// Whether the client knows no chunks.
    is_unframed: bool,
}

impl Exchange {
    fn count<B: body::Body>(self, response: Response<B>) -> Response<Body<B>> {
        let is_sized = response.body().size_hint().exact().is_some();
        {
            let mut progress = self.connection.progress();
            progress.ends_with_connection = self.is_unframed && !is_sized;
            progress.is_whole = response.body().is_end_stream();
        }
        response.map(|inner| Body {
            inner,
            exchange: self,
        })
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.progress().is_open = false;
    }
}

/// The body of a response that is counted.
struct Body<B> {
    inner: B,
    exchange: Exchange,
}

impl<B: body::Body + Unpin> body::Body for Body<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<B::Data>, B::Error>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.inner).poll_frame(context));
        if frame.is_none() || self.inner.is_end_stream() {
            let is_failed = matches!(frame, Some(Err(_)));
            self.exchange.connection.progress().is_whole = !is_failed;
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}

/// The bytes of a connection.
struct Stream {
    inner: util_rt::TokioIo<net::TcpStream>,
    connection: Connection,
    /// Set while the client is to close the connection.
    close_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl Stream {
    fn inner(self: pin::Pin<&mut Self>) -> pin::Pin<&mut util_rt::TokioIo<net::TcpStream>> {
        pin::Pin::new(&mut self.get_mut().inner)
    }

    /// Discards what the client sends until it closes the connection. Closing a
    /// connection with unread data resets it, which discards what the client has not
    /// received yet.
    fn poll_client_closed(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut discarded = tokio::io::ReadBuf::new(&mut bytes);
            let stream = pin::Pin::new(self.inner.inner_mut());
            let read = task::ready!(stream.poll_read(context, &mut discarded));
            if read.is_err() || discarded.filled().is_empty() {
                return task::Poll::Ready(());
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let progress = mem::take(&mut *self.connection.progress());
        if progress.ends_with_connection
            && let Err(error) = self.inner.inner().set_zero_linger()
        {
            log::debug!("cannot reset a connection: {error}");
        }
    }
}

impl rt::Read for Stream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.inner().poll_read(context, buffer)
    }
}

impl rt::Write for Stream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.inner().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.inner().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// Flushes the connection. The HTTP library calls this whenever it has written all
    /// that it has taken.
    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(self.as_mut().inner().poll_flush(context))?;
        self.connection.note_written();
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.close_timer.is_none() {
            task::ready!(self.as_mut().inner().poll_shutdown(context))?;
            if self.connection.progress().unfinished.is_none() {
                return task::Poll::Ready(Ok(()));
            }
        }
        let timer = self
            .close_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(CLIENT_CLOSE_TIMEOUT)));
        if timer.as_mut().poll(context).is_pending() {
            task::ready!(self.poll_client_closed(context));
        }
        task::Poll::Ready(Ok(()))
    }
}
