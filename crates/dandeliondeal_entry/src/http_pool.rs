//! HTTP connections to endpoints, and what their failures prove.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use dandeliondeal_types::{ErrorKind, RequestStep, RouteError};

/// Time for which an idle connection to an endpoint is kept.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Clients with kept connections and with new ones.
#[derive(Clone, derive_more::Debug)]
pub struct HttpPool {
    #[debug(skip)]
    kept: Client,
    /// One client an engine, so that the kept connections of one engine can be dropped alone.
    #[debug(skip)]
    engines: Rc<RefCell<HashMap<SocketAddr, Client>>>,
    connect_time: Duration,
}

impl HttpPool {
    /// Makes a pool whose connections are made within `connect_time`.
    pub fn new(connect_time: Duration) -> Self {
        Self {
            kept: client(connect_time, IDLE_TIME),
            engines: Rc::default(),
            connect_time,
        }
    }

    /// The client to use: one with kept connections, or one that makes a new connection.
    pub fn client(&self, fresh: bool) -> Client {
        if fresh {
            client(self.connect_time, Duration::ZERO)
        } else {
            self.kept.clone()
        }
    }

    /// The client of one engine. A fresh one starts without connections and takes the place of the
    /// present one, whose idle connections may have gone silent.
    pub fn engine(&self, address: SocketAddr, fresh: bool) -> Client {
        let mut engines = self.engines.borrow_mut();
        let new = || client(self.connect_time, IDLE_TIME);
        if fresh {
            engines.insert(address, new());
        }
        engines.entry(address).or_insert_with(new).clone()
    }
}

fn client(connect_time: Duration, idle_time: Duration) -> Client {
    let connector = Connector::new()
        .timeout(connect_time)
        .conn_keep_alive(idle_time)
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Turns the failure of a call into an error: without a connection nothing was written.
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
