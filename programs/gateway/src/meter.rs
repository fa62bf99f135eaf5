//! A limit on the bytes that a backend server sends without progress.
//!
//! The HTTP library limits the size of a head, but it skips informational responses and
//! the leading zeros of a chunk size without a limit. A faulty backend server that sends
//! them without end would occupy the thread of all requests.

use std::{cell::Cell, io, pin::Pin, rc::Rc, task};

use bw_base::outgoing;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are received from the sending of a request to the head of its response,
/// and between two pieces of its body, in bytes. A head or a chunk, the bytes that are read
/// ahead of it and a few informational responses have less than 48 KiB.
const BYTES_MAX: usize = 64 << 10;

/// The number of bytes that were received since the last progress; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    received: Rc<Cell<usize>>,
}

impl Meter {
    /// Notes progress: a request is sent, or a head or a piece of a body has arrived. A meter
    /// that is exceeded stays so, as the bytes may arrive before the head is taken.
    pub(crate) fn reset(&self) {
        if !self.is_exceeded() {
            self.received.set(0);
        }
    }

    /// Returns whether more bytes were received than any valid response has.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.received.get() > BYTES_MAX
    }

    fn add(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes);
    }
}

/// A connection whose reads fail once its meter is exceeded.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: outgoing::Stream,
    meter: Meter,
}

impl Stream {
    pub(crate) fn new(inner: outgoing::Stream, meter: Meter) -> Stream {
        Stream { inner, meter }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.meter.is_exceeded() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the response is endless");
            return task::Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let result = task::ready!(Pin::new(&mut self.inner).poll_read(context, buffer));
        self.meter.add(buffer.filled().len() - before);
        task::Poll::Ready(result)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
