//! Stops a request handler once its caller has left.

use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;

use crate::head_timer::OpenRequests;

/// Runs a request handler, which makes no progress once the caller's connection has ended.
///
/// The HTTP library reads a connection as far as it can, then polls the handlers of its requests, and
/// only then acts on the end of the connection, which drops them. A busy process often reads a request
/// and the end of its connection together, and the handler would send the request on.
pub(crate) async fn run_for_caller<Handler>(
    handler: Handler,
    connection: OpenRequests,
) -> Handler::Output
where
    Handler: Future,
{
    let mut handler = pin!(handler);
    let mut is_known = false;
    poll_fn(|context| {
        if connection.has_ended() {
            if !is_known {
                tracing::info!("request not served: its caller left before it was read");
            }
            is_known = true;
            // The library drops the handler in its next turn.
            return Poll::Pending;
        }
        is_known = true;
        handler.as_mut().poll(context)
    })
    .await
}
