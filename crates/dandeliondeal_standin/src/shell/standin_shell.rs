//! Listens, reads calls, applies faults, and ends gracefully or at once.

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
use super::fault_state::{CallFate, StandinFaults};
use super::{CallHandler, FaultChange, HandlerAnswer, StandinCall, StandinReply};
use crate::StandinError;

/// Connections that the operating system keeps until they are accepted.
const BACKLOG: u32 = 1024;
/// Interval at which a graceful stop looks for connections that have become idle.
const STOP_INTERVAL: Duration = Duration::from_millis(2);

/// How far the end of a stand-in has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RunPhase {
    Running,
    Stopping,
    Ended,
}

/// The part of a stand-in that is the same for every kind.
#[derive(Debug)]
pub(crate) struct StandinShell {
    address: SocketAddr,
    listener: RefCell<Option<TcpListener>>,
    gates: RefCell<Vec<Weak<ConnectionGate>>>,
    faults: RefCell<StandinFaults>,
    thaw: Notify,
    phase: watch::Sender<RunPhase>,
}

impl StandinShell {
    /// Listens on `address` and serves `handler` from the present arbiter.
    pub(crate) fn start<Handler>(
        address: SocketAddr,
        handler: &Rc<Handler>,
    ) -> Result<Rc<Self>, StandinError>
    where
        Handler: CallHandler,
    {
        let listener = listen(address).map_err(|error| StandinError::listen(address, error))?;
        let bound = listener
            .local_addr()
            .map_err(|error| StandinError::listen(address, error))?;
        let shell = Rc::new(Self {
            address: bound,
            listener: RefCell::new(Some(listener)),
            gates: RefCell::new(Vec::new()),
            faults: RefCell::new(StandinFaults::default()),
            thaw: Notify::new(),
            phase: watch::Sender::new(RunPhase::Running),
        });
        shell.spawn(accept_connections(Rc::clone(&shell), Rc::clone(handler)));
        Ok(shell)
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

    /// Runs a task that ends with the stand-in.
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

    /// Waits until no call may be held back any more.
    pub(crate) async fn wait_thaw(&self) {
        while self.faults().freeze {
            self.thaw.notified().await;
        }
    }

    /// Takes no more connections, lets every open call finish, then ends.
    pub(crate) async fn stop(&self) {
        self.listener.borrow_mut().take();
        self.phase.send_replace(RunPhase::Stopping);
        while self.close_idle() > 0 {
            sleep(STOP_INTERVAL).await;
        }
        self.kill();
    }

    /// Ends at once: every connection closes, no open call takes effect any more.
    pub(crate) fn kill(&self) {
        self.phase.send_replace(RunPhase::Ended);
        self.listener.borrow_mut().take();
        for gate in self.open_gates() {
            gate.close();
        }
    }

    /// Waits until the stand-in has ended.
    pub(crate) async fn ended(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
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

    /// Closes idle connections and returns how many are busy.
    fn close_idle(&self) -> usize {
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
        let is_silencing = change.silence_connections == Some(true);
        let is_dying = change.die == Some(true);
        self.faults_mut().apply(change);
        self.thaw.notify_waiters();
        if is_silencing {
            self.silence_connections(caller);
        }
        if is_dying {
            self.kill();
        }
    }

    /// Silences every open connection but the one that gives the command.
    fn silence_connections(&self, caller: Option<&Rc<ConnectionGate>>) {
        let is_caller = |gate: &Rc<ConnectionGate>| caller.is_some_and(|own| Rc::ptr_eq(own, gate));
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
    socket.listen(BACKLOG)
}

async fn accept_connections<Handler>(shell: Rc<StandinShell>, handler: Rc<Handler>)
where
    Handler: CallHandler,
{
    let dispatcher = {
        let shell = Rc::clone(&shell);
        HttpService::build()
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            .on_connect_ext(|stream: &GatedStream, data| {
                data.insert(Rc::clone(&stream.0));
            })
            .h1(fn_service(move |request| {
                answer_request(Rc::clone(&shell), Rc::clone(&handler), request)
            }))
            .new_service(())
            .await
    };
    let Ok(dispatcher) = dispatcher else { return };
    while let Some(accepted) = poll_fn(|context| shell.poll_accept(context)).await {
        // A failed accept concerns that one connection only.
        let Ok(stream) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let gate = shell.add_gate(stream);
        let connection = dispatcher.call((GatedStream(gate), None));
        shell.spawn(async move {
            // A connection that breaks is the caller's affair.
            let _ = connection.await;
        });
    }
}

async fn answer_request<Handler>(
    shell: Rc<StandinShell>,
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
            let run = CallRun {
                shell: Rc::clone(&shell),
                handler,
                gate: Rc::clone(&gate),
            };
            run.run_detached(call).await
        }
    };
    let Some(reply) = reply else {
        return pending().await;
    };
    gate.end_call();
    Ok(reply.into_response(shell.is_stopping()))
}

/// What one call needs while it runs.
struct CallRun<Handler> {
    shell: Rc<StandinShell>,
    handler: Rc<Handler>,
    gate: Rc<ConnectionGate>,
}

impl<Handler> CallRun<Handler>
where
    Handler: CallHandler,
{
    /// Carries the call out even if its connection closes meanwhile, as a real peer would.
    async fn run_detached(self, call: StandinCall) -> Option<StandinReply> {
        let (sender, receiver) = oneshot::channel();
        let shell = Rc::clone(&self.shell);
        shell.spawn(async move {
            let reply = self.run(call).await;
            // The receiver is gone if the connection has closed.
            let _ = sender.send(reply);
        });
        receiver.await.ok().flatten()
    }

    /// The reply, `None` if none is to be sent.
    async fn run(&self, call: StandinCall) -> Option<StandinReply> {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/ledger") => {
                let lines = self.handler.ledger_lines();
                Some(StandinReply::text(200, "application/jsonl", lines))
            }
            ("GET", "/faults") => Some(StandinReply::json(200, &*self.shell.faults())),
            ("POST", "/faults") => Some(self.faults_reply(&call)),
            _ => self.run_with_faults(call).await,
        }
    }

    fn faults_reply(&self, call: &StandinCall) -> StandinReply {
        match call.json::<FaultChange>() {
            Err(reply) => reply,
            Ok(change) => {
                self.shell.change_faults(change, Some(&self.gate));
                StandinReply::json(200, &*self.shell.faults())
            }
        }
    }

    async fn run_with_faults(&self, call: StandinCall) -> Option<StandinReply> {
        self.shell.wait_thaw().await;
        if self.gate.is_silent() {
            return None;
        }
        if self.shell.faults().outage {
            return Some(StandinReply::error(503, "outage", "outage", None));
        }
        let fate = self.shell.faults_mut().take_fate(&call);
        if fate == CallFate::LoseCall {
            self.gate.silence();
            return None;
        }
        let handler = Rc::clone(&self.handler);
        let answer = handler.handle(call, Rc::clone(&self.shell)).await;
        self.hold_back().await;
        self.deliver(fate, answer)
    }

    async fn hold_back(&self) {
        let slow = Duration::from_millis(self.shell.faults().slow_milliseconds);
        if !slow.is_zero() {
            sleep(slow).await;
        }
        self.shell.wait_thaw().await;
    }

    fn deliver(&self, fate: CallFate, answer: HandlerAnswer) -> Option<StandinReply> {
        match (fate, answer) {
            (CallFate::Answer | CallFate::LoseCall, HandlerAnswer::Reply(reply)) => Some(reply),
            (CallFate::ResetAnswer, _) => {
                self.gate.close();
                None
            }
            (CallFate::LoseAnswer, _) | (_, HandlerAnswer::Silence) => {
                self.gate.silence();
                None
            }
        }
    }
}
