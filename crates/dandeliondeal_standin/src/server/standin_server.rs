//! Accepts connections, reads calls, applies faults, and stops gracefully or immediately.

use std::cell::{Ref, RefCell, RefMut};
use std::convert::Infallible;
use std::future::{pending, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::time::sleep;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot, watch};

use super::connection_gate::{ConnectionGate, GatedStream};
use super::fault_state::{CallFault, StandinFaults};
use super::{CallHandler, FaultChange, HandlerAnswer, StandinCall, StandinReply};
use crate::StandinError;

/// Maximum number of connections that the operating system queues for acceptance.
const ACCEPT_BACKLOG: u32 = 1024;
/// Interval at which a graceful stop checks for connections that have become idle.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The phase of a stand-in between its start and its end.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RunPhase {
    Running,
    Stopping,
    Ended,
}

/// The HTTP server of a stand-in, which is the same for all kinds.
#[derive(Debug)]
pub(crate) struct StandinServer {
    address: SocketAddr,
    listener: RefCell<Option<TcpListener>>,
    gates: RefCell<Vec<Weak<ConnectionGate>>>,
    faults: RefCell<StandinFaults>,
    faults_changed: Notify,
    phase: watch::Sender<RunPhase>,
}

impl StandinServer {
    /// Listens on `address` and passes calls to `handler`, on the current actix arbiter.
    pub(crate) fn start<Handler>(
        address: SocketAddr,
        handler: &Rc<Handler>,
    ) -> Result<Rc<Self>, StandinError>
    where
        Handler: CallHandler,
    {
        let listener = listen(address).map_err(|error| StandinError::listen(address, error))?;
        let bound_address = listener
            .local_addr()
            .map_err(|error| StandinError::listen(address, error))?;
        let server = Rc::new(Self {
            address: bound_address,
            listener: RefCell::new(Some(listener)),
            gates: RefCell::new(Vec::new()),
            faults: RefCell::new(StandinFaults::default()),
            faults_changed: Notify::new(),
            phase: watch::Sender::new(RunPhase::Running),
        });
        server.spawn(accept_connections(Rc::clone(&server), Rc::clone(handler)));
        Ok(server)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn faults(&self) -> Ref<'_, StandinFaults> {
        self.faults.borrow()
    }

    pub(crate) fn faults_mut(&self) -> RefMut<'_, StandinFaults> {
        self.faults.borrow_mut()
    }

    pub(crate) fn set_faults(&self, change: FaultChange) {
        self.change_faults(change, None);
    }

    /// Spawns a task that is cancelled when the stand-in terminates.
    pub(crate) fn spawn<Task>(&self, task: Task)
    where
        Task: Future<Output = ()> + 'static,
    {
        let mut phase = self.phase.subscribe();
        actix_rt::spawn(async move {
            tokio::select! {
                biased;
                _ = phase.wait_for(|phase| *phase == RunPhase::Ended) => {}
                () = task => {}
            }
        });
    }

    /// Waits until the freeze fault is inactive.
    pub(crate) async fn wait_while_frozen(&self) {
        while self.faults().freeze {
            self.faults_changed.notified().await;
        }
    }

    /// Stops accepting connections, waits for open calls to finish, then terminates.
    pub(crate) async fn stop(&self) {
        self.listener.borrow_mut().take();
        self.phase.send_replace(RunPhase::Stopping);
        while self.close_idle_connections() > 0 {
            sleep(STOP_POLL_INTERVAL).await;
        }
        self.kill();
    }

    /// Terminates immediately: closes every connection, and no open call takes effect any more.
    pub(crate) fn kill(&self) {
        self.phase.send_replace(RunPhase::Ended);
        self.listener.borrow_mut().take();
        for gate in self.open_gates() {
            gate.close();
        }
    }

    /// Waits until the stand-in has terminated.
    pub(crate) async fn wait_until_ended(&self) {
        let mut phase = self.phase.subscribe();
        // `self` owns the sender, so that the wait cannot fail.
        let _ = phase.wait_for(|phase| *phase == RunPhase::Ended).await;
    }

    pub(crate) fn open_calls(&self) -> usize {
        let gates = self.open_gates();
        gates.iter().filter(|gate| !gate.is_idle()).count()
    }

    fn is_stopping(&self) -> bool {
        *self.phase.borrow() != RunPhase::Running
    }

    fn open_gates(&self) -> Vec<Rc<ConnectionGate>> {
        self.gates
            .borrow()
            .iter()
            .filter_map(Weak::upgrade)
            .collect()
    }

    /// Closes idle connections and returns the number of busy ones.
    fn close_idle_connections(&self) -> usize {
        let (idle, busy): (Vec<_>, Vec<_>) = self
            .open_gates()
            .into_iter()
            .partition(|gate| gate.is_idle());
        for gate in idle {
            gate.close();
        }
        busy.len()
    }

    fn change_faults(&self, change: FaultChange, caller: Option<&Rc<ConnectionGate>>) {
        let should_silence = change.silence_connections == Some(true);
        let should_kill = change.die == Some(true);
        self.faults_mut().apply(change);
        self.faults_changed.notify_waiters();
        if should_silence {
            self.silence_connections(caller);
        }
        if should_kill {
            self.kill();
        }
    }

    /// Silences every open connection except the one that requested it.
    fn silence_connections(&self, caller: Option<&Rc<ConnectionGate>>) {
        let is_caller =
            |gate: &Rc<ConnectionGate>| caller.is_some_and(|caller| Rc::ptr_eq(caller, gate));
        for gate in self.open_gates() {
            if !is_caller(&gate) {
                gate.silence();
            }
        }
    }

    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<Option<io::Result<TcpStream>>> {
        match self.listener.borrow().as_ref() {
            None => Poll::Ready(None),
            Some(listener) => listener
                .poll_accept(context)
                .map(|accepted| Some(accepted.map(|(stream, _)| stream))),
        }
    }

    fn add_gate(&self, stream: TcpStream) -> Rc<ConnectionGate> {
        let gate = ConnectionGate::new(stream);
        let mut gates = self.gates.borrow_mut();
        gates.retain(|gate| gate.strong_count() > 0);
        gates.push(Rc::downgrade(&gate));
        gate
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

async fn accept_connections<Handler>(server: Rc<StandinServer>, handler: Rc<Handler>)
where
    Handler: CallHandler,
{
    let dispatcher = {
        let server = Rc::clone(&server);
        HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .on_connect_ext(|stream: &GatedStream, data| {
                data.insert(Rc::clone(&stream.0));
            })
            .h1(fn_service(move |request| {
                answer_request(Rc::clone(&server), Rc::clone(&handler), request)
            }))
            .new_service(())
            .await
    };
    let Ok(dispatcher) = dispatcher else { return };
    while let Some(accepted) = poll_fn(|context| server.poll_accept(context)).await {
        // A failed accept affects only that connection.
        let Ok(stream) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let gate = server.add_gate(stream);
        let connection = dispatcher.call((GatedStream(gate), None));
        server.spawn(async move {
            // The caller detects a broken connection itself.
            let _ = connection.await;
        });
    }
}

async fn answer_request<Handler>(
    server: Rc<StandinServer>,
    handler: Rc<Handler>,
    request: Request,
) -> Result<Response<Bytes>, Infallible>
where
    Handler: CallHandler,
{
    let Some(gate) = request.conn_data::<Rc<ConnectionGate>>().cloned() else {
        return Ok(StandinReply::empty(500).into_response(true));
    };
    gate.begin_call();
    let reply = match StandinCall::read(request).await {
        Err(reply) => Some(reply),
        Ok(call) => {
            let execution = CallExecution {
                server: Rc::clone(&server),
                handler,
                gate: Rc::clone(&gate),
            };
            execution.run_detached(call).await
        }
    };
    let Some(reply) = reply else {
        return pending().await;
    };
    gate.end_call();
    Ok(reply.into_response(server.is_stopping()))
}

/// The execution of one call.
struct CallExecution<Handler> {
    server: Rc<StandinServer>,
    handler: Rc<Handler>,
    gate: Rc<ConnectionGate>,
}

impl<Handler> CallExecution<Handler>
where
    Handler: CallHandler,
{
    /// Runs the call to its end even if its connection closes, as a real back end would.
    async fn run_detached(self, call: StandinCall) -> Option<StandinReply> {
        let (sender, receiver) = oneshot::channel();
        let server = Rc::clone(&self.server);
        server.spawn(async move {
            let reply = self.run(call).await;
            // Sending fails if the connection has closed, which drops the receiver.
            let _ = sender.send(reply);
        });
        receiver.await.ok().flatten()
    }

    /// Returns the reply, or `None` if none is to be sent.
    async fn run(&self, call: StandinCall) -> Option<StandinReply> {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/ledger") => {
                let lines = self.handler.ledger_lines();
                Some(StandinReply::text(200, "application/jsonl", lines))
            }
            ("GET", "/faults") => Some(StandinReply::json(200, &*self.server.faults())),
            ("POST", "/faults") => Some(self.faults_reply(&call)),
            _ => self.run_with_faults(call).await,
        }
    }

    fn faults_reply(&self, call: &StandinCall) -> StandinReply {
        match call.json::<FaultChange>() {
            Err(reply) => reply,
            Ok(change) => {
                self.server.change_faults(change, Some(&self.gate));
                StandinReply::json(200, &*self.server.faults())
            }
        }
    }

    async fn run_with_faults(&self, call: StandinCall) -> Option<StandinReply> {
        self.server.wait_while_frozen().await;
        if self.gate.is_silent() {
            return None;
        }
        if self.server.faults().outage {
            return Some(StandinReply::error(503, "outage", "outage", None));
        }
        let fault = self.server.faults_mut().take_call_fault(&call);
        if fault == CallFault::LoseCall {
            self.gate.silence();
            return None;
        }
        let handler = Rc::clone(&self.handler);
        let answer = handler.handle(call, Rc::clone(&self.server)).await;
        self.delay_reply().await;
        self.apply_fault(fault, answer)
    }

    async fn delay_reply(&self) {
        let delay = Duration::from_millis(self.server.faults().slow_milliseconds);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.server.wait_while_frozen().await;
    }

    fn apply_fault(&self, fault: CallFault, answer: HandlerAnswer) -> Option<StandinReply> {
        match (fault, answer) {
            (CallFault::NoFault | CallFault::LoseCall, HandlerAnswer::Reply(reply)) => Some(reply),
            (CallFault::ResetAnswer, _) => {
                self.gate.close();
                None
            }
            (CallFault::LoseAnswer, _) | (_, HandlerAnswer::Silence) => {
                self.gate.silence();
                None
            }
        }
    }
}
