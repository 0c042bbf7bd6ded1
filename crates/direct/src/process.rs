//! The process loop, which owns the state of an instance.

mod store_updates;

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
use strum::IntoEnumIterator;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::callers::CallerSocket;
use crate::checker;
use crate::command;
use crate::command::Command;
use crate::command::StoreReaderMode;
use crate::config::Config;
use crate::decision_log::DecisionLog;
use crate::decision_log::StateSummary;
use crate::decision_log::millis;
use crate::dump;
use crate::dump::ProcessCounts;
use crate::dump::Sources;
use crate::http_server;
use crate::http_server::Handovers;
use crate::http_server::Services;
use crate::metrics;
use crate::peers::PeerCounts;
use crate::peers::PeerSocket;
use crate::reload::SettingsReloader;
use crate::store_reader;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::fleet;
use hawthornshift_core::direct::fleet::ChangeLog;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::lifecycle::bootstrap::Bootstrap;
use hawthornshift_core::direct::lifecycle::pause::PauseDetector;
use hawthornshift_core::direct::lifecycle::readiness::Readiness;
use hawthornshift_core::direct::lifecycle::stopping::Stopping;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::reports::capacity_report::recipients;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::reports::message::FrameKind;
use hawthornshift_core::direct::reports::message::Message;
use hawthornshift_core::direct::reports::message::StoreUpdate;
use hawthornshift_core::membership::Identity;
use hawthornshift_model::InstanceId;
use hawthornshift_platform::store::StoreClient;

/// Maximum of packets of callers, and of messages of peers, read in one turn of the loop, so that neither delays the other
/// or the timers.
const READ_BATCH: usize = 64;
/// Minimum interval between two regular fleet ticks (heartbeats, announcements) and updates of readiness.
const FLEET_TICK_PERIOD: Duration = Duration::from_millis(50);
/// Minimum interval between two fleet ticks, whatever is due.
const MIN_FLEET_TICK_PERIOD: Duration = Duration::from_millis(5);
/// Additional time for which a regular fleet tick waits for another event, so that an idle instance is not woken only for
/// that. With it, two iterations of the loop are at most 100 ms apart.
const FLEET_TICK_DELAY: Duration = Duration::from_millis(50);
/// Period of checks for a changed settings file, which may change without a signal.
const SETTINGS_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Maximum of instances that one log line names as joined, and as left.
const MAX_LOGGED_INSTANCES: usize = 8;
/// Fraction of the evacuation bound after which nothing is sent to an evacuated failure domain any more.
const EVACUATION_GRACE_FRACTION: f64 = 0.8;

/// A process with open sockets.
#[derive(Debug)]
pub struct Process {
    config: Config,
    started: Instant,
    log: Logger,
    dispatcher: Dispatcher,
    fleet: Fleet,
    callers: CallerSocket,
    peers: PeerSocket,
    group_addresses: Vec<SocketAddr>,
    ready: Arc<AtomicBool>,
    handovers: Arc<Handovers>,
    reader_mode: watch::Sender<StoreReaderMode>,
    tx: mpsc::Sender<Command>,
    rx: mpsc::Receiver<Command>,
    decision_log: DecisionLog,
    settings_reloader: SettingsReloader,
    counts: ProcessCounts,
    pause: PauseDetector,
    stopping: Option<Stopping>,
    /// Number of requests for a handover in progress.
    current_pulls: usize,
    is_store_unavailable: bool,
    is_directory_behind: bool,
    bootstrap: Bootstrap,
    changes: ChangeLog,
    /// When the last fleet tick ran; `None` to run one at once.
    last_fleet_tick: Option<Timestamp>,
    next_settings_check: Timestamp,
    effects: Vec<Effect>,
    cancel: CancellationToken,
}

impl Process {
    /// Opens the sockets and starts the tasks.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if an address cannot be bound.
    pub async fn start(config: Config, cancel: CancellationToken) -> io::Result<Self> {
        let platform = &config.platform;
        let id = fleet::instance_id(platform.peer_address);
        let identity = Identity {
            id,
            incarnation: config.incarnation,
            failure_domain: platform.failure_domain.clone(),
            control: platform.peer_address,
            forward: platform.peer_address,
        };
        let dispatcher = new_dispatcher(&config, id);
        let (tx, rx) = mpsc::channel(command::COMMAND_QUEUE_LEN);
        let (reader_mode, reader_mode_rx) = watch::channel(StoreReaderMode::Idle);
        let ready = Arc::new(AtomicBool::new(false));
        let handovers = Arc::new(Handovers::default());
        let services = Services { ready: Arc::clone(&ready), tx: tx.clone(), handovers: Arc::clone(&handovers) };
        let addresses =
            [Some(platform.ready_address), Some(platform.peer_address), platform.control_address, Some(config.metrics)];
        for address in addresses.into_iter().flatten() {
            http_server::serve(address, services.clone(), cancel.clone()).await?;
        }
        let client = StoreClient::new(platform.store_address);
        tokio::spawn(store_reader::run(client, reader_mode_rx, tx.clone(), cancel.clone()));
        let jitter = rand::rng().random_range(0.0..1.0);
        let bootstrap = Bootstrap::new(platform.first_start, platform.link_mbps, jitter);
        Ok(Self {
            started: Instant::now(),
            log: config.log.clone(),
            dispatcher,
            fleet: Fleet::new(Timestamp::ZERO, identity, &platform.seeds),
            callers: CallerSocket::bind(platform.packet_address).await?,
            peers: PeerSocket::bind(platform.peer_address).await?,
            group_addresses: Vec::new(),
            ready,
            handovers,
            reader_mode,
            tx,
            rx,
            decision_log: DecisionLog::new(config.log.clone(), config.max_log_lines_per_second),
            settings_reloader: SettingsReloader::new(&config.settings_path, config.platform.clone()),
            counts: ProcessCounts::default(),
            pause: PauseDetector::new(Timestamp::ZERO, time_of_day()),
            stopping: None,
            current_pulls: 0,
            is_store_unavailable: false,
            is_directory_behind: false,
            bootstrap,
            changes: ChangeLog::default(),
            last_fleet_tick: None,
            next_settings_check: SETTINGS_CHECK_PERIOD,
            effects: Vec::new(),
            cancel,
            config,
        })
    }

    fn now(&self) -> Timestamp {
        self.started.elapsed()
    }

    /// Runs the loop until a graceful stop has completed or the token is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if signal handlers cannot be installed or a socket is no longer usable.
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
                _ = terminate.recv() => self.begin_stop(),
                _ = hangup.recv() => self.reload_settings(true),
                readable = self.callers.readable() => readable?,
                readable = self.peers.readable() => readable?,
                Some(command) = self.rx.recv() => self.handle_command(command),
                () = tokio::time::sleep(wait) => {}
            }
            self.counts.iterations += 1;
            self.detect_pause();
            self.read_callers();
            self.read_peers();
            self.tick();
            self.flush();
            if self.stopping.is_some_and(|stopping| stopping.is_over(self.now())) {
                break;
            }
        }
        self.announce_departure();
        cancel.cancel();
        Ok(())
    }

    fn next_due(&self) -> Timestamp {
        let due = self.dispatcher.next_due().min(self.fleet_tick_due(FLEET_TICK_PERIOD + FLEET_TICK_DELAY));
        if self.dispatcher.directory().is_synced() || self.current_pulls > 0 {
            return due;
        }
        due.min(self.bootstrap.next_due(self.fleet.watcher_role().should_read()))
    }

    /// Returns when the next fleet tick is due: when one of the fleet's timers is, or after `regular_period`.
    fn fleet_tick_due(&self, regular_period: Duration) -> Timestamp {
        let Some(last) = self.last_fleet_tick else { return Timestamp::ZERO };
        self.fleet.next_due().max(last + MIN_FLEET_TICK_PERIOD).min(last + regular_period)
    }

    fn begin_stop(&mut self) {
        if self.stopping.is_some() {
            return;
        }
        let now = self.now();
        info!(self.log, "stopping as planned"; "grace_ms" => millis(self.config.platform.grace_period));
        self.ready.store(false, Ordering::Relaxed);
        self.stopping = Some(Stopping::new(now, self.config.platform.grace_period));
        self.fleet.leave(now);
        self.last_fleet_tick = None;
    }

    fn announce_departure(&mut self) {
        let recipients = self.fleet.binding_recipients(self.now(), &self.group_addresses);
        for report in self.dispatcher.take_remaining_flow_bindings() {
            self.peers.send(&recipients, &Frame::FlowBindings(report));
        }
        let effects = self.fleet.announce_departure();
        self.execute_fleet_effects(effects);
        info!(self.log, "stopped"; "packets" => self.callers.counts().received, "after_ms" => millis(self.now()),
            "iterations" => self.counts.iterations, "sent" => format_sent(self.peers.counts()));
    }

    /// Receives and handles packets of callers, up to one batch.
    fn read_callers(&mut self) {
        for _ in 0..READ_BATCH {
            let Some(decoded) = self.callers.read() else { return };
            let now = self.now();
            if let Some(stopping) = &mut self.stopping {
                stopping.record_packet(now);
            }
            // The socket counts malformed packets.
            let Ok(segment) = decoded else { continue };
            self.dispatcher.handle_packet(now, &segment, self.callers.packet(), &mut self.effects);
            self.execute_effects();
        }
    }

    fn read_peers(&mut self) {
        for _ in 0..READ_BATCH {
            let Some(frame) = self.peers.read() else { return };
            let now = self.now();
            let effects = self.fleet.handle_datagram(now, frame, self.dispatcher.directory().revision());
            self.execute_fleet_effects(effects);
        }
    }

    fn execute_effects(&mut self) {
        for effect in self.effects.drain(..) {
            match effect {
                Effect::Check { target, to } => checker::check(target, to, &self.tx),
                effect => self.callers.execute(effect),
            }
        }
    }

    fn execute_fleet_effects(&mut self, effects: Vec<FleetEffect>) {
        let now = self.now();
        for effect in effects {
            match effect {
                FleetEffect::Send(to, frame) => self.send(&to, frame),
                FleetEffect::RoleChange(change) => self.change_watcher_role(change),
                // During bootstrap, requests follow its own schedule and choice of peers, so that starting instances do
                // not all pull from the same one.
                FleetEffect::Pull(_) if !self.dispatcher.directory().is_synced() => self.bootstrap.ask_now(now),
                FleetEffect::Pull(from) => self.pull(now, from),
                FleetEffect::UpToDate => self.confirm_up_to_date(now),
                FleetEffect::ApplyDelta(delta) => self.apply_delta(now, &delta, "peer"),
                FleetEffect::ApplyLoadReport(report) => {
                    self.dispatcher.apply_load_report(now, &report, &mut self.effects);
                    self.execute_effects();
                }
                FleetEffect::ApplyAnswerTimes(report) => self.dispatcher.apply_answer_times(now, &report),
                FleetEffect::ApplyCapacityReport(report) => self.dispatcher.apply_capacity_report(now, &report),
                FleetEffect::ApplyFlowBindings(report) => {
                    let new = self.dispatcher.apply_flow_bindings(now, &report);
                    let relayed = self.fleet.relay_flow_bindings(now, new);
                    self.execute_fleet_effects(relayed.into_iter().collect());
                }
                FleetEffect::Changed => self.fleet_changed(),
            }
        }
    }

    /// Logs which instances have joined and left.
    fn log_changes(&mut self, now: Timestamp) {
        let Some(changes) = self.changes.due(now) else { return };
        info!(self.log, "instances changed"; "from" => changes.before, "serving" => changes.serving,
            "joined" => changes.joined.len(), "left" => changes.left.len(),
            "who_joined" => format_instances(&changes.joined), "who_left" => format_instances(&changes.left));
    }

    /// Detects a pause of the process before any packet is read.
    ///
    /// Packets queued in the callers' socket may be as old as the pause is long, so they are discarded, and messages of
    /// peers are read first.
    fn detect_pause(&mut self) {
        let now = self.now();
        let gap = self.pause.check(now, time_of_day());
        if let Some(gap) = gap.filter(|_| self.config.mechanisms.has(Mechanism::PauseDetection)) {
            warn!(self.log, "process paused"; "for_ms" => millis(gap));
            self.dispatcher.process_paused(now);
            self.fleet.process_paused(now);
            self.callers.discard_queued();
            self.read_peers();
        }
    }

    /// Sends a message. A store update too large for a datagram is sent without its delta; instances that lack the delta
    /// pull it.
    fn send(&mut self, to: &[SocketAddr], frame: Frame) {
        if self.peers.send(to, &frame) {
            return;
        }
        if let Frame::WithSender { sender, message: Message::StoreUpdate(update) } = frame {
            let message = Message::StoreUpdate(StoreUpdate { delta: None, ..update });
            self.peers.send(to, &Frame::WithSender { sender, message });
        }
    }

    fn fleet_changed(&mut self) {
        let serving = self.fleet.serving();
        self.changes.record(&serving);
        self.dispatcher.set_members(self.now(), serving, self.fleet.group_ids(), self.fleet.is_one_group());
        self.group_addresses = self.fleet.group();
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::StoreAnswered { delta, refused } => self.store_answered(now, &delta, &refused),
            Command::StoreFailed { reason } => self.store_failed(&reason),
            Command::CheckFinished { target, outcome } => {
                self.dispatcher.check_finished(now, target, outcome, &mut self.effects);
                self.execute_effects();
            }
            Command::PullFinished { from, outcome, elapsed } => self.pull_finished(now, from, &outcome, elapsed),
            Command::Handover { request, answer } => self.answer_handover(now, request, answer),
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

    /// Updates the readiness that the platform polls over HTTP, and logs changes.
    fn update_readiness(&mut self) {
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
        if self.dispatcher.may_tick(now) {
            self.dispatcher.tick(now, &mut self.effects);
            self.execute_effects();
        }
        if !self.dispatcher.directory().is_synced() {
            self.fetch_snapshot(now);
        }
        if now < self.fleet_tick_due(FLEET_TICK_PERIOD) {
            return;
        }
        self.last_fleet_tick = Some(now);
        let effects = self.fleet.tick(now, self.dispatcher.directory().revision());
        self.execute_fleet_effects(effects);
        self.invite_peers(now);
        self.log_changes(now);
        self.update_missing_revision(now);
        self.update_readiness();
        if now >= self.next_settings_check {
            self.next_settings_check = now + SETTINGS_CHECK_PERIOD;
            self.reload_settings(false);
        }
    }

    fn reload_settings(&mut self, signalled: bool) {
        let path = self.config.settings_path.clone();
        if let Some(settings) = self.settings_reloader.reload_if_changed(&path, signalled, &self.log) {
            self.config.platform.grace_period = settings.grace_period;
        }
    }

    /// Logs the services whose targets' speeds start or stop to act on placement.
    fn log_speed_changes(&mut self) {
        for change in self.dispatcher.take_speed_changes() {
            info!(self.log, "target speeds"; "service" => change.service, "active" => change.active,
                "targets" => change.targets, "fastest" => change.ratios.0, "slowest" => change.ratios.1,
                "samples" => change.samples, "age_ms" => millis(change.age));
        }
    }

    /// Sends the reports that are due to the peers, and logs changes of state and decisions.
    fn flush(&mut self) {
        let now = self.now();
        let report = self.dispatcher.take_report();
        if !report.is_empty() && !self.group_addresses.is_empty() {
            for part in report.parts() {
                self.peers.send(&self.group_addresses, &Frame::LoadReport(part));
            }
        }
        let report = self.dispatcher.take_flow_bindings(now);
        if !report.is_empty() {
            let recipients = self.fleet.binding_recipients(now, &self.group_addresses);
            self.peers.send(&recipients, &Frame::FlowBindings(report));
        }
        if let Some(report) = self.dispatcher.take_answer_times(now) {
            self.peers.send(&self.group_addresses, &Frame::AnswerTimes(report));
        }
        self.log_speed_changes();
        if let Some((round, report)) = self.dispatcher.take_capacity_report(now) {
            let recipients = recipients(&self.group_addresses, self.fleet.id(), round);
            self.peers.send(&recipients, &Frame::Capacity(report));
            if let Some(report) = self.dispatcher.overload_report(round) {
                self.peers.send(&self.fleet.other_domains(), &Frame::Capacity(report));
            }
        }
        let directory = self.dispatcher.directory();
        let age = self.fleet.watcher_role().age(now);
        let behind = self.fleet.behind_for(now);
        let state = StateSummary { revision: directory.revision(), version: directory.version(), age, behind };
        for change in self.dispatcher.take_reachability_changes() {
            self.decision_log.write_reachability(now, &change, state.revision);
        }
        for link in self.dispatcher.take_link_changes() {
            let state: &str = link.state.into();
            info!(self.log, "link"; "is" => state, "capacity_mbps" => link.capacity_mbps, "used_mbps" => link.used_mbps,
                "delay_ms" => link.delay_ms, "delay_age_ms" => link.delay_age_ms, "heavy_flows" => link.heavy_flows,
                "refused" => link.refused);
        }
        for change in self.dispatcher.take_contention_changes() {
            info!(self.log, "route contention"; "service" => change.service,
                "is" => if change.contended { "started" } else { "ended" },
                "use" => change.service_use.map(|it| it.to_string()).unwrap_or_default(),
                "revision" => state.revision, "age_ms" => u64::try_from(state.age.as_millis()).unwrap_or(u64::MAX));
        }
        for change in self.dispatcher.take_quota_changes() {
            info!(self.log, "slot quotas"; "service" => change.service, "in_force" => change.in_force,
                "quota" => change.quota, "slots" => change.slots, "idle_ms" => millis(change.idle),
                "own_percent" => format!("{:.1}", change.own_fraction * 100.0));
        }
        for decision in self.dispatcher.take_decisions() {
            self.decision_log.write(now, &decision, state);
        }
    }
}

/// Returns the dispatcher of an instance with the bounds of its settings.
fn new_dispatcher(config: &Config, id: InstanceId) -> Dispatcher {
    let platform = &config.platform;
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        id,
        domain: platform.failure_domain.clone(),
        evacuation_grace: platform.evacuation_bound.mul_f64(EVACUATION_GRACE_FRACTION),
        link_mbps: platform.link_mbps,
        mechanisms: config.mechanisms,
    });
    dispatcher.set_drain_bound(platform.drain_bound);
    dispatcher
}

/// Returns the wall-clock time since the Unix epoch. A clock before the epoch returns zero, which counts as one pause.
fn time_of_day() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Formats the messages sent to peers as their number and bytes by kind.
fn format_sent(counts: &PeerCounts) -> String {
    let kinds =
        FrameKind::iter().map(|kind| (kind.into(), counts.sent[kind as usize], counts.sent_bytes[kind as usize]));
    let kinds: Vec<String> =
        kinds.map(|(name, messages, bytes): (&str, _, _)| format!("{name}:{messages}:{bytes}")).collect();
    kinds.join(" ")
}

/// Formats up to [`MAX_LOGGED_INSTANCES`] instances by their IPv4 addresses, which are their ids.
fn format_instances(ids: &[InstanceId]) -> String {
    let addresses: Vec<String> =
        ids.iter().take(MAX_LOGGED_INSTANCES).map(|id| Ipv4Addr::from(*id).to_string()).collect();
    addresses.join(" ")
}
