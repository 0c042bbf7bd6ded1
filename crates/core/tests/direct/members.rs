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
use hawthornshift_core::direct::message::Frame;
use hawthornshift_core::direct::store_entries::Delta;
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
    StoreAnswered { to: usize, incarnation: u64 },
}

#[derive(Clone)]
struct Instance {
    fleet: Fleet,
    incarnation: u64,
    frozen_until: Timestamp,
    revision: Revision,
    /// When the instance reached that revision.
    reached_at: Timestamp,
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
            | Event::StoreAnswered { to, incarnation } => {
                self.deliver(to, incarnation, event);
            }
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
        self.instances[index] =
            Some(Instance { fleet, incarnation, frozen_until: Timestamp::ZERO, revision: 1, reached_at: self.now });
        self.schedule_after(Duration::ZERO, Event::Tick(index, incarnation));
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
            Event::HandoverReceived { from, .. } => return self.handover_received(index, from),
            Event::StoreAnswered { .. } => return self.store_answered(index),
            Event::Start(_) | Event::Tick(..) => {
                let effects = instance.fleet.tick(now, revision);
                self.schedule_after(TICK_PERIOD, Event::Tick(index, incarnation));
                if self.instances[index].as_ref().is_some_and(|instance| instance.fleet.watcher_role().is_watching()) {
                    self.schedule_after(EXCHANGE_DURATION, Event::StoreAnswered { to: index, incarnation });
                }
                effects
            }
        };
        self.carry_out(index, effects);
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

    fn handover_received(&mut self, index: usize, from: usize) {
        self.handover_counts[from] += 1;
        let frozen = |instance: &&Instance| instance.frozen_until <= self.now;
        if let Some(revision) = self.instances[from].as_ref().filter(frozen).map(|instance| instance.revision) {
            self.advance_to(index, revision);
        }
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
                    let Some(incarnation) = self.instances[from].as_ref().map(|instance| instance.incarnation) else {
                        continue;
                    };
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
