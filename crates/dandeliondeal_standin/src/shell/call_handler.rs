//! What one kind of stand-in does with a call.

use std::rc::Rc;

use super::{StandinCall, StandinReply, StandinShell};

/// What becomes of a call after its handler.
#[derive(Debug)]
pub(crate) enum HandlerAnswer {
    /// The reply is sent.
    Reply(StandinReply),
    /// The connection goes silent.
    Silence,
}

/// Carries out the calls of one kind of stand-in.
pub(crate) trait CallHandler: 'static {
    /// Carries out one call; faults that concern every kind are applied around it.
    fn handle(
        self: Rc<Self>,
        call: StandinCall,
        shell: Rc<StandinShell>,
    ) -> impl Future<Output = HandlerAnswer> + 'static;

    /// The ledger as JSON lines.
    fn ledger_lines(&self) -> String;
}
