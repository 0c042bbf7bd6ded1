//! The driver of the core: passes inputs to the state machine and performs its outputs.
//!
//! One lock guards the core. For a packet, which is the most frequent input, the lock covers only the decision; the
//! packet is sent after the lock is released. All other outputs are performed under the lock, so that a cancellation
//! never overtakes the start that it cancels. Performing an output never blocks: it sends on non-blocking sockets and
//! channels, and spawns tasks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;

use crate::config::Config;
use crate::datagrams::Datagrams;
use crate::payload::Answer;
use crate::payload::Request;
use crate::peers::PeerClients;
use crate::streams::StreamCommand;
use hawthornshift_core::Input;
use hawthornshift_core::Node;
use hawthornshift_core::Output;
use hawthornshift_core::Timestamp;
use hawthornshift_core::event::AnswerId;
use hawthornshift_core::event::PacketAction;
use hawthornshift_core::event::Reply;
use hawthornshift_core::event::RequestId;
use hawthornshift_core::event::StoredAnswer;
use hawthornshift_core::event::StreamId;
use hawthornshift_core::message::Envelope;
use hawthornshift_model::InstanceId;

/// The result of a request, with the answer if there is one.
#[derive(Debug)]
pub struct RequestOutcome {
    /// The reply of the core.
    pub reply: Reply,
    /// The answer that the reply refers to; `None` if the request was refused or the answer is no longer stored.
    pub answer: Option<Arc<Answer>>,
}

/// A request that the core has not replied to yet.
struct PendingRequest {
    request: Arc<Request>,
    outcome_sender: oneshot::Sender<RequestOutcome>,
    /// Handle of the task that currently sends the request to a target or another instance.
    abort_handle: Option<AbortHandle>,
}

/// Next ids to assign; they are unique within one engine.
#[derive(Debug, Default)]
struct NextIds {
    requests: AtomicU64,
    answers: AtomicU64,
    streams: AtomicU64,
}

/// The core of one instance with the sockets, clients and tasks that it drives.
pub struct Engine {
    pub(crate) config: Config,
    pub(crate) runtime: Handle,
    pub(crate) shutdown: CancellationToken,
    pub(crate) log: Logger,
    pub(crate) datagrams: Datagrams,
    pub(crate) peers: PeerClients,
    /// Signalled when the active configuration set has changed.
    pub(crate) catalog_changed: Notify,
    /// Cancelled when a planned stop is complete, or when a newer process uses this instance's id.
    pub(crate) finished: CancellationToken,
    epoch: Instant,
    node: Mutex<Node>,
    next_ids: NextIds,
    pending: Mutex<HashMap<RequestId, PendingRequest>>,
    answers: Mutex<HashMap<AnswerId, Arc<Answer>>>,
    streams: RwLock<HashMap<StreamId, UnboundedSender<StreamCommand>>>,
}

/// Locks a mutex and ignores poisoning: every decision validates the data that it reads, so the data is usable after a
/// panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    pub(crate) fn new(config: Config, make_node: impl FnOnce(Timestamp) -> Node, datagrams: Datagrams) -> Arc<Self> {
        let log = config.logger.new(slog::o!("instance" => config.id));
        Arc::new(Self {
            runtime: Handle::current(),
            shutdown: CancellationToken::new(),
            log,
            datagrams,
            peers: PeerClients::default(),
            catalog_changed: Notify::new(),
            finished: CancellationToken::new(),
            epoch: Instant::now(),
            node: Mutex::new(make_node(Timestamp::ZERO)),
            next_ids: NextIds::default(),
            pending: Mutex::default(),
            answers: Mutex::default(),
            streams: RwLock::default(),
            config,
        })
    }

    /// Returns the time since the engine was created, which is the clock of the core.
    pub fn now(&self) -> Timestamp {
        self.epoch.elapsed()
    }

    /// Calls `read` with the core, under its lock.
    pub fn with_node<T>(&self, read: impl FnOnce(&Node) -> T) -> T {
        read(&lock(&self.node))
    }

    /// Passes an input to the core and performs its outputs.
    pub fn handle_input(self: &Arc<Self>, input: Input) {
        self.handle_peer_message(input, None);
    }

    /// Passes an input to the core and performs its outputs, except messages addressed to `sender`: they are returned,
    /// and the caller sends them as the response to the message of `sender`.
    pub fn handle_peer_message(self: &Arc<Self>, input: Input, sender: Option<InstanceId>) -> Vec<Envelope> {
        let mut out = Vec::new();
        let mut replies = Vec::new();
        let mut node = lock(&self.node);
        // Read under the lock, so that the times passed to the core never decrease.
        let now = self.now();
        node.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::ToPeer { envelope, .. } if Some(envelope.to) == sender => replies.push(*envelope),
                output => self.perform_output(output),
            }
        }
        drop(node);
        replies
    }

    /// Passes a packet to the core and returns the action for it, if the core decided on one.
    ///
    /// The lock is released before the caller performs the action.
    pub fn handle_packet(self: &Arc<Self>, input: Input) -> Option<PacketAction> {
        let mut out = Vec::with_capacity(1);
        let mut node = lock(&self.node);
        let now = self.now();
        node.handle(now, input, &mut out);
        let mut action = None;
        for output in out {
            match output {
                Output::Packet(decided) => action = Some(decided),
                output => self.perform_output(output),
            }
        }
        drop(node);
        action
    }

    fn perform_output(self: &Arc<Self>, output: Output) {
        match output {
            Output::Packet(_) => {}
            Output::ToPeer { address, envelope } => self.send_to_peer(address, *envelope),
            Output::ReadPlatform(read) => {
                let engine = Arc::clone(self);
                self.spawn(async move { engine.read_platform(read).await });
            }
            Output::CheckHealth { target, address } => {
                let engine = Arc::clone(self);
                self.spawn(async move { engine.check_health(target, address).await });
            }
            Output::ForwardRequest { request, to, address, head } => {
                let engine = Arc::clone(self);
                self.spawn_attempt(request, |msg| async move { engine.forward(request, to, address, head, msg).await });
            }
            Output::Execute { request, attempt, address, time_left } => {
                let engine = Arc::clone(self);
                self.spawn_attempt(request, |msg| async move {
                    engine.execute(request, attempt, address, time_left, msg).await;
                });
            }
            Output::Cancel { request } => self.cancel(request),
            Output::Reply { request, reply } => self.reply(request, reply),
            Output::ReleaseAnswer { answer } => {
                lock(&self.answers).remove(&answer);
            }
            Output::ConnectStream { stream, address } => self.send_command(stream, StreamCommand::Connect(address)),
            Output::CloseStream { stream } => self.send_command(stream, StreamCommand::Close),
            Output::CatalogChanged => self.catalog_changed.notify_one(),
            Output::Stopped => self.finished.cancel(),
            Output::Superseded => {
                warn!(self.log, "superseded by a newer process with this instance's id");
                self.finished.cancel();
            }
            Output::Notice(notice) => {
                let name: &str = (&notice).into();
                info!(self.log, "{}", name; "detail" => serde_json::to_string(&notice).unwrap_or_default());
            }
        }
    }

    /// Spawns a task that is dropped when the instance shuts down.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let shutdown = self.shutdown.clone();
        let task = self.runtime.spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = task => {}
            }
        });
        task.abort_handle()
    }

    fn send_to_peer(self: &Arc<Self>, address: SocketAddr, envelope: Envelope) {
        let engine = Arc::clone(self);
        self.spawn(async move { engine.exchange(address, envelope).await });
    }

    /// Spawns a task that sends a request to a target or another instance, and stores its abort handle.
    ///
    /// Does nothing when the request is no longer pending.
    fn spawn_attempt<F, T>(&self, request: RequestId, task: F)
    where
        F: FnOnce(Arc<Request>) -> T,
        T: Future<Output = ()> + Send + 'static,
    {
        let mut pending = lock(&self.pending);
        let Some(entry) = pending.get_mut(&request) else { return };
        let handle = self.spawn(task(Arc::clone(&entry.request)));
        entry.abort_handle = Some(handle);
    }

    fn cancel(&self, request: RequestId) {
        if let Some(abort_handle) = lock(&self.pending).get_mut(&request).and_then(|entry| entry.abort_handle.take()) {
            abort_handle.abort();
        }
    }

    fn reply(&self, request: RequestId, reply: Reply) {
        let Some(entry) = lock(&self.pending).remove(&request) else { return };
        let answer = match &reply {
            Reply::Answer { answer, .. } => lock(&self.answers).get(answer).cloned(),
            Reply::Refuse { .. } => None,
        };
        // The receiver is dropped when the caller has disconnected.
        let _ = entry.outcome_sender.send(RequestOutcome { reply, answer });
    }

    /// Registers a request and passes it to the core; the returned channel receives its outcome.
    pub(crate) fn submit_request(
        self: &Arc<Self>,
        request: Request,
        input: impl FnOnce(RequestId) -> Input,
    ) -> (RequestId, oneshot::Receiver<RequestOutcome>) {
        let id = self.next_ids.requests.fetch_add(1, Ordering::Relaxed);
        let (outcome_sender, outcome) = oneshot::channel();
        let entry = PendingRequest { request: Arc::new(request), outcome_sender, abort_handle: None };
        lock(&self.pending).insert(id, entry);
        self.handle_input(input(id));
        (id, outcome)
    }

    /// Reports to the core that the caller of a request has disconnected.
    pub(crate) fn caller_gone(self: &Arc<Self>, request: RequestId) {
        self.handle_input(Input::CallerGone { request });
    }

    /// Stores an answer until the core releases it with [`Output::ReleaseAnswer`].
    pub(crate) fn store_answer(&self, answer: Answer) -> StoredAnswer {
        let id = self.next_ids.answers.fetch_add(1, Ordering::Relaxed);
        let size = answer.approximate_bytes();
        lock(&self.answers).insert(id, Arc::new(answer));
        StoredAnswer { id, size }
    }

    /// Registers a stream, whose task receives the core's commands through `commands`.
    pub(crate) fn add_stream(&self, commands: UnboundedSender<StreamCommand>) -> StreamId {
        let id = self.next_ids.streams.fetch_add(1, Ordering::Relaxed);
        self.streams.write().unwrap_or_else(PoisonError::into_inner).insert(id, commands);
        id
    }

    /// Removes a stream and reports its end to the core.
    pub(crate) fn remove_stream(self: &Arc<Self>, stream: StreamId) {
        self.streams.write().unwrap_or_else(PoisonError::into_inner).remove(&stream);
        self.handle_input(Input::StreamClosed { stream });
    }

    fn send_command(&self, stream: StreamId, command: StreamCommand) {
        let streams = self.streams.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(commands) = streams.get(&stream) {
            // The receiver is dropped when the stream has just ended.
            let _ = commands.send(command);
        }
    }

    /// Passes a tick to the core every [`TICK_PERIOD`](hawthornshift_core::node::TICK_PERIOD) until shutdown.
    pub(crate) async fn tick(self: Arc<Self>) {
        let mut interval = tokio::time::interval(hawthornshift_core::node::TICK_PERIOD);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.handle_input(Input::Tick);
        }
    }
}

/// Limit on the time to establish a connection to a target or peer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
