//! Simulates the membership protocol and the store watcher in virtual time, without flows or targets.
//!
//! The harness simulates datagrams with delay and loss, partitions between failure domains, frozen processes, and
//! handovers. All random choices come from one seed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fleet::ms;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::fleet::instance_id;
use hawthornshift_core::direct::lifecycle::bootstrap::Bootstrap;
use hawthornshift_core::direct::lifecycle::bootstrap::Sources;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::membership::Identity;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// One-way delay between instances.
const DATAGRAM_DELAY: Duration = Duration::from_micros(1_400);
/// Period of each instance's timers.
pub const TICK_PERIOD: Duration = Duration::from_millis(50);
pub const DOMAINS: usize = 6;
/// Number of seed instances: those with the lowest indices.
const SEED_COUNT: usize = 3;
/// Share of datagrams that are lost.
const LOSS_RATE: f64 = 0.01;
/// Time that a handover takes, or a response of the store.
const EXCHANGE_DURATION: Duration = Duration::from_millis(6);

/// Time after which a pull from an instance that does not answer fails.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which an instance without state checks whether to ask a peer or read the store.
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Maximum number of peers that an instance hands its state over to at a time.
const MAX_HANDOVERS: usize = 3;
/// Size of the state of 6,000 targets, as handed over and as read from the store, in Mbit.
const HANDOVER_MBIT: f64 = 1.4;
const STORE_READ_MBIT: f64 = 20.0;
/// Time that one full read occupies the store's link of 1,000 Mbit/s.
const STORE_READ_SHARE: Duration = Duration::from_millis(20);

/// Bandwidth of an instance's link: one of sixteen is fast.
fn link_mbps(index: usize) -> f64 {
    if index.is_multiple_of(16) { 200.0 } else { 20.0 }
}

/// Time in which an instance's link carries `mbit`, of which it can use nine tenths.
fn transfer_time(index: usize, mbit: f64) -> Duration {
    Duration::from_secs_f64(mbit / (0.9 * link_mbps(index)))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, u8::try_from(index / 200).unwrap(), u8::try_from(index % 200 + 1).unwrap()], 7_000))
}

pub fn id(index: usize) -> InstanceId {
    instance_id(address(index))
}

#[derive(Clone)]
enum Event {
    Start(usize),
    Tick(usize, u64),
    Datagram { to: usize, incarnation: u64, frame: Box<Frame> },
    HandoverReceived { to: usize, incarnation: u64, from: usize },
    PullTimedOut { to: usize, incarnation: u64, from: usize },
    StoreAnswered { to: usize, incarnation: u64 },
    Poll { to: usize, incarnation: u64 },
    StoreRead { to: usize, incarnation: u64 },
    HandoverRequested { to: usize, by: usize, incarnation: u64 },
    HandoverSent { from: usize, to: usize, incarnation: u64 },
}

#[derive(Clone)]
struct Instance {
    fleet: Fleet,
    incarnation: u64,
    frozen_until: Timestamp,
    revision: Revision,
    /// When the instance reached that revision.
    reached_at: Timestamp,
    started_at: Timestamp,
    /// Schedule of the requests for its state, for an instance that starts without any.
    bootstrap: Bootstrap,
    is_pulling: bool,
    /// Number of peers that receive its state now.
    handovers: usize,
}

/// The simulated fleet.
#[derive(Clone)]
pub struct Members {
    pub now: Timestamp,
    event_queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pending_events: HashMap<u64, Event>,
    last_event_id: u64,
    rng: SmallRng,
    instances: Vec<Option<Instance>>,
    by_address: HashMap<SocketAddr, usize>,
    last_incarnation: u64,
    /// Pairs of failure domains that do not reach each other.
    pub partitions: Vec<(usize, usize)>,
    /// Bytes that each instance has sent.
    pub sent_bytes: Vec<u64>,
    /// Size in bytes of the largest frame that was sent.
    pub largest_frame_bytes: usize,
    store_revision: Revision,
    /// Instances whose calls the store does not answer.
    pub unanswered_by_store: Vec<usize>,
    /// Number of handovers that each instance was asked for.
    pub handover_counts: Vec<u32>,
    /// Whether instances that start have no state and fetch it from peers or from the store.
    pub start_without_state: bool,
    /// Number of instances that have begun to read the whole store.
    pub store_reads: usize,
    /// Number of those that have not finished.
    current_store_reads: u32,
}

impl Members {
    /// Returns a fleet that starts for the first time, all instances within 0.3 s.
    pub fn starting(seed: u64, count: usize) -> Self {
        let mut fleet = Self {
            now: Timestamp::ZERO,
            event_queue: BinaryHeap::new(),
            pending_events: HashMap::new(),
            last_event_id: 0,
            rng: SmallRng::seed_from_u64(seed),
            instances: (0..count).map(|_| None).collect(),
            by_address: (0..count).map(|index| (address(index), index)).collect(),
            last_incarnation: 0,
            partitions: Vec::new(),
            sent_bytes: vec![0; count],
            largest_frame_bytes: 0,
            store_revision: 1,
            unanswered_by_store: Vec::new(),
            handover_counts: vec![0; count],
            start_without_state: false,
            store_reads: 0,
            current_store_reads: 0,
        };
        fleet.start_all();
        fleet
    }

    /// Returns a fleet that has run for 10 s and whose instances agree on who is running.
    pub fn settled(seed: u64, count: usize) -> Self {
        let mut fleet = Self::starting(seed, count);
        fleet.run(Duration::from_secs(10));
        assert!(fleet.views_agree(), "{count} instances after 10 s");
        fleet
    }

    pub fn start_all(&mut self) {
        for index in 0..self.instances.len() {
            let wait = ms(self.rng.random_range(0..300));
            self.schedule_after(wait, Event::Start(index));
        }
    }

    /// Kills all instances and starts them again within 60 ms, without any state.
    pub fn lose_power(&mut self) {
        self.start_without_state = true;
        for index in 0..self.instances.len() {
            self.kill(index);
            let wait = ms(1_000 + self.rng.random_range(0..60));
            self.schedule_after(wait, Event::Start(index));
        }
    }

    /// Returns how long each running instance took from its start to its first state, in ascending order; `None` for one
    /// without any.
    pub fn times_to_state(&self) -> Vec<Option<Duration>> {
        let up = self.instances.iter().flatten();
        let mut times: Vec<Option<Duration>> =
            up.map(|it| (it.revision > 0).then(|| it.reached_at.saturating_sub(it.started_at))).collect();
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        times
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.last_event_id += 1;
        self.event_queue.push(Reverse((self.now + wait, self.last_event_id)));
        self.pending_events.insert(self.last_event_id, event);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((time, number))) =
            self.event_queue.peek().copied().filter(|Reverse((time, _))| *time <= end)
        {
            self.event_queue.pop();
            self.now = time;
            let event = self.pending_events.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the time until all running instances agree on which instances are running, checked every 50 ms; `None`
    /// if that takes longer than `limit`.
    pub fn time_to_agree(&mut self, limit: Duration) -> Option<Duration> {
        let started_at = self.now;
        while self.now.saturating_sub(started_at) < limit {
            self.run(TICK_PERIOD);
            if self.views_agree() {
                return Some(self.now.saturating_sub(started_at));
            }
        }
        None
    }

    /// Returns the number of serving instances in the view of each running instance.
    pub fn serving_counts(&self) -> Vec<usize> {
        self.instances.iter().flatten().map(|instance| instance.fleet.serving().len()).collect()
    }

    pub fn views_agree(&self) -> bool {
        let up: Vec<InstanceId> = (0..self.instances.len()).filter(|i| self.instances[*i].is_some()).map(id).collect();
        self.instances.iter().flatten().all(|instance| {
            let mut serving = instance.fleet.serving();
            serving.sort_unstable();
            serving == up
        })
    }

    pub fn kill(&mut self, index: usize) {
        self.instances[index] = None;
    }

    /// Freezes a process for a time; events for it are delivered afterwards.
    pub fn freeze(&mut self, index: usize, span: Duration) {
        let until = self.now + span;
        if let Some(instance) = &mut self.instances[index] {
            instance.frozen_until = until;
        }
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from % DOMAINS, to % DOMAINS);
        !self.partitions.iter().any(|pair| *pair == (from, to) || *pair == (to, from))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => self.start(index),
            Event::Tick(index, incarnation) => self.deliver(index, incarnation, event),
            Event::Datagram { to, incarnation, .. }
            | Event::HandoverReceived { to, incarnation, .. }
            | Event::PullTimedOut { to, incarnation, .. }
            | Event::StoreAnswered { to, incarnation }
            | Event::Poll { to, incarnation }
            | Event::StoreRead { to, incarnation } => {
                self.deliver(to, incarnation, event);
            }
            Event::HandoverRequested { to, by, incarnation } => self.handover_requested(to, by, incarnation),
            Event::HandoverSent { from, to, incarnation } => self.handover_sent(from, to, incarnation),
        }
    }

    pub fn start(&mut self, index: usize) {
        self.last_incarnation += 1;
        let control = address(index);
        let failure_domain = format!("domain-{}", index % DOMAINS);
        let identity =
            Identity { id: id(index), incarnation: self.last_incarnation, failure_domain, control, forward: control };
        let seeds: Vec<SocketAddr> = (0..SEED_COUNT).filter(|seed| *seed != index).map(address).collect();
        let fleet = Fleet::new(self.now, identity, &seeds);
        let incarnation = self.last_incarnation;
        let bootstrap = Bootstrap::new(false, link_mbps(index), self.rng.random_range(0.0..1.0));
        self.instances[index] = Some(Instance {
            fleet,
            incarnation,
            frozen_until: Timestamp::ZERO,
            revision: u64::from(!self.start_without_state),
            reached_at: self.now,
            started_at: self.now,
            bootstrap,
            is_pulling: false,
            handovers: 0,
        });
        self.schedule_after(Duration::ZERO, Event::Tick(index, incarnation));
        self.schedule_after(Duration::ZERO, Event::Poll { to: index, incarnation });
    }

    /// Delivers an event to an instance, after the freeze if it is frozen.
    fn deliver(&mut self, index: usize, incarnation: u64, event: Event) {
        let now = self.now;
        let Some(instance) = self.instances[index].as_mut().filter(|instance| instance.incarnation == incarnation)
        else {
            return;
        };
        if now < instance.frozen_until {
            let wait = instance.frozen_until.saturating_sub(now);
            self.schedule_after(wait, event);
            return;
        }
        let revision = instance.revision;
        let effects = match event {
            Event::Datagram { frame, .. } => instance.fleet.handle_datagram(now, *frame, revision),
            Event::HandoverReceived { from, .. } => return self.handover_received(index, incarnation, from),
            Event::PullTimedOut { from, .. } => {
                instance.fleet.pull_finished(address(from));
                return;
            }
            Event::StoreAnswered { .. } => return self.store_answered(index),
            Event::Poll { .. } => return self.poll_bootstrap(index, incarnation),
            Event::StoreRead { .. } => return self.store_read(index),
            Event::HandoverRequested { .. } | Event::HandoverSent { .. } => return,
            Event::Start(_) | Event::Tick(..) => {
                let mut effects = instance.fleet.tick(now, revision);
                effects.extend(instance.fleet.invite(now, revision, MAX_HANDOVERS - instance.handovers));
                self.schedule_after(TICK_PERIOD, Event::Tick(index, incarnation));
                let is_watching =
                    |instance: &Instance| instance.revision > 0 && instance.fleet.watcher_role().is_watching();
                if self.instances[index].as_ref().is_some_and(is_watching) {
                    self.schedule_after(EXCHANGE_DURATION, Event::StoreAnswered { to: index, incarnation });
                }
                effects
            }
        };
        self.carry_out(index, effects);
    }

    /// Lets an instance without state ask a peer or read the store, if that is due.
    fn poll_bootstrap(&mut self, index: usize, incarnation: u64) {
        let now = self.now;
        let Some(instance) = self.instances[index].as_mut().filter(|instance| instance.revision == 0) else { return };
        if now >= instance.fleet.next_due() {
            let effects = instance.fleet.tick(now, 0);
            self.carry_out(index, effects);
        }
        let Some(instance) = self.instances[index].as_mut() else { return };
        let Instance { fleet, bootstrap, .. } = instance;
        let since_start = self.now.saturating_sub(instance.started_at);
        if !instance.is_pulling && bootstrap.is_ask_due(since_start) {
            let (up_to_date, others) = (fleet.up_to_date_peers(), fleet.reachable());
            let sources = Sources { up_to_date: &up_to_date, announced: fleet.announced_by(), others: &others };
            if let Some(peer) = bootstrap.ask(since_start, &sources, &mut self.rng) {
                instance.is_pulling = true;
                let to = self.by_address[&peer];
                self.schedule_after(DATAGRAM_DELAY * 3, Event::HandoverRequested { to, by: index, incarnation });
            }
        }
        let Some(instance) = self.instances[index].as_mut() else { return };
        if instance.bootstrap.should_read_store(since_start, &instance.fleet.discovery(), instance.fleet.watcher_role())
        {
            instance.fleet.watcher_role_mut().start(self.now);
            self.store_reads += 1;
            self.current_store_reads += 1;
            let took = (STORE_READ_SHARE * self.current_store_reads).max(transfer_time(index, STORE_READ_MBIT));
            self.schedule_after(took, Event::StoreRead { to: index, incarnation });
        }
        self.schedule_after(POLL_PERIOD, Event::Poll { to: index, incarnation });
    }

    fn store_read(&mut self, index: usize) {
        self.current_store_reads -= 1;
        if let Some(instance) = &mut self.instances[index] {
            instance.fleet.watcher_role_mut().record_store_answer(self.now);
        }
        self.obtain_state(index);
    }

    /// Gives an instance the store's revision; it then invites its peers.
    fn obtain_state(&mut self, index: usize) {
        self.advance_to(index, self.store_revision);
        let now = self.now;
        let Some(instance) = &mut self.instances[index] else { return };
        let effects = instance.fleet.invite(now, instance.revision, MAX_HANDOVERS - instance.handovers);
        self.carry_out(index, effects);
    }

    fn handover_requested(&mut self, to: usize, by: usize, incarnation: u64) {
        let sender = self.instances[to].as_mut().filter(|sender| sender.revision > 0);
        let Some(sender) = sender.filter(|sender| sender.handovers < MAX_HANDOVERS) else {
            let now = self.now;
            let requester = self.instances[by].as_mut().filter(|requester| requester.incarnation == incarnation);
            if let Some(requester) = requester {
                requester.is_pulling = false;
                requester.bootstrap.handle_refusal(now.saturating_sub(requester.started_at), 0.5);
            }
            return;
        };
        sender.handovers += 1;
        let slower = transfer_time(to, HANDOVER_MBIT).max(transfer_time(by, HANDOVER_MBIT));
        let took = slower * u32::try_from(sender.handovers).unwrap();
        self.schedule_after(took, Event::HandoverSent { from: to, to: by, incarnation });
    }

    fn handover_sent(&mut self, from: usize, to: usize, incarnation: u64) {
        if let Some(sender) = &mut self.instances[from] {
            sender.handovers = sender.handovers.saturating_sub(1);
        }
        if self.instances[to].as_ref().is_some_and(|instance| instance.incarnation == incarnation) {
            self.obtain_state(to);
        }
    }

    /// Publishes a store update, as a delta if it fits a datagram and otherwise as a bare announcement; watchers
    /// receive it after one exchange.
    pub fn publish(&mut self, fits_datagram: bool) {
        let since = self.store_revision;
        self.store_revision += 1;
        self.run(EXCHANGE_DURATION);
        let delta = Delta { since, revision: self.store_revision, is_snapshot: false, entries: Vec::new() };
        for index in 0..self.instances.len() {
            let unanswered = self.unanswered_by_store.contains(&index);
            let is_watcher =
                |instance: &Instance| instance.fleet.watcher_role().is_watching() && instance.frozen_until <= self.now;
            if unanswered || !self.instances[index].as_ref().is_some_and(is_watcher) {
                continue;
            }
            self.advance_to(index, self.store_revision);
            let (now, revision) = (self.now, self.store_revision);
            let sent_delta = fits_datagram.then(|| Arc::new(delta.clone()));
            let instance = self.instances[index].as_mut().unwrap();
            instance.fleet.watcher_role_mut().record_store_answer(now);
            let effects = instance.fleet.publish_delta(now, revision, sent_delta);
            self.carry_out(index, effects);
        }
    }

    /// Runs a tick of each running instance, and returns when the next one is due.
    pub fn tick_all(&mut self) -> Vec<Timestamp> {
        let now = self.now;
        let mut dues = Vec::new();
        for index in 0..self.instances.len() {
            let Some(instance) = &mut self.instances[index] else { continue };
            let effects = instance.fleet.tick(now, instance.revision);
            dues.push(instance.fleet.next_due());
            self.carry_out(index, effects);
        }
        dues
    }

    /// Returns the time after `since` at which each running, unfrozen instance reached the store's revision, in
    /// ascending order; `None` for one that has not reached it.
    pub fn times_to_revision(&self, since: Timestamp) -> Vec<Option<Duration>> {
        let up = self.instances.iter().flatten().filter(|instance| instance.frozen_until <= self.now);
        let has_revision = |instance: &Instance| instance.revision >= self.store_revision;
        let mut times: Vec<Option<Duration>> =
            up.map(|instance| has_revision(instance).then(|| instance.reached_at.saturating_sub(since))).collect();
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        times
    }

    /// Returns the instances that watch the store.
    pub fn watchers(&self) -> Vec<usize> {
        let is_watcher = |index: &usize| {
            self.instances[*index].as_ref().is_some_and(|instance| instance.fleet.watcher_role().is_watching())
        };
        (0..self.instances.len()).filter(is_watcher).collect()
    }

    fn advance_to(&mut self, index: usize, revision: Revision) {
        let now = self.now;
        if let Some(instance) = self.instances[index].as_mut().filter(|instance| instance.revision < revision) {
            instance.revision = revision;
            instance.reached_at = now;
        }
    }

    fn store_answered(&mut self, index: usize) {
        if self.unanswered_by_store.contains(&index) {
            return;
        }
        self.advance_to(index, self.store_revision);
        let now = self.now;
        if let Some(instance) = &mut self.instances[index] {
            instance.fleet.watcher_role_mut().record_store_answer(now);
        }
    }

    fn handover_received(&mut self, index: usize, incarnation: u64, from: usize) {
        self.handover_counts[from] += 1;
        let answers = |instance: &&Instance| instance.frozen_until <= self.now;
        let Some(revision) = self.instances[from].as_ref().filter(answers).map(|instance| instance.revision) else {
            self.schedule_after(PULL_TIMEOUT, Event::PullTimedOut { to: index, incarnation, from });
            return;
        };
        if let Some(instance) = &mut self.instances[index] {
            instance.fleet.pull_finished(address(from));
        }
        self.advance_to(index, revision);
    }

    fn carry_out(&mut self, from: usize, effects: Vec<FleetEffect>) {
        for effect in effects {
            match effect {
                FleetEffect::Send(to, frame) => self.send(from, &to, &frame),
                FleetEffect::ApplyDelta(delta) => {
                    let has_revision = self.instances[from].as_ref().is_some_and(|known| known.revision >= delta.since);
                    if has_revision {
                        self.advance_to(from, delta.revision);
                    }
                }
                FleetEffect::Pull(address) => {
                    let now = self.now;
                    let Some(instance) = self.instances[from].as_mut() else { continue };
                    instance.fleet.pull_started(now, address);
                    let incarnation = instance.incarnation;
                    self.schedule_after(
                        EXCHANGE_DURATION,
                        Event::HandoverReceived { to: from, incarnation, from: self.by_address[&address] },
                    );
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], frame: &Frame) {
        let bytes = postcard::to_stdvec(frame).unwrap().len() + 1;
        self.largest_frame_bytes = self.largest_frame_bytes.max(bytes);
        for address in to {
            self.sent_bytes[from] += bytes as u64;
            self.datagram(from, self.by_address[address], frame);
        }
    }

    fn datagram(&mut self, from: usize, to: usize, frame: &Frame) {
        let Some(incarnation) = self.instances[to].as_ref().map(|instance| instance.incarnation) else { return };
        if self.is_connected(from, to) && !self.rng.random_bool(LOSS_RATE) {
            self.schedule_after(DATAGRAM_DELAY, Event::Datagram { to, incarnation, frame: Box::new(frame.clone()) });
        }
    }
}
