//! The interface between the shared server and one kind of stand-in.

use std::rc::Rc;

use super::{StandinCall, StandinReply, StandinServer};

/// The result of a call handler.
#[derive(Debug)]
pub(crate) enum HandlerAnswer {
    /// Send this reply.
    Reply(StandinReply),
    /// Send nothing, and keep the connection open.
    Silence,
}

/// Handles the calls to one kind of stand-in.
pub(crate) trait CallHandler: 'static {
    /// Handles one call; the server applies the faults that all kinds of stand-in share.
    fn handle(
        self: Rc<Self>,
        call: StandinCall,
        server: Rc<StandinServer>,
    ) -> impl Future<Output = HandlerAnswer> + 'static;

    /// Returns the ledger as JSON lines.
    fn ledger_lines(&self) -> String;
}
