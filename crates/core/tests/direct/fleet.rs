//! Instances, targets and callers on the direct path, in virtual time.
//!
//! The harness plays the fabric (a remainder of a hash picks the instance, among those that are up), the targets (slots,
//! a short queue, silent death, slowness) and the callers (copies of a SYN after 200 ms and 600 ms, an end of the attempt
//! after 1.4 s, two retries). Every choice comes from one seed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Decision;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::directory::cookie;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::dispatcher::Packet;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::fleet::instance_id;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::message::Frame;
use hawthornshift_core::direct::message::Handover;
use hawthornshift_core::direct::reachability::CHECK_LIMIT;
use hawthornshift_core::direct::reachability::CheckOutcome;
use hawthornshift_core::direct::readiness::Readiness;
use hawthornshift_core::direct::segment::Cookie;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_core::direct::store_entries::RequestKind;
use hawthornshift_core::direct::store_entries::Route;
use hawthornshift_core::direct::store_entries::Routing;
use hawthornshift_core::direct::store_entries::ServiceSpec;
use hawthornshift_core::direct::store_entries::Share;
use hawthornshift_core::direct::store_entries::StoreEntry;
use hawthornshift_core::direct::store_entries::TargetSpec;
use hawthornshift_core::direct::store_entries::VersionedEntry;
use hawthornshift_core::membership::Identity;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

pub const SERVICE: &str = "orders";
pub const DOMAINS: usize = 4;
/// One way between callers and the rest.
const TO_CALLER: Duration = Duration::from_millis(3);
/// One way between instances and targets, and between instances.
const INSIDE: Duration = Duration::from_micros(900);
const TARGET_QUEUE: usize = 8;
/// Time after which a full target says that it has not run a request.
const SHED_AFTER: Duration = Duration::from_millis(90);
const RETRIES: u32 = 2;
/// What a caller has received when it sends the first request of a flow, and what an answer brings.
const FIRST_RECEIVED: u32 = 100;
const ANSWER_BYTES: u32 = 2_000;
pub const OBJECTIVE: Duration = Duration::from_millis(150);
const TIMEOUT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
/// Time from the end of an instance that is restarted to its start.
const RESTART: Duration = Duration::from_millis(400);
/// Time between two questions of the fabric whether an instance is ready; two misses take it out of rotation.
const PROBE: Duration = Duration::from_millis(500);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

pub fn target_id(index: usize) -> TargetId {
    0xA000 + index as u64
}

pub fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

pub fn target_facts(index: usize, cold_for: Duration) -> TargetSpec {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 9, high, low), 8_000);
    let (service, failure_domain) = (SERVICE.to_owned(), domain(index));
    TargetSpec { service, address, failure_domain, slots: 2, draining: false, cold_for, started_at_ms: 0 }
}

pub fn routing() -> Routing {
    let share = Share { service: SERVICE.to_owned(), weight: 1 };
    let route = Route {
        address: service_address(),
        shares: vec![share],
        kind: RequestKind::Unsafe,
        timeout: TIMEOUT,
        latency_objective: OBJECTIVE,
        priority: 1,
    };
    let service = ServiceSpec { name: SERVICE.to_owned(), cold_time: Duration::from_secs(2) };
    Routing { version: 1, routes: vec![route], services: vec![service], idle_timeout: Duration::from_secs(15) }
}

/// A whole picture with so many targets.
pub fn whole(targets: usize) -> Delta {
    let mut facts: Vec<VersionedEntry> = (0..targets)
        .map(|index| StoreEntry::Target(target_id(index), Some(target_facts(index, Duration::ZERO))))
        .map(|fact| VersionedEntry { revision: 10, entry: fact })
        .collect();
    facts.push(VersionedEntry { revision: 11, entry: StoreEntry::Routing(routing()) });
    Delta { since: 0, revision: 11, is_snapshot: true, entries: facts }
}

fn instance_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, u8::try_from(index / 200).unwrap(), u8::try_from(index % 200 + 1).unwrap()], 7_000))
}

struct Instance {
    dispatcher: Dispatcher,
    fleet: Fleet,
    group: Vec<SocketAddr>,
    /// Tells its life from earlier ones: events for those are void.
    life: u64,
}

#[derive(Clone, Debug)]
struct Work {
    request: usize,
    flow: FlowId,
    /// Whether it is never answered.
    hangs: bool,
}

/// What a target does with a request that its queue does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WhenFull {
    /// It drops the request.
    Silent,
    /// It says that it has not run the request, and the caller tries again.
    Refuse,
}

#[derive(Debug)]
pub struct SimTarget {
    pub alive: bool,
    /// Times that a request takes longer than usual.
    pub slow: f64,
    /// Part of its requests that it answers at once with a failure, without running them.
    pub fails: f64,
    /// Part of its requests that it takes and never answers. Each holds its slot until its caller gives up.
    pub hangs: f64,
    busy: usize,
    queue: VecDeque<Work>,
    /// Flows with a SYN or a request, and the request taken last.
    flows: BTreeMap<FlowId, Option<usize>>,
    /// Times of SYNs, for cold budgets.
    pub opened: Vec<Timestamp>,
}

impl Default for SimTarget {
    fn default() -> Self {
        Self {
            alive: true,
            slow: 1.0,
            fails: 0.0,
            hangs: 0.0,
            busy: 0,
            queue: VecDeque::new(),
            flows: BTreeMap::new(),
            opened: Vec::new(),
        }
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub asked: Timestamp,
    pub answered: Option<Timestamp>,
    pub runs: u32,
    tries: u32,
    flow: FlowId,
    /// Target whose answer to the SYN came first, with the cookie that it repeated.
    opened: Option<(TargetId, Cookie)>,
    attempt: u32,
    /// The caller's number among those that keep their flows open.
    user: Option<usize>,
    /// What the caller had received on the flow before.
    received: u32,
    pub resets: u32,
    pub failed: bool,
    /// Tries that a full target has refused.
    pub shed: u32,
    /// Whether a target has taken it and will never answer.
    pub hung: bool,
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Ask,
    Syn(usize, u32, u32),
    AttemptEnds(usize, u32),
    AtInstance(usize, Segment),
    AtTarget(TargetId, Segment),
    Opened(usize, FlowId, TargetId),
    Done(TargetId, Work),
    Answered(usize, FlowId),
    Failed(usize, FlowId),
    Shed(usize, FlowId),
    Reset(usize, FlowId),
    Peer(usize, u64, Box<Frame>),
    Pulled(usize, u64, Box<Handover>),
    Learned(usize, u64),
    Start(usize),
    Probe,
    Checked(usize, u64, TargetId, CheckOutcome),
    Data(usize, u32),
    Deadline(usize),
}

/// A caller's flow that is open and has no request.
#[derive(Clone, Copy, Debug)]
struct KeptFlow {
    flow: FlowId,
    opened: (TargetId, Cookie),
    received: u32,
}

/// The whole world.
pub struct Sim {
    pub now: Timestamp,
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    bodies: BTreeMap<u64, Event>,
    next: u64,
    pub rng: SmallRng,
    instances: Vec<Option<Instance>>,
    life: u64,
    pub targets: BTreeMap<TargetId, SimTarget>,
    pub requests: Vec<Request>,
    by_flow: BTreeMap<FlowId, usize>,
    next_port: u32,
    pub per_second: f64,
    pub work: Duration,
    pub picture: Delta,
    seeds: Vec<SocketAddr>,
    /// SYNs sent to a second target.
    pub again: u64,
    /// Whether instances hear each other's word on open work.
    pub told: bool,
    /// Load reports sent, one an addressee.
    pub reports: usize,
    /// Failure domain that is cut off from the others, callers excepted.
    pub cut: Option<usize>,
    /// Failure domains that were cut off at some time.
    was_cut: bool,
    /// An instance whose link to targets is full, and how long packets wait there.
    pub choked: Option<(usize, Duration)>,
    /// Whether requests may be repeated.
    pub safe: bool,
    /// What a target with a full queue does.
    pub when_full: WhenFull,
    /// The route's latency objective, and the time after which a caller gives up.
    objective: Duration,
    timeout: Duration,
    /// Flows that callers keep open between requests, if they do.
    users: Vec<Option<KeptFlow>>,
    /// Checks of targets.
    pub checks: usize,
    /// What instances that start have switched off.
    pub mechanisms: Mechanisms,
    /// Probes of its readiness that each instance has missed in a row; `None` while the fabric asks nobody and callers
    /// reach all instances that are up.
    probes_missed: Option<Vec<u32>>,
    /// All packets sent, by the numbers that stand for their bytes.
    segments: Vec<Segment>,
    current: Box<[u8]>,
    /// Decisions about each flow, with the instance that made them.
    trace: BTreeMap<FlowId, Vec<(Timestamp, usize, Decision)>>,
}

impl Sim {
    pub fn new(seed: u64, instances: usize, targets: usize, per_second: f64) -> Self {
        let mut sim = Self {
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(seed),
            instances: (0..instances).map(|_| None).collect(),
            life: 0,
            targets: (0..targets).map(|index| (target_id(index), SimTarget::default())).collect(),
            requests: Vec::new(),
            by_flow: BTreeMap::new(),
            next_port: 0,
            per_second,
            work: ms(33),
            picture: whole(targets),
            seeds: (0..3.min(instances)).map(instance_address).collect(),
            again: 0,
            told: true,
            reports: 0,
            cut: None,
            was_cut: false,
            choked: None,
            safe: false,
            when_full: WhenFull::Silent,
            objective: OBJECTIVE,
            timeout: TIMEOUT,
            users: Vec::new(),
            checks: 0,
            mechanisms: Mechanisms::default(),
            probes_missed: None,
            segments: Vec::new(),
            current: Box::new([]),
            trace: BTreeMap::new(),
        };
        for index in 0..instances {
            sim.at(Duration::from_millis(index as u64 * 7), Event::Start(index));
        }
        sim.at(Duration::from_secs(1), Event::Ask);
        sim
    }

    fn at(&mut self, time: Timestamp, event: Event) {
        self.next += 1;
        self.events.push(Reverse((time, self.next)));
        self.bodies.insert(self.next, event);
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    pub fn run_until(&mut self, end: Timestamp) {
        while let Some(Reverse((time, id))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            self.now = time;
            if let Some(event) = self.bodies.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Makes so many callers ask on flows that they keep open, requests that may be repeated.
    pub fn keep_flows(&mut self, users: usize) {
        self.safe = true;
        self.users = vec![None; users];
        for versioned in &mut self.picture.entries {
            if let StoreEntry::Routing(routing) = &mut versioned.entry {
                routing.routes[0].kind = RequestKind::Safe;
            }
        }
    }

    /// Gives the route another latency objective and time-out, before anything is asked.
    pub fn set_times(&mut self, objective: Duration, timeout: Duration) {
        (self.objective, self.timeout) = (objective, timeout);
        for versioned in &mut self.picture.entries {
            if let StoreEntry::Routing(routing) = &mut versioned.entry {
                routing.routes[0].latency_objective = objective;
                routing.routes[0].timeout = timeout;
            }
        }
    }

    /// Cuts a failure domain off from the others, callers excepted.
    pub fn cut_off(&mut self, domain: usize) {
        self.cut = Some(domain);
        self.was_cut = true;
    }

    pub fn kill(&mut self, index: usize) {
        self.instances[index] = None;
    }

    /// Kills instances one after the other, each as soon as the one before has been up again for a while.
    pub fn restart_in_turn(&mut self, from: Timestamp, gap: Duration, instances: usize) {
        for index in 0..instances {
            let at = from + gap * u32::try_from(index).unwrap();
            self.run_until(at);
            self.kill(index);
            self.start_at(at + RESTART, index);
        }
    }

    pub fn start_at(&mut self, time: Timestamp, index: usize) {
        self.at(time, Event::Start(index));
    }

    /// Tells every instance that is up what the store says.
    pub fn publish(&mut self, delta: &Delta) {
        for index in 0..self.instances.len() {
            self.with(index, |instance, now, effects| {
                instance.dispatcher.apply_delta(now, delta, effects);
            });
        }
    }

    /// Changes targets by their numbers.
    pub fn change_targets(&mut self, indices: impl IntoIterator<Item = usize>, change: impl Fn(&mut SimTarget)) {
        for index in indices {
            change(self.targets.get_mut(&target_id(index)).unwrap());
        }
    }

    /// Starts more targets, and tells every instance that is up of them, at a revision.
    pub fn add_targets(&mut self, indices: &[usize], revision: Revision) {
        self.targets.extend(indices.iter().map(|index| (target_id(*index), SimTarget::default())));
        let fact = |index: &usize| StoreEntry::Target(target_id(*index), Some(target_facts(*index, Duration::ZERO)));
        let facts = indices.iter().map(|index| VersionedEntry { revision, entry: fact(index) }).collect();
        self.publish(&Delta { since: revision - 1, revision, is_snapshot: false, entries: facts });
    }

    /// Makes the fabric hand each caller to an instance of its own failure domain that says it is ready, or, while none
    /// does, to one elsewhere.
    pub fn route_by_readiness(&mut self) {
        self.probes_missed = Some(vec![0; self.instances.len()]);
        self.after(PROBE, Event::Probe);
    }

    fn probe(&mut self) {
        let now = self.now;
        let ready = |instance: &mut Option<Instance>| {
            instance.as_mut().is_some_and(|instance| {
                let others = instance.fleet.reaches_other_domains(now);
                instance.dispatcher.readiness(now, others) == Readiness::Ready
            })
        };
        let answers: Vec<bool> = self.instances.iter_mut().map(ready).collect();
        let Some(missed) = &mut self.probes_missed else { return };
        for (missed, ready) in missed.iter_mut().zip(answers) {
            *missed = if ready { 0 } else { *missed + 1 };
        }
        self.after(PROBE, Event::Probe);
    }

    /// Returns the instances among which the fabric picks for a request.
    fn reachable_instances(&self, request: usize) -> Vec<usize> {
        let up = (0..self.instances.len()).filter(|index| self.instances[*index].is_some());
        let Some(missed) = &self.probes_missed else { return up.collect() };
        let in_rotation: Vec<usize> = up.filter(|index| missed[*index] < 2).collect();
        let near: Vec<usize> =
            in_rotation.iter().copied().filter(|index| index % DOMAINS == request % DOMAINS).collect();
        if near.is_empty() { in_rotation } else { near }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.cut.is_none_or(|cut| (from % DOMAINS == cut) == (to % DOMAINS == cut))
    }

    /// Returns how long a packet waits at an instance's link to targets.
    fn queued(&self, from: usize) -> Duration {
        self.choked.filter(|(index, _)| *index == from).map_or(Duration::ZERO, |(_, wait)| wait)
    }

    fn start(&mut self, index: usize) {
        self.life += 1;
        let address = instance_address(index);
        let id = instance_id(address);
        let failure_domain = domain(index);
        let identity = Identity {
            id,
            incarnation: self.life,
            failure_domain: failure_domain.clone(),
            control: address,
            forward: address,
        };
        let config = DispatcherConfig {
            id,
            domain: failure_domain,
            evacuation_grace: Duration::from_secs(4),
            mechanisms: self.mechanisms,
        };
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| *seed != address).collect();
        let fleet = Fleet::new(self.now, identity, &seeds);
        let dispatcher = Dispatcher::new(config);
        let life = self.life;
        self.instances[index] = Some(Instance { dispatcher, fleet, group: Vec::new(), life });
        self.after(ms(30), Event::Learned(index, life));
        self.after(Duration::ZERO, Event::Tick(index, life));
    }

    /// Lets an instance do something and carries out what follows.
    fn with<R>(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut Instance, Timestamp, &mut Vec<Effect>) -> R,
    ) -> Option<R> {
        let now = self.now;
        let mut effects = Vec::new();
        let instance = self.instances[index].as_mut()?;
        let result = act(instance, now, &mut effects);
        let report = instance.dispatcher.take_report();
        let decisions = instance.dispatcher.take_decisions();
        let group = instance.group.clone();
        self.again += decisions.iter().filter(|decision| decision.outcome == Outcome::PlacedAgain).count() as u64;
        for decision in decisions {
            self.trace.entry(decision.flow).or_default().push((now, index, decision));
        }
        if !report.is_empty() {
            self.reports += group.len();
            self.send(index, &group, &Frame::LoadReport(report));
        }
        for effect in effects {
            self.effect(index, effect);
        }
        Some(result)
    }

    fn effect(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Forward { target, packet, cookie: written, .. } => {
                let bytes = match packet {
                    Packet::Buffered(kept) => kept,
                    Packet::Current => self.current.clone(),
                };
                let mut segment = self.segments[usize::from_le_bytes(bytes[..].try_into().unwrap())];
                if let Some(written) = written {
                    segment.cookie = written;
                }
                let target_index = usize::try_from(target - 0xA000).unwrap();
                if self.reaches(from, target_index) {
                    self.after(INSIDE + self.queued(from), Event::AtTarget(target, segment));
                }
            }
            Effect::Check { target, .. } => {
                self.checks += 1;
                let life = self.instances[from].as_ref().map_or(0, |instance| instance.life);
                let target_index = usize::try_from(target - 0xA000).unwrap();
                let accepts = self.targets[&target].alive && self.reaches(from, target_index);
                let wait = INSIDE * 2 + self.queued(from);
                let (wait, outcome) = if accepts && wait < CHECK_LIMIT {
                    (wait, CheckOutcome::Accepted)
                } else {
                    (CHECK_LIMIT, CheckOutcome::TimedOut)
                };
                self.after(wait, Event::Checked(from, life, target, outcome));
            }
            Effect::Reset(segment) => {
                let Some(request) = self.by_flow.get(&segment.flow).copied() else { return };
                self.after(TO_CALLER, Event::Reset(request, segment.flow));
            }
        }
    }

    fn send(&mut self, from: usize, to: &[SocketAddr], frame: &Frame) {
        if !self.told && matches!(frame, Frame::LoadReport(_)) {
            return;
        }
        for address in to {
            let index = (0..self.instances.len()).find(|index| instance_address(*index) == *address).unwrap();
            let Some(instance) = &self.instances[index] else { continue };
            let life = instance.life;
            if self.reaches(from, index) {
                self.after(INSIDE, Event::Peer(index, life, Box::new(frame.clone())));
            }
        }
    }

    fn fleet_effects(&mut self, index: usize, effects: Vec<FleetEffect>) {
        for effect in effects {
            match effect {
                FleetEffect::Send(to, frame) => self.send(index, &to, &frame),
                FleetEffect::ApplyLoadReport(report) => {
                    self.with(index, |instance, now, effects| {
                        instance.dispatcher.apply_load_report(now, &report, effects);
                    });
                }
                FleetEffect::Changed => {
                    self.with(index, |instance, now, _| {
                        instance.group = instance.fleet.group();
                        let whole = instance.fleet.is_one_group();
                        let (serving, group) = (instance.fleet.serving(), instance.fleet.group_ids());
                        instance.dispatcher.set_members(now, serving, group, whole);
                    });
                }
                FleetEffect::ApplyDelta(delta) => {
                    self.with(index, |instance, now, effects| instance.dispatcher.apply_delta(now, &delta, effects));
                }
                FleetEffect::Pull(_) | FleetEffect::RoleChange(_) | FleetEffect::UpToDate => {}
            }
        }
    }

    fn is_life(&self, index: usize, life: u64) -> bool {
        self.instances[index].as_ref().is_some_and(|instance| instance.life == life)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => self.start(index),
            Event::Learned(index, life) if self.is_life(index, life) => {
                let picture = self.picture.clone();
                self.with(index, |instance, now, effects| instance.dispatcher.apply_delta(now, &picture, effects));
                self.ask_peer(index, life);
            }
            Event::Tick(index, life) if self.is_life(index, life) => self.tick(index, life),
            Event::Peer(index, life, frame) if self.is_life(index, life) => {
                let effects = self.with(index, |instance, now, _| {
                    let revision = instance.dispatcher.directory().revision();
                    instance.fleet.frame(now, *frame, revision)
                });
                self.fleet_effects(index, effects.unwrap_or_default());
            }
            Event::Pulled(index, life, handover) if self.is_life(index, life) => {
                self.with(index, |instance, now, effects| instance.dispatcher.apply_handover(now, &handover, effects));
            }
            Event::Checked(index, life, target, outcome) if self.is_life(index, life) => {
                self.with(index, |instance, now, effects| {
                    instance.dispatcher.check_finished(now, target, outcome, effects);
                });
            }
            Event::Data(request, attempt) => self.data(request, attempt),
            Event::Deadline(request) => self.deadline(request),
            Event::Ask => self.ask(),
            Event::Probe => self.probe(),
            Event::Syn(request, attempt, retransmissions) => self.syn(request, attempt, retransmissions),
            Event::AttemptEnds(request, attempt) => self.attempt_ends(request, attempt),
            Event::AtInstance(index, segment) => self.at_instance(index, segment),
            Event::AtTarget(target, segment) => self.at_target(target, segment),
            Event::Opened(request, flow, target) => self.opened(request, flow, target),
            Event::Done(target, work) => self.done(target, &work),
            Event::Answered(request, flow) => self.answered(request, flow),
            Event::Failed(request, flow) => self.failed(request, flow),
            Event::Shed(request, flow) => self.shed(request, flow),
            Event::Reset(request, flow) => self.reset(request, flow),
            Event::Learned(..) | Event::Tick(..) | Event::Peer(..) | Event::Pulled(..) | Event::Checked(..) => {}
        }
    }

    /// Hands over what another instance knows, as a pull over the network would.
    fn ask_peer(&mut self, index: usize, life: u64) {
        let now = self.now;
        let known: Vec<SocketAddr> = self.instances[index].as_ref().map(|i| i.fleet.group()).unwrap_or_default();
        let peer = (0..self.instances.len()).find(|peer| {
            known.contains(&instance_address(*peer)) && self.reaches(index, *peer) && self.instances[*peer].is_some()
        });
        let handover = peer.and_then(|peer| self.instances[peer].as_ref()).map(|peer| peer.dispatcher.handover(now, 0));
        if let Some(handover) = handover {
            self.after(ms(4), Event::Pulled(index, life, Box::new(handover)));
        }
    }

    fn tick(&mut self, index: usize, life: u64) {
        let effects = self.with(index, |instance, now, effects| {
            instance.dispatcher.tick(now, effects);
            let revision = instance.dispatcher.directory().revision();
            instance.fleet.tick(now, revision)
        });
        self.fleet_effects(index, effects.unwrap_or_default());
        self.after(TICK, Event::Tick(index, life));
    }

    fn ask(&mut self) {
        let request = self.requests.len();
        let user = (!self.users.is_empty()).then(|| self.rng.random_range(0..self.users.len()));
        let kept = user.and_then(|user| self.users[user].take());
        let flow = kept.map_or_else(|| self.new_flow(), |kept| kept.flow);
        self.requests.push(Request {
            asked: self.now,
            answered: None,
            runs: 0,
            tries: 0,
            flow,
            opened: None,
            attempt: 0,
            user,
            received: kept.map_or(FIRST_RECEIVED, |kept| kept.received),
            resets: 0,
            failed: false,
            shed: 0,
            hung: false,
        });
        if let Some(kept) = kept {
            self.begin_on(request, kept);
        } else {
            self.begin(request, flow);
        }
        self.after(self.timeout, Event::Deadline(request));
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.per_second;
        self.after(Duration::from_secs_f64(gap), Event::Ask);
    }

    fn new_flow(&mut self) -> FlowId {
        self.next_port += 1;
        let [_, b, c, d] = self.next_port.to_be_bytes();
        let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, b, c), 1_000 + u16::from(d));
        FlowId { caller, service: service_address() }
    }

    fn begin(&mut self, request: usize, flow: FlowId) {
        let state = &mut self.requests[request];
        state.tries += 1;
        state.attempt += 1;
        state.flow = flow;
        state.opened = None;
        state.received = FIRST_RECEIVED;
        let attempt = state.attempt;
        self.by_flow.insert(flow, request);
        for (retransmissions, wait) in [(0, 0), (1, 200), (2, 600)] {
            self.after(ms(wait), Event::Syn(request, attempt, retransmissions));
        }
        self.after(ms(1_400), Event::AttemptEnds(request, attempt));
    }

    /// Asks on a flow that is open.
    fn begin_on(&mut self, request: usize, kept: KeptFlow) {
        let state = &mut self.requests[request];
        state.tries += 1;
        state.attempt += 1;
        state.opened = Some(kept.opened);
        let attempt = state.attempt;
        self.by_flow.insert(kept.flow, request);
        self.send_data(request, attempt);
    }

    /// Sends a request on its flow, and again as long as nothing has come back.
    fn send_data(&mut self, request: usize, attempt: u32) {
        for wait in [0, 200, 600, 1_400] {
            self.after(ms(wait), Event::Data(request, attempt));
        }
    }

    fn data(&mut self, request: usize, attempt: u32) {
        let Some((_, cookie)) = self.requests[request].opened else { return };
        if self.is_open(request, attempt) {
            let received = self.requests[request].received;
            self.pass_to_instance(request, SegmentKind::Ack, received, 500, cookie);
        }
    }

    fn deadline(&mut self, request: usize) {
        let state = &self.requests[request];
        if let (None, Some((_, cookie))) = (state.answered, state.opened) {
            let received = state.received;
            self.pass_to_instance(request, SegmentKind::Rst, received, 0, cookie);
        }
    }

    /// Tells whether an attempt is still the one under way and its request still wanted.
    fn is_open(&self, request: usize, attempt: u32) -> bool {
        let state = &self.requests[request];
        state.attempt == attempt && state.answered.is_none() && self.now < state.asked + self.timeout
    }

    fn syn(&mut self, request: usize, attempt: u32, retransmissions: u32) {
        if self.is_open(request, attempt) && self.requests[request].opened.is_none() {
            self.pass_to_instance(request, SegmentKind::Syn { retransmissions }, 0, 0, 0);
        }
    }

    fn attempt_ends(&mut self, request: usize, attempt: u32) {
        if self.is_open(request, attempt) && self.requests[request].opened.is_none() {
            self.retry(request);
        }
    }

    fn retry(&mut self, request: usize) {
        if self.requests[request].tries <= RETRIES {
            let flow = self.new_flow();
            self.begin(request, flow);
        }
    }

    fn reset(&mut self, request: usize, flow: FlowId) {
        let now = self.now;
        let state = &mut self.requests[request];
        if state.flow != flow {
            return;
        }
        state.resets += 1;
        let trace = self.trace.get(&flow);
        let harmed = |(target, _): (TargetId, Cookie)| self.was_cut || !self.targets[&target].alive;
        let allowed = state.opened.is_none_or(harmed);
        assert!(allowed, "at {now:?} a reset hit a flow that was open: {state:?} {trace:#?}");
        let attempt = state.attempt;
        if self.is_open(request, attempt) {
            self.retry(request);
        }
    }

    /// Sends a caller's packet to the instance that the fabric picks.
    fn pass_to_instance(
        &mut self,
        request: usize,
        kind: SegmentKind,
        acknowledged: u32,
        payload_bytes: u16,
        cookie: Cookie,
    ) {
        let flow = self.requests[request].flow;
        let sequence = 7;
        let segment = Segment { flow, kind, sequence, acknowledged, payload_bytes, cookie };
        let up = self.reachable_instances(request);
        if let Some(pick) = up.get(usize::try_from(flow.hash64() % up.len().max(1) as u64).unwrap()) {
            self.after(TO_CALLER, Event::AtInstance(*pick, segment));
        }
    }

    fn at_instance(&mut self, index: usize, segment: Segment) {
        self.segments.push(segment);
        self.current = Box::new((self.segments.len() - 1).to_le_bytes());
        let packet = self.current.clone();
        self.with(index, |instance, now, effects| instance.dispatcher.handle_packet(now, &segment, &packet, effects));
    }

    fn at_target(&mut self, id: TargetId, segment: Segment) {
        let request = self.by_flow[&segment.flow];
        let now = self.now;
        let Some(target) = self.targets.get_mut(&id).filter(|target| target.alive) else { return };
        match segment.kind {
            SegmentKind::Syn { .. } => {
                target.opened.push(now);
                target.flows.entry(segment.flow).or_insert(None);
                self.after(TO_CALLER, Event::Opened(request, segment.flow, id));
            }
            SegmentKind::Ack if segment.payload_bytes > 0 => {
                if target.fails > 0.0 && self.rng.random_bool(target.fails) {
                    self.after(TO_CALLER, Event::Failed(request, segment.flow));
                    return;
                }
                let Some(taken) = target.flows.get_mut(&segment.flow) else { return };
                if taken.replace(request) == Some(request) {
                    return;
                }
                if target.queue.len() < TARGET_QUEUE {
                    target.queue.push_back(Work { request, flow: segment.flow, hangs: false });
                    self.work(id);
                } else if self.when_full == WhenFull::Refuse {
                    self.after(TO_CALLER + SHED_AFTER, Event::Shed(request, segment.flow));
                }
            }
            SegmentKind::Ack | SegmentKind::Fin | SegmentKind::Rst => {}
        }
    }

    fn work(&mut self, id: TargetId) {
        let spread = self.rng.random_range(0.4..1.6);
        let Some(target) = self.targets.get_mut(&id) else { return };
        if target.busy >= 2 {
            return;
        }
        let Some(mut work) = target.queue.pop_front() else { return };
        target.busy += 1;
        let mut took = self.work.mul_f64(spread * target.slow);
        let state = &mut self.requests[work.request];
        state.runs += 1;
        if target.hangs > 0.0 && self.rng.random_bool(target.hangs) {
            state.hung = true;
            work.hangs = true;
            took = (state.asked + self.timeout).saturating_sub(self.now);
        }
        self.after(took, Event::Done(id, work));
    }

    fn opened(&mut self, request: usize, flow: FlowId, target: TargetId) {
        let attempt = self.requests[request].attempt;
        if self.requests[request].flow != flow || !self.is_open(request, attempt) {
            return;
        }
        let state = &mut self.requests[request];
        if state.opened.is_some() {
            return;
        }
        state.opened = Some((target, cookie(target)));
        self.send_data(request, attempt);
    }

    fn done(&mut self, id: TargetId, work: &Work) {
        let Some(target) = self.targets.get_mut(&id) else { return };
        target.busy -= 1;
        if target.alive && !work.hangs {
            self.after(TO_CALLER, Event::Answered(work.request, work.flow));
        }
        self.work(id);
    }

    fn answered(&mut self, request: usize, flow: FlowId) {
        let now = self.now;
        let state = &mut self.requests[request];
        if state.flow != flow || state.answered.is_some() || now > state.asked + self.timeout {
            return;
        }
        state.answered = Some(now);
        let opened = state.opened.unwrap();
        let received = state.received + ANSWER_BYTES;
        let user = state.user;
        self.pass_to_instance(request, SegmentKind::Ack, received, 0, opened.1);
        if let Some(user) = user {
            self.users[user] = Some(KeptFlow { flow, opened, received });
        } else {
            self.pass_to_instance(request, SegmentKind::Fin, received, 0, opened.1);
        }
    }

    /// The caller gets a short answer that says that its request has failed, and gives the request up.
    fn failed(&mut self, request: usize, flow: FlowId) {
        let state = &mut self.requests[request];
        let Some((_, cookie)) = state.opened.filter(|_| state.flow == flow) else { return };
        // No further attempt is made, and no answer counts any more.
        state.failed = true;
        state.tries = RETRIES + 1;
        self.pass_to_instance(request, SegmentKind::Ack, 250, 0, cookie);
        self.pass_to_instance(request, SegmentKind::Fin, 250, 0, cookie);
    }

    /// The caller learns that a full target has not run its request, and asks again.
    fn shed(&mut self, request: usize, flow: FlowId) {
        let state = &mut self.requests[request];
        let Some((_, cookie)) = state.opened.filter(|_| state.flow == flow) else { return };
        state.shed += 1;
        let attempt = state.attempt;
        self.pass_to_instance(request, SegmentKind::Ack, 250, 0, cookie);
        self.pass_to_instance(request, SegmentKind::Fin, 250, 0, cookie);
        if self.is_open(request, attempt) {
            self.retry(request);
        }
    }

    /// Returns the parts of the requests asked in a span that were answered in time and that were answered at all.
    pub fn served(&self, from: Timestamp, to: Timestamp) -> (f64, f64) {
        let asked: Vec<&Request> = self.requests.iter().filter(|r| r.asked >= from && r.asked < to).collect();
        let in_time = asked.iter().filter(|r| r.answered.is_some_and(|at| at <= r.asked + self.objective)).count();
        let at_all = asked.iter().filter(|r| r.answered.is_some()).count();
        let part =
            |count: usize| f64::from(u32::try_from(count).unwrap()) / f64::from(u32::try_from(asked.len()).unwrap());
        (part(in_time), part(at_all))
    }

    /// Returns the decisions of a kind.
    pub fn decided(&self, outcome: Outcome) -> impl Iterator<Item = &Decision> {
        self.trace.values().flatten().map(|(_, _, decision)| decision).filter(move |it| it.outcome == outcome)
    }

    /// Returns how many targets are set aside, as each instance sees it, added up.
    pub fn set_aside(&self) -> usize {
        self.instances.iter().flatten().map(|instance| instance.dispatcher.failing_count(self.now)).sum()
    }

    /// Returns how many requests targets have taken that they never answer.
    pub fn hung(&self) -> usize {
        self.requests.iter().filter(|request| request.hung).count()
    }

    /// Returns how many tries full targets have refused.
    pub fn shed_tries(&self) -> u32 {
        self.requests.iter().map(|request| request.shed).sum()
    }

    /// Returns the state in one line: what targets hold, what instances believe and let wait, counts of decisions.
    pub fn snapshot(&self) -> String {
        let held: Vec<usize> = self.targets.values().map(|target| target.busy + target.queue.len()).collect();
        let mut text = format!("held {held:?}");
        for instance in self.instances.iter().flatten() {
            let dispatcher = &instance.dispatcher;
            let counts: Vec<u32> = self.targets.keys().map(|id| dispatcher.open_requests().count(*id)).collect();
            let (flows, waiting) = dispatcher.flow_counts();
            let _ = write!(text, "\n      believed {counts:?} flows {flows} waiting {waiting}");
        }
        text
    }

    /// Asserts what must hold in every run.
    pub fn check(&self) {
        let doubled = self.requests.iter().filter(|request| request.runs > request.tries).count();
        assert_eq!(doubled, 0, "requests that ran more often than they were sent");
        let unsafe_doubled = self.requests.iter().filter(|request| request.runs > 1).count();
        assert!(self.safe || unsafe_doubled == 0, "requests that ran more than once");
    }
}
