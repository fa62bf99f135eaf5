//! Runs that end without a complete answer.

use std::sync;

use bw_policy::suspect;

use crate::{context, controller};

/// A run of a request at a backend server. If it is dropped before its result is known,
/// the controller keeps it until it is known whether the backend server has ended.
pub(super) struct Flight {
    context: sync::Arc<context::Context>,
    disconnect: Option<controller::Disconnect>,
}

impl Flight {
    pub(super) fn new(
        context: &sync::Arc<context::Context>,
        disconnect: controller::Disconnect,
    ) -> Flight {
        Flight {
            context: sync::Arc::clone(context),
            disconnect: Some(disconnect),
        }
    }

    /// Notes that the run did not begin, or that all is known that it shows of the request.
    pub(super) fn settle(&mut self) {
        self.disconnect = None;
    }

    /// Returns the run, unless it is settled.
    pub(super) fn run(&self) -> Option<suspect::Run> {
        self.disconnect.as_ref().map(|disconnect| disconnect.run)
    }

    /// Notes that the connection broke, which may have been a crash.
    pub(super) fn note_broken(&mut self) {
        if let Some(disconnect) = &mut self.disconnect {
            disconnect.loss = controller::Loss::Broken;
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(disconnect) = self.disconnect.take() {
            let event = controller::Event::Disconnected(disconnect);
            self.context.events.send(event);
        }
    }
}
