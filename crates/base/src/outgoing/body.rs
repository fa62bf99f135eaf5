//! Bodies of responses that end without an error only if they are whole.

use std::{error, fmt, pin::Pin, task};

use hyper::{Response, body, body::Body as _, header};

use super::stream::Probe;

/// Why a body has not arrived in whole.
#[derive(Debug)]
pub enum Failure {
    /// The HTTP library has failed to receive it.
    Http(hyper::Error),
    /// It ends with its connection, which ended before the backend server had received the
    /// whole request, or before the first byte of the body.
    Cut,
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Http(error) => error.fmt(formatter),
            Failure::Cut => formatter.write_str("the connection ended too early"),
        }
    }
}

impl error::Error for Failure {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Failure::Http(error) => error.source(),
            Failure::Cut => None,
        }
    }
}

type Delivery = Pin<Box<dyn Future<Output = bool> + Send + Sync>>;

/// How the end of a body is recognized.
enum Ending {
    /// By a length, by chunks, or as there is no body.
    Framed,
    /// By the end of the connection.
    Connection { probe: Probe, has_data: bool },
    /// The connection has ended, and whether the request was delivered is not known yet.
    Delivery(Delivery),
    /// All has arrived, or the failure was returned.
    Ended,
}

/// The body of a response.
pub struct Body {
    incoming: body::Incoming,
    ending: Ending,
}

impl Body {
    /// Creates the body of a response that arrives on the connection of the probe.
    pub fn of(response: Response<body::Incoming>, probe: Probe) -> Response<Body> {
        let has_chunks = response.headers().contains_key(header::TRANSFER_ENCODING);
        let is_framed = has_chunks || response.body().size_hint().exact().is_some();
        let ending = match is_framed {
            true => Ending::Framed,
            false => Ending::Connection {
                probe,
                has_data: false,
            },
        };
        response.map(|incoming| Body { incoming, ending })
    }

    /// Returns whether a length or chunks state where the body ends, or it is empty. The
    /// end of another one shows little about its backend server, which may have stopped
    /// there.
    pub fn is_framed(&self) -> bool {
        matches!(self.ending, Ending::Framed)
    }
}

impl body::Body for Body {
    type Data = body::Bytes;
    type Error = Failure;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<body::Bytes>, Failure>>> {
        let this = &mut *self;
        loop {
            if matches!(this.ending, Ending::Ended) {
                return task::Poll::Ready(None);
            }
            if let Ending::Delivery(delivery) = &mut this.ending {
                let is_delivered = task::ready!(delivery.as_mut().poll(context));
                this.ending = Ending::Ended;
                return task::Poll::Ready((!is_delivered).then_some(Err(Failure::Cut)));
            }
            let frame = task::ready!(Pin::new(&mut this.incoming).poll_frame(context));
            match (frame, &mut this.ending) {
                (Some(Ok(frame)), ending) => {
                    let length = frame.data_ref().map_or(0, body::Bytes::len);
                    if let Ending::Connection { has_data, .. } = ending {
                        *has_data |= length > 0;
                    }
                    return task::Poll::Ready(Some(Ok(frame)));
                }
                (Some(Err(error)), _) => {
                    return task::Poll::Ready(Some(Err(Failure::Http(error))));
                }
                (None, Ending::Connection { probe, has_data }) => {
                    let (probe, has_data) = (probe.clone(), *has_data);
                    let delivery = async move { has_data && probe.is_delivered().await };
                    this.ending = Ending::Delivery(Box::pin(delivery));
                }
                (None, _) => return task::Poll::Ready(None),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self.ending {
            Ending::Framed => self.incoming.is_end_stream(),
            Ending::Connection { .. } | Ending::Delivery(_) => false,
            Ending::Ended => true,
        }
    }

    fn size_hint(&self) -> body::SizeHint {
        self.incoming.size_hint()
    }
}
