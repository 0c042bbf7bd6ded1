//! Instances in virtual time, with nothing but what they say to each other and a store that some of them watch.
//!
//! The harness plays datagrams with a delay and loss, links that are cut between failure domains, processes that stand
//! still, and handovers. Every choice comes from one seed.

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

/// One way between instances.
const DELAY: Duration = Duration::from_micros(1_400);
/// Time between two turns of an instance's timers.
pub const TICK: Duration = Duration::from_millis(50);
pub const DOMAINS: usize = 6;
const SEEDS: usize = 3;
/// Part of all datagrams that is lost.
const LOSS: f64 = 0.01;
/// Time that a handover takes, or an answer of the store.
const EXCHANGE: Duration = Duration::from_millis(6);

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
    Datagram { to: usize, life: u64, frame: Box<Frame> },
    Pulled { to: usize, life: u64, from: usize },
    StoreAnswered { to: usize, life: u64 },
}

#[derive(Clone)]
struct Instance {
    fleet: Fleet,
    life: u64,
    frozen_until: Timestamp,
    revision: Revision,
    /// When it got to that revision.
    reached: Timestamp,
}

/// The whole fleet.
#[derive(Clone)]
pub struct Members {
    pub now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    bodies: HashMap<u64, Event>,
    next: u64,
    rng: SmallRng,
    instances: Vec<Option<Instance>>,
    by_address: HashMap<SocketAddr, usize>,
    lives: u64,
    /// Pairs of failure domains that do not reach each other.
    pub cuts: Vec<(usize, usize)>,
    /// Bytes that each instance has sent.
    pub sent: Vec<u64>,
    pub largest: usize,
    store_revision: Revision,
    /// Instances that the store does not answer.
    pub refused_by_store: Vec<usize>,
    /// Handovers that each instance has been asked for.
    pub handed_over: Vec<u32>,
}

impl Members {
    /// A fleet that starts for the first time, everybody within 0.3 s.
    pub fn starting(seed: u64, count: usize) -> Self {
        let mut fleet = Self {
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            instances: (0..count).map(|_| None).collect(),
            by_address: (0..count).map(|index| (address(index), index)).collect(),
            lives: 0,
            cuts: Vec::new(),
            sent: vec![0; count],
            largest: 0,
            store_revision: 1,
            refused_by_store: Vec::new(),
            handed_over: vec![0; count],
        };
        fleet.start_all();
        fleet
    }

    /// A fleet that has run for some seconds.
    pub fn settled(seed: u64, count: usize) -> Self {
        let mut fleet = Self::starting(seed, count);
        fleet.run(Duration::from_secs(10));
        assert!(fleet.agrees(), "{count} instances after 10 s");
        fleet
    }

    pub fn start_all(&mut self) {
        for index in 0..self.instances.len() {
            let wait = ms(self.rng.random_range(0..300));
            self.after(wait, Event::Start(index));
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + wait, self.next)));
        self.bodies.insert(self.next, event);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((time, number))) = self.events.peek().copied().filter(|Reverse((time, _))| *time <= end)
        {
            self.events.pop();
            self.now = time;
            let event = self.bodies.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the time until all instances that are up agree on who is, looked at every 50 ms.
    pub fn time_to_agree(&mut self, limit: Duration) -> Option<Duration> {
        let begun = self.now;
        while self.now.saturating_sub(begun) < limit {
            self.run(TICK);
            if self.agrees() {
                return Some(self.now.saturating_sub(begun));
            }
        }
        None
    }

    /// Returns how many instances each one that is up believes to serve.
    pub fn counts(&self) -> Vec<usize> {
        self.instances.iter().flatten().map(|instance| instance.fleet.serving().len()).collect()
    }

    pub fn agrees(&self) -> bool {
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

    /// Stops a process for a while; what it is sent meanwhile waits for it.
    pub fn freeze(&mut self, index: usize, span: Duration) {
        let until = self.now + span;
        if let Some(instance) = &mut self.instances[index] {
            instance.frozen_until = until;
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from % DOMAINS, to % DOMAINS);
        !self.cuts.iter().any(|cut| *cut == (from, to) || *cut == (to, from))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => self.start(index),
            Event::Tick(index, life) => self.wake(index, life, event),
            Event::Datagram { to, life, .. } | Event::Pulled { to, life, .. } | Event::StoreAnswered { to, life } => {
                self.wake(to, life, event);
            }
        }
    }

    pub fn start(&mut self, index: usize) {
        self.lives += 1;
        let control = address(index);
        let failure_domain = format!("domain-{}", index % DOMAINS);
        let identity = Identity { id: id(index), incarnation: self.lives, failure_domain, control, forward: control };
        let seeds: Vec<SocketAddr> = (0..SEEDS).filter(|seed| *seed != index).map(address).collect();
        let fleet = Fleet::new(self.now, identity, &seeds);
        let life = self.lives;
        self.instances[index] =
            Some(Instance { fleet, life, frozen_until: Timestamp::ZERO, revision: 1, reached: self.now });
        self.after(Duration::ZERO, Event::Tick(index, life));
    }

    /// Hands an event to an instance, later if it is frozen.
    fn wake(&mut self, index: usize, life: u64, event: Event) {
        let now = self.now;
        let Some(instance) = self.instances[index].as_mut().filter(|instance| instance.life == life) else { return };
        if now < instance.frozen_until {
            let wait = instance.frozen_until.saturating_sub(now);
            self.after(wait, event);
            return;
        }
        let revision = instance.revision;
        let effects = match event {
            Event::Datagram { frame, .. } => instance.fleet.frame(now, *frame, revision),
            Event::Pulled { from, .. } => return self.pulled(index, from),
            Event::StoreAnswered { .. } => return self.store_answered(index),
            Event::Start(_) | Event::Tick(..) => {
                let effects = instance.fleet.tick(now, revision);
                self.after(TICK, Event::Tick(index, life));
                if self.instances[index].as_ref().is_some_and(|instance| instance.fleet.watcher_role().is_watching()) {
                    self.after(EXCHANGE, Event::StoreAnswered { to: index, life });
                }
                effects
            }
        };
        self.carry_out(index, effects);
    }

    /// Has the store change, with news that fits a datagram or not; those who watch hear of it after a moment.
    pub fn publish(&mut self, fits: bool) {
        let since = self.store_revision;
        self.store_revision += 1;
        self.run(EXCHANGE);
        let delta = Delta { since, revision: self.store_revision, is_snapshot: false, entries: Vec::new() };
        for index in 0..self.instances.len() {
            let refused = self.refused_by_store.contains(&index);
            let watches =
                |instance: &Instance| instance.fleet.watcher_role().is_watching() && instance.frozen_until <= self.now;
            if refused || !self.instances[index].as_ref().is_some_and(watches) {
                continue;
            }
            self.reach(index, self.store_revision);
            let (now, revision) = (self.now, self.store_revision);
            let told = fits.then(|| Arc::new(delta.clone()));
            let instance = self.instances[index].as_mut().unwrap();
            instance.fleet.watcher_role_mut().answered(now);
            let effects = instance.fleet.push(now, revision, told);
            self.carry_out(index, effects);
        }
    }

    /// Returns how long after a time each instance that is up and not frozen knew the store's revision, the slowest last.
    pub fn times_to_know(&self, since: Timestamp) -> Vec<Option<Duration>> {
        let up = self.instances.iter().flatten().filter(|instance| instance.frozen_until <= self.now);
        let knows = |instance: &Instance| instance.revision >= self.store_revision;
        let mut times: Vec<Option<Duration>> =
            up.map(|instance| knows(instance).then(|| instance.reached.saturating_sub(since))).collect();
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        times
    }

    /// Returns who watches the store.
    pub fn watching(&self) -> Vec<usize> {
        let watches = |index: &usize| {
            self.instances[*index].as_ref().is_some_and(|instance| instance.fleet.watcher_role().is_watching())
        };
        (0..self.instances.len()).filter(watches).collect()
    }

    fn reach(&mut self, index: usize, revision: Revision) {
        let now = self.now;
        if let Some(instance) = self.instances[index].as_mut().filter(|instance| instance.revision < revision) {
            instance.revision = revision;
            instance.reached = now;
        }
    }

    fn store_answered(&mut self, index: usize) {
        if self.refused_by_store.contains(&index) {
            return;
        }
        self.reach(index, self.store_revision);
        let now = self.now;
        if let Some(instance) = &mut self.instances[index] {
            instance.fleet.watcher_role_mut().answered(now);
        }
    }

    fn pulled(&mut self, index: usize, from: usize) {
        self.handed_over[from] += 1;
        let frozen = |instance: &&Instance| instance.frozen_until <= self.now;
        if let Some(revision) = self.instances[from].as_ref().filter(frozen).map(|instance| instance.revision) {
            self.reach(index, revision);
        }
    }

    fn carry_out(&mut self, from: usize, effects: Vec<FleetEffect>) {
        for effect in effects {
            match effect {
                FleetEffect::Send(to, frame) => self.send(from, &to, &frame),
                FleetEffect::ApplyDelta(delta) => {
                    let knows = self.instances[from].as_ref().is_some_and(|known| known.revision >= delta.since);
                    if knows {
                        self.reach(from, delta.revision);
                    }
                }
                FleetEffect::Pull(address) => {
                    let Some(life) = self.instances[from].as_ref().map(|instance| instance.life) else { continue };
                    self.after(EXCHANGE, Event::Pulled { to: from, life, from: self.by_address[&address] });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], frame: &Frame) {
        let bytes = postcard::to_stdvec(frame).unwrap().len() + 1;
        self.largest = self.largest.max(bytes);
        for address in to {
            self.sent[from] += bytes as u64;
            self.datagram(from, self.by_address[address], frame);
        }
    }

    fn datagram(&mut self, from: usize, to: usize, frame: &Frame) {
        let Some(life) = self.instances[to].as_ref().map(|instance| instance.life) else { return };
        if self.reaches(from, to) && !self.rng.random_bool(LOSS) {
            self.after(DELAY, Event::Datagram { to, life, frame: Box::new(frame.clone()) });
        }
    }
}
