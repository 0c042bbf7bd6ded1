//! The loop that owns an instance's state.

mod news;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::Rng;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::callers::CallerSocket;
use crate::checker;
use crate::command;
use crate::command::Command;
use crate::command::Order;
use crate::config::Config;
use crate::decision_log::DecisionLog;
use crate::decision_log::Knowledge;
use crate::decision_log::millis;
use crate::dump;
use crate::dump::ProcessCounts;
use crate::dump::Sources;
use crate::http_server;
use crate::http_server::MAX_HANDOVERS;
use crate::http_server::Services;
use crate::metrics;
use crate::peers::PeerSocket;
use crate::reload::Reload;
use crate::store_reader;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::bootstrap::Bootstrap;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::fleet;
use hawthornshift_core::direct::fleet::ChangeLog;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::message::Frame;
use hawthornshift_core::direct::message::Message;
use hawthornshift_core::direct::message::StoreUpdate;
use hawthornshift_core::direct::pause::PauseDetector;
use hawthornshift_core::direct::readiness::Readiness;
use hawthornshift_core::direct::stopping::Stopping;
use hawthornshift_core::membership::Identity;
use hawthornshift_model::InstanceId;
use hawthornshift_platform::store::StoreClient;

/// Packets read in one turn before timers and messages have theirs.
const BATCH: usize = 64;
/// Time between two looks at heartbeats, announcements and the settings file.
const FLEET_PERIOD: Duration = Duration::from_millis(50);
/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_PERIOD: Duration = Duration::from_secs(2);
/// Most instances that one log line names of those which came or went.
const MAX_NAMES: usize = 8;
/// Part of the evacuation bound after which nothing is sent any more to a failure domain that is taken out.
const EVACUATION_PART: f64 = 0.8;

/// A process whose sockets are open.
#[derive(Debug)]
pub struct Process {
    config: Config,
    started: Instant,
    log: Logger,
    dispatcher: Dispatcher,
    fleet: Fleet,
    callers: CallerSocket,
    peers: PeerSocket,
    group: Vec<SocketAddr>,
    ready: Arc<AtomicBool>,
    orders: watch::Sender<Order>,
    tx: mpsc::Sender<Command>,
    rx: mpsc::Receiver<Command>,
    decision_log: DecisionLog,
    reload: Reload,
    counts: ProcessCounts,
    pause: PauseDetector,
    stopping: Option<Stopping>,
    pulling: bool,
    store_lost: bool,
    bootstrap: Bootstrap,
    changes: ChangeLog,
    next_fleet: Timestamp,
    next_settings: Timestamp,
    effects: Vec<Effect>,
    cancel: CancellationToken,
}

impl Process {
    /// Opens the sockets and starts the tasks.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(config: Config, cancel: CancellationToken) -> io::Result<Self> {
        let platform = &config.platform;
        let id = fleet::instance_id(platform.peers);
        let identity = Identity {
            id,
            incarnation: config.incarnation,
            failure_domain: platform.failure_domain.clone(),
            control: platform.peers,
            forward: platform.peers,
        };
        let dispatcher = Dispatcher::new(DispatcherConfig {
            id,
            domain: platform.failure_domain.clone(),
            evacuation_grace: platform.evacuation.mul_f64(EVACUATION_PART),
            mechanisms: config.mechanisms,
        });
        let (tx, rx) = mpsc::channel(command::QUEUE);
        let (orders, watched) = watch::channel(Order::Rest);
        let ready = Arc::new(AtomicBool::new(false));
        let handovers = Arc::new(Semaphore::new(MAX_HANDOVERS));
        let services = Services { ready: Arc::clone(&ready), tx: tx.clone(), handovers };
        let addresses = [Some(platform.ready), Some(platform.peers), platform.control, Some(config.metrics)];
        for address in addresses.into_iter().flatten() {
            http_server::serve(address, services.clone(), cancel.clone()).await?;
        }
        let client = StoreClient::new(platform.store);
        tokio::spawn(store_reader::run(client, watched, tx.clone(), cancel.clone()));
        let draw = rand::rng().random_range(0.0..1.0);
        let bootstrap = Bootstrap::new(platform.first_start, platform.link_mbps, draw);
        Ok(Self {
            started: Instant::now(),
            log: config.log.clone(),
            dispatcher,
            fleet: Fleet::new(Timestamp::ZERO, identity, &platform.seeds),
            callers: CallerSocket::bind(platform.packets).await?,
            peers: PeerSocket::bind(platform.peers).await?,
            group: Vec::new(),
            ready,
            orders,
            tx,
            rx,
            decision_log: DecisionLog::new(config.log.clone(), config.log_rate),
            reload: Reload::new(&config.settings_path, config.platform.clone()),
            counts: ProcessCounts::default(),
            pause: PauseDetector::new(Timestamp::ZERO, time_of_day()),
            stopping: None,
            pulling: false,
            store_lost: false,
            bootstrap,
            changes: ChangeLog::default(),
            next_fleet: Timestamp::ZERO,
            next_settings: SETTINGS_PERIOD,
            effects: Vec::new(),
            cancel,
            config,
        })
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Serves until a planned stop is over or the token is cancelled.
    ///
    /// # Errors
    ///
    /// Fails when signals or sockets cannot be used.
    pub async fn run(mut self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let cancel = self.cancel.clone();
        info!(self.log, "started"; "instance" => &self.config.platform.name,
            "failure_domain" => &self.config.platform.failure_domain, "first_start" => self.config.platform.first_start,
            "version" => env!("CARGO_PKG_VERSION"), "without" => self.config.mechanisms.to_string());
        loop {
            let due = self.next_due();
            let wait = due.saturating_sub(self.now());
            tokio::select! {
                biased;
                () = cancel.cancelled() => break,
                _ = terminate.recv() => self.stop(),
                _ = hangup.recv() => self.look_at_settings(true),
                readable = self.callers.readable() => readable?,
                readable = self.peers.readable() => readable?,
                Some(command) = self.rx.recv() => self.command(command),
                () = tokio::time::sleep(wait) => {}
            }
            self.look_at_clocks();
            self.read_callers();
            self.read_peers();
            self.tick();
            self.flush();
            if self.stopping.is_some_and(|stopping| stopping.is_over(self.now())) {
                break;
            }
        }
        self.depart();
        cancel.cancel();
        Ok(())
    }

    fn next_due(&self) -> Timestamp {
        let due = self.dispatcher.next_due().min(self.next_fleet);
        if self.dispatcher.directory().is_synced() || self.pulling {
            return due;
        }
        due.min(self.bootstrap.next_due(self.fleet.watcher_role().should_read()))
    }

    fn stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.now();
        info!(self.log, "stopping as planned"; "grace_ms" => millis(self.config.platform.grace));
        self.ready.store(false, Ordering::Relaxed);
        self.stopping = Some(Stopping::new(now, self.config.platform.grace));
        self.fleet.leave(now);
        self.next_fleet = now;
    }

    fn depart(&mut self) {
        let effects = self.fleet.depart();
        self.carry_out_fleet(effects);
        info!(self.log, "stopped"; "packets" => self.callers.counts().received);
    }

    /// Reads what has come from callers, up to a batch.
    fn read_callers(&mut self) {
        for _ in 0..BATCH {
            let Some(decoded) = self.callers.read() else { return };
            let now = self.now();
            if let Some(stopping) = &mut self.stopping {
                stopping.packet(now);
            }
            // Malformed ones are counted by the socket.
            let Ok(segment) = decoded else { continue };
            self.dispatcher.handle_packet(now, &segment, self.callers.packet(), &mut self.effects);
            self.carry_out();
        }
    }

    fn read_peers(&mut self) {
        for _ in 0..BATCH {
            let Some(frame) = self.peers.read() else { return };
            let now = self.now();
            let effects = self.fleet.frame(now, frame, self.dispatcher.directory().revision());
            self.carry_out_fleet(effects);
        }
    }

    fn carry_out(&mut self) {
        for effect in self.effects.drain(..) {
            match effect {
                Effect::Check { target, to } => checker::check(target, to, &self.tx),
                effect => self.callers.carry_out(effect),
            }
        }
    }

    fn carry_out_fleet(&mut self, effects: Vec<FleetEffect>) {
        let now = self.now();
        for effect in effects {
            match effect {
                FleetEffect::Send(to, frame) => self.send(&to, frame),
                FleetEffect::RoleChange(duty) => self.order(duty),
                // One that knows nothing yet asks at its own pace, and not all of them the same instance.
                FleetEffect::Pull(_) if !self.dispatcher.directory().is_synced() => self.bootstrap.ask_now(now),
                FleetEffect::Pull(from) => self.pull(from),
                FleetEffect::UpToDate => self.confirm_news(now),
                FleetEffect::ApplyDelta(delta) => self.learn(now, &delta, "peer"),
                FleetEffect::ApplyLoadReport(report) => {
                    self.dispatcher.apply_load_report(now, &report, &mut self.effects);
                    self.carry_out();
                }
                FleetEffect::Changed => self.fleet_changed(),
            }
        }
    }

    /// Writes down who has come and gone.
    fn log_changes(&mut self, now: Timestamp) {
        let Some(changes) = self.changes.due(now) else { return };
        info!(self.log, "instances changed"; "from" => changes.before, "serving" => changes.serving,
            "joined" => changes.joined.len(), "left" => changes.left.len(),
            "who_joined" => names(&changes.joined), "who_left" => names(&changes.left));
    }

    /// Notices a pause before anything is read: what waits in the callers' socket is as old as it was long, and the
    /// peers' word comes first.
    fn look_at_clocks(&mut self) {
        let now = self.now();
        let gap = self.pause.turn(now, time_of_day());
        if let Some(gap) = gap.filter(|_| self.config.mechanisms.has(Mechanism::PauseDetection)) {
            warn!(self.log, "process paused"; "for_ms" => millis(gap));
            self.dispatcher.process_paused(now);
            self.fleet.process_paused(now);
            self.callers.drop_waiting();
            self.read_peers();
        }
    }

    /// Sends a message; news too large for a datagram are only announced, and whoever lacks them pulls them.
    fn send(&mut self, to: &[SocketAddr], frame: Frame) {
        if self.peers.send(to, &frame) {
            return;
        }
        if let Frame::WithSender { sender, message: Message::StoreUpdate(news) } = frame {
            let message = Message::StoreUpdate(StoreUpdate { delta: None, ..news });
            self.peers.send(to, &Frame::WithSender { sender, message });
        }
    }

    fn fleet_changed(&mut self) {
        let serving = self.fleet.serving();
        self.changes.note(&serving);
        self.dispatcher.set_members(self.now(), serving, self.fleet.group_ids(), self.fleet.is_one_group());
        self.group = self.fleet.group();
    }

    fn command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::StoreSaid { delta, refused } => self.store_said(now, &delta, refused),
            Command::StoreFailed { reason } => self.store_failed(&reason),
            Command::Checked { target, outcome } => {
                self.dispatcher.check_finished(now, target, outcome, &mut self.effects);
                self.carry_out();
            }
            Command::Pulled { outcome, took } => self.pulled(now, &outcome, took),
            Command::Handover { since, answer } => self.hand_over(now, since, answer),
            Command::Dump(answer) => drop(answer.send(dump::render(now, &self.sources()))),
            Command::Metrics(answer) => drop(answer.send(metrics::render(now, &self.sources()))),
        }
    }

    fn sources(&self) -> Sources<'_> {
        Sources {
            ready: self.ready.load(Ordering::Relaxed),
            mechanisms: self.config.mechanisms,
            dispatcher: &self.dispatcher,
            fleet: &self.fleet,
            callers: self.callers.counts(),
            peers: self.peers.counts(),
            process: &self.counts,
        }
    }

    /// Tells the fabric whether callers can be served here.
    fn look_at_readiness(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.now();
        let readiness = self.dispatcher.readiness(now, self.fleet.reaches_other_domains(now));
        let ready = readiness == Readiness::Ready;
        if self.ready.swap(ready, Ordering::Relaxed) == ready {
            return;
        }
        let revision = self.dispatcher.directory().revision();
        if ready {
            info!(self.log, "ready"; "after_ms" => millis(now), "revision" => revision);
        } else {
            warn!(self.log, "not ready"; "reason" => readiness.to_string(), "revision" => revision);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if now >= self.dispatcher.next_due() {
            self.dispatcher.tick(now, &mut self.effects);
            self.carry_out();
        }
        if !self.dispatcher.directory().is_synced() {
            self.ask_for_everything(now);
        }
        if now < self.next_fleet {
            return;
        }
        self.next_fleet = now + FLEET_PERIOD;
        let effects = self.fleet.tick(now, self.dispatcher.directory().revision());
        self.carry_out_fleet(effects);
        self.log_changes(now);
        self.look_at_readiness();
        if now >= self.next_settings {
            self.next_settings = now + SETTINGS_PERIOD;
            self.look_at_settings(false);
        }
    }

    fn look_at_settings(&mut self, signalled: bool) {
        let path = self.config.settings_path.clone();
        if let Some(settings) = self.reload.look(&path, signalled, &self.log) {
            self.config.platform.grace = settings.grace;
        }
    }

    /// Tells the group what this turn brought, and writes the decisions down.
    fn flush(&mut self) {
        let now = self.now();
        let report = self.dispatcher.take_report();
        if !report.is_empty() && !self.group.is_empty() {
            for part in report.parts() {
                self.peers.send(&self.group, &Frame::LoadReport(part));
            }
        }
        let directory = self.dispatcher.directory();
        let age = self.fleet.watcher_role().age(now);
        let knowledge = Knowledge { revision: directory.revision(), version: directory.version(), age };
        for change in self.dispatcher.take_reachability_changes() {
            let reachability: &str = change.reachability.into();
            info!(self.log, "target reachability"; "target" => format!("{:x}", change.target),
                "is" => reachability, "failed_checks" => change.failed, "revision" => knowledge.revision);
        }
        for decision in self.dispatcher.take_decisions() {
            self.decision_log.write(now, &decision, knowledge);
        }
    }
}

/// Returns the time of day since the Unix epoch; zero before it, which counts as a pause once.
fn time_of_day() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Returns some instances by their addresses, which are their numbers.
fn names(ids: &[InstanceId]) -> String {
    let names: Vec<String> = ids.iter().take(MAX_NAMES).map(|id| Ipv4Addr::from(*id).to_string()).collect();
    names.join(" ")
}
