//! HTTP connections to endpoints, and the classification of their failures.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use dandeliondeal_types::{ErrorKind, RequestStep, RouteError};

/// Time after which an idle connection to an endpoint is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Clients that reuse connections or open new ones.
#[derive(Clone, derive_more::Debug)]
pub struct HttpPool {
    #[debug(skip)]
    shared: Client,
    /// One client per engine, so that the idle connections of one engine can be dropped separately.
    #[debug(skip)]
    engines: Rc<RefCell<HashMap<SocketAddr, Client>>>,
    connect_timeout: Duration,
}

impl HttpPool {
    /// Creates a pool with the connect timeout `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            shared: build_client(connect_timeout, IDLE_TIMEOUT),
            engines: Rc::default(),
            connect_timeout,
        }
    }

    /// Returns a client that opens a new connection if `fresh`, and reuses connections otherwise.
    pub fn client(&self, fresh: bool) -> Client {
        if fresh {
            build_client(self.connect_timeout, Duration::ZERO)
        } else {
            self.shared.clone()
        }
    }

    /// Returns the client of one engine.
    ///
    /// If `fresh`, a new client without connections replaces the current one, whose idle
    /// connections may be dead.
    pub fn engine(&self, address: SocketAddr, fresh: bool) -> Client {
        let mut engines = self.engines.borrow_mut();
        let new_client = || build_client(self.connect_timeout, IDLE_TIMEOUT);
        if fresh {
            engines.insert(address, new_client());
        }
        engines.entry(address).or_insert_with(new_client).clone()
    }
}

fn build_client(connect_timeout: Duration, idle_timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(connect_timeout)
        .conn_keep_alive(idle_timeout)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Converts the failure of a call into an error.
///
/// The kind is [`ErrorKind::Refused`] if no connection was opened, so that nothing was written.
pub fn call_failure(error: &SendRequestError, step: RequestStep, peer: &str) -> RouteError {
    let kind = match error {
        SendRequestError::Connect(
            ConnectError::Io(_) | ConnectError::Timeout | ConnectError::Resolver(_),
        )
        | SendRequestError::Url(_) => ErrorKind::Refused,
        _ => ErrorKind::NoAnswer,
    };
    RouteError::new(kind, step, error.to_string()).at(peer)
}
