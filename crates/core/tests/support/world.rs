//! The world of the randomised runs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::callers::Callers;
use super::callers::Flow;
use super::callers::Order;
use super::callers::OrderEnd;
use super::callers::OrderId;
use super::sets;
use hawthornshift_core::Input;
use hawthornshift_core::Node;
use hawthornshift_core::Output;
use hawthornshift_core::Timestamp;
use hawthornshift_core::Tuning;
use hawthornshift_core::event::AttemptNumber;
use hawthornshift_core::event::HealthReport;
use hawthornshift_core::event::InstanceList;
use hawthornshift_core::event::ListedInstance;
use hawthornshift_core::event::LocalPort;
use hawthornshift_core::event::PacketAction;
use hawthornshift_core::event::PlatformRead;
use hawthornshift_core::event::Reply;
use hawthornshift_core::event::RequestId;
use hawthornshift_core::event::Resource;
use hawthornshift_core::event::StoredAnswer;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::message::Envelope;
use hawthornshift_core::message::ForwardedPacketHeader;
use hawthornshift_core::message::ForwardedRequestHeader;
use hawthornshift_core::message::Reason;
use hawthornshift_core::message::Refusal;
use hawthornshift_core::node::TICK_PERIOD;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::DomainState;
use hawthornshift_model::InstanceId;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::ServiceId;
use hawthornshift_model::TargetId;
use hawthornshift_model::Verdict;

/// Answers that a cold target must have given before it is warm.
const ANSWERS_TO_WARM: u32 = 10;
/// Time between two packets of a flow.
const FLOW_PACE: Duration = Duration::from_millis(100);
/// Tries of one order at most.
const MAX_TRIES: u32 = 8;
/// Time after which a caller that hears nothing tries again.
const CALLER_PATIENCE: Duration = Duration::from_secs(5);
/// Time after which the fabric notices that an instance is stopping.
const FABRIC_LAG: Duration = Duration::from_millis(500);
/// Time after a partition has healed by which the two halves of a split flow must be one again.
const HEALING: Duration = Duration::from_secs(10);
/// Time after which a failure domain that was taken out must be silent.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// What the network does to messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Shortest and longest delay in milliseconds; a range reorders.
    pub delay_ms: (u64, u64),
    /// Share of messages and packets that are lost.
    pub drop: f64,
    /// Share of messages and packets that come twice.
    pub duplicate: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self { delay_ms: (1, 3), drop: 0.0, duplicate: 0.0 }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick {
        id: InstanceId,
        life: u64,
    },
    Deliver {
        id: InstanceId,
        life: u64,
        input: Box<Input>,
    },
    Message {
        address: SocketAddr,
        from: InstanceId,
        envelope: Box<Envelope>,
    },
    Forwarded {
        address: SocketAddr,
        head: ForwardedPacketHeader,
    },
    AtTarget {
        target: SocketAddr,
        service: ServiceId,
        caller: SocketAddr,
        from: InstanceId,
        local_port: LocalPort,
    },
    Pass {
        from: InstanceId,
        life: u64,
        request: RequestId,
        address: SocketAddr,
        to: InstanceId,
        head: Box<ForwardedRequestHeader>,
    },
    Execute {
        id: InstanceId,
        life: u64,
        request: RequestId,
        attempt: AttemptNumber,
        target: SocketAddr,
    },
    TargetDone {
        id: InstanceId,
        life: u64,
        request: RequestId,
        attempt: AttemptNumber,
        target: SocketAddr,
    },
    TryOrder {
        order: OrderId,
    },
    OrderSilent {
        order: OrderId,
        tries: u32,
    },
    FlowPacket {
        caller: SocketAddr,
    },
}

/// For whom an instance handles a request.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Caller { order: OrderId, tries: u32 },
    Peer { from: InstanceId, life: u64, request: RequestId },
}

struct Host {
    node: Node,
    life: u64,
    paused_until: Timestamp,
    /// Since when it stops as planned.
    stopping: Option<Timestamp>,
    next_request: RequestId,
    origins: BTreeMap<RequestId, (Origin, OrderId)>,
    answers: BTreeMap<u64, OrderId>,
    watches: Vec<PlatformRead>,
}

#[derive(Clone, Debug, Default)]
struct TargetState {
    cold: bool,
    answered: u32,
    running: u32,
    out_since: Option<Timestamp>,
}

/// Counts of what must never be, by the targets' own account.
#[derive(Clone, Debug, Default)]
pub struct Never {
    /// Requests beyond what a cold target bears.
    pub cold_overloads: u64,
    /// Requests beyond the slots of a warm target.
    pub slot_overruns: u64,
    /// Packets at a target of another service.
    pub wrong_service: u64,
    /// Packets and requests in a failure domain that has long been out.
    pub late_after_out: u64,
}

/// Everything that runs.
pub struct World {
    pub now: Timestamp,
    pub callers: Callers,
    pub never: Never,
    pub network: Network,
    pub set: PublishedSet,
    /// A flow whose every step is printed, to find out how a run failed.
    pub trace: Option<SocketAddr>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    rng: SmallRng,
    hosts: BTreeMap<InstanceId, Host>,
    lives: u64,
    list_version: u64,
    platform_down: bool,
    cuts: BTreeSet<(InstanceId, InstanceId)>,
    platform_cut: BTreeSet<InstanceId>,
    /// Since when every instance can learn what is published.
    news_since: Timestamp,
    targets: BTreeMap<SocketAddr, TargetState>,
    tuning: Tuning,
}

impl World {
    /// Starts `count` instances on a platform that publishes the test set.
    pub fn new(seed: u64, count: u32) -> Self {
        Self::with_tuning(seed, count, Tuning::default())
    }

    /// Starts `count` instances with other times and limits.
    pub fn with_tuning(seed: u64, count: u32, tuning: Tuning) -> Self {
        let mut world = Self {
            now: Timestamp::from_secs(1),
            callers: Callers::default(),
            never: Never::default(),
            network: Network::default(),
            set: sets::set(),
            trace: None,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            lives: 0,
            list_version: 1,
            platform_down: false,
            cuts: BTreeSet::new(),
            platform_cut: BTreeSet::new(),
            news_since: Timestamp::ZERO,
            targets: BTreeMap::new(),
            tuning,
        };
        world.adopt_targets();
        for id in 0..count {
            world.start(id);
        }
        world
    }

    fn adopt_targets(&mut self) {
        for group in &self.set.target_groups {
            for target in &group.targets {
                let cold = group.name == sets::ORDERS;
                let fresh = TargetState { cold, ..TargetState::default() };
                self.targets.entry(target.address).or_insert(fresh);
            }
        }
    }

    // What operators and misfortune do.

    /// Starts an instance, also one that has stopped or crashed before.
    pub fn start(&mut self, id: InstanceId) {
        self.lives += 1;
        let identity = Identity {
            id,
            incarnation: 1_000 + self.lives,
            failure_domain: sets::domain_of(id).to_owned(),
            control: sets::instance_address(id, 1),
            forward: sets::instance_address(id, 2),
        };
        let node = Node::new(self.now, identity, self.tuning.clone(), self.rng.random(), self.rng.random());
        let host = Host {
            node,
            life: self.lives,
            paused_until: Timestamp::ZERO,
            stopping: None,
            next_request: 0,
            origins: BTreeMap::new(),
            answers: BTreeMap::new(),
            watches: Vec::new(),
        };
        self.hosts.insert(id, host);
        self.list_version += 1;
        self.after(Duration::ZERO, Event::Tick { id, life: self.lives });
        self.wake_watches();
    }

    /// Has an instance stop as planned.
    pub fn stop(&mut self, id: InstanceId) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.stopping.get_or_insert(now);
            let life = host.life;
            self.after(Duration::ZERO, Event::Deliver { id, life, input: Box::new(Input::Stop) });
        }
    }

    /// Ends an instance without a word.
    pub fn crash(&mut self, id: InstanceId) {
        let Some(host) = self.hosts.remove(&id) else { return };
        self.list_version += 1;
        self.excuse(id);
        // Whoever has passed a request there sees the connection break.
        for (origin, _) in host.origins.into_values() {
            let Origin::Peer { from, life, request } = origin else { continue };
            let input = Box::new(Input::ForwardedRequestFailed { request, verdict: Verdict::MayHaveRun });
            self.after(Duration::from_millis(1), Event::Deliver { id: from, life, input });
        }
    }

    /// Freezes an instance for a while.
    pub fn pause(&mut self, id: InstanceId, time: Duration) {
        let until = self.now + time;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.paused_until = host.paused_until.max(until);
            self.excuse(id);
        }
    }

    /// Cuts two instances off from each other.
    pub fn cut(&mut self, a: InstanceId, b: InstanceId) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    /// Cuts a failure domain off from all others and from the platform.
    pub fn cut_domain(&mut self, domain: &str) {
        let ids: Vec<InstanceId> = (0..16).collect();
        let (inside, outside): (Vec<InstanceId>, Vec<InstanceId>) =
            ids.into_iter().partition(|id| sets::domain_of(*id) == domain);
        for a in &inside {
            for b in &outside {
                self.cut(*a, *b);
            }
            self.platform_cut.insert(*a);
        }
    }

    /// Heals all cuts.
    pub fn heal(&mut self) {
        let healed = !self.cuts.is_empty();
        self.cuts.clear();
        self.platform_cut.clear();
        self.news_since = self.now;
        for flow in self.callers.flows.values_mut().filter(|_| healed) {
            flow.excused_until = self.now + HEALING;
        }
    }

    /// Takes the platform down or up.
    pub fn set_platform_down(&mut self, down: bool) {
        self.platform_down = down;
        self.news_since = self.now;
        self.wake_watches();
    }

    /// Publishes the set as it stands, under the next revision.
    pub fn publish(&mut self) {
        self.set.revision += 1;
        CheckedSet::new(self.set.clone()).expect("a test publishes only sound sets");
        self.adopt_targets();
        self.wake_watches();
    }

    /// Takes a failure domain out of service or back.
    pub fn set_domain(&mut self, name: &str, state: DomainState) {
        for domain in self.set.failure_domains.iter_mut().filter(|domain| domain.name == name) {
            domain.state = state;
        }
        self.publish();
        let out_since = (state == DomainState::Out).then_some(self.now);
        let addresses = self.addresses_in(name);
        for address in &addresses {
            if let Some(target) = self.targets.get_mut(address) {
                target.out_since = out_since;
            }
        }
        // One that comes back at once is seen to leave by some instances and not by others; its flows may be given up
        // late, but only those.
        let quick = state == DomainState::InService;
        for flow in self.callers.flows.values_mut() {
            let inside = flow.target.is_some_and(|target| addresses.contains(&target));
            flow.given_up |= inside && !quick;
            if inside || flow.homes.contains(name) {
                flow.excused_until = self.now + OUT_GRACE;
            }
        }
    }

    /// Returns the addresses of a failure domain's targets.
    pub fn addresses_in(&self, domain: &str) -> Vec<SocketAddr> {
        let targets = self.set.target_groups.iter().flat_map(|group| &group.targets);
        targets.filter(|target| target.failure_domain == domain).map(|target| target.address).collect()
    }

    /// Ends all excuses: from here on no flow may change its target.
    pub fn end_excuses(&mut self) {
        for flow in self.callers.flows.values_mut() {
            flow.excused = false;
            flow.excused_until = Timestamp::ZERO;
            flow.given_up = false;
        }
    }

    /// Returns the target of each flow.
    pub fn flow_targets(&self) -> Vec<Option<SocketAddr>> {
        self.callers.flows.values().map(|flow| flow.target).collect()
    }

    /// Makes every HTTP target cold.
    pub fn chill_all(&mut self) {
        for target in self.set.target_groups[0].targets.clone() {
            if let Some(state) = self.targets.get_mut(&target.address) {
                state.cold = true;
                state.answered = 0;
            }
        }
    }

    /// A flow whose holder was touched by more than a planned change may break.
    fn excuse(&mut self, id: InstanceId) {
        for flow in self.callers.flows.values_mut().filter(|flow| flow.holder == Some(id) || flow.holder.is_none()) {
            flow.excused = true;
        }
    }

    // What callers do.

    /// Sends a non-idempotent request, tried again until its end is known or patience ends.
    pub fn order(&mut self, order: OrderId) {
        self.callers.orders.insert(order, Order::default());
        self.after(Duration::ZERO, Event::TryOrder { order });
    }

    /// Opens a flow that sends packets for as long as the world runs.
    pub fn flow(&mut self, number: u32) {
        let [_, a, b, c] = number.to_be_bytes();
        let caller = SocketAddr::from((Ipv4Addr::new(192, a, b, c), 5_000));
        let flow = Flow {
            caller,
            target: None,
            holder: None,
            sent: 0,
            answered: 0,
            last_answer: self.now,
            excused: false,
            excused_until: Timestamp::ZERO,
            homes: BTreeSet::new(),
            broken: None,
            given_up: false,
        };
        self.callers.flows.insert(caller, flow);
        self.after(Duration::ZERO, Event::FlowPacket { caller });
    }

    // Time.

    /// Runs until `time` from now.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happen(event);
            }
        }
        self.now = end;
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn delay(&mut self) -> Duration {
        let (least, most) = self.network.delay_ms;
        Duration::from_micros(self.rng.random_range(least * 1_000..=most * 1_000))
    }

    /// Sends something over the network, which may lose or repeat it.
    fn transmit(&mut self, event: Event) {
        if self.rng.random_bool(self.network.drop) {
            return;
        }
        if self.rng.random_bool(self.network.duplicate) {
            let delay = self.delay();
            self.after(delay, event.clone());
        }
        let delay = self.delay();
        self.after(delay, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick { id, life } => {
                if self.is_life(id, life) {
                    self.feed(id, Input::Tick);
                    self.after(TICK_PERIOD, Event::Tick { id, life });
                }
            }
            Event::Deliver { id, life, input } => {
                if self.is_life(id, life) {
                    self.feed(id, *input);
                }
            }
            Event::Message { address, from, envelope } => self.message(address, from, envelope),
            Event::Forwarded { address, head } => self.forwarded(address, head),
            Event::AtTarget { target, service, caller, from, local_port } => {
                self.at_target(target, service, caller, from, local_port);
            }
            Event::Pass { from, life, request, address, to, head } => {
                self.pass(from, life, request, address, to, *head);
            }
            Event::Execute { id, life, request, attempt, target } => self.execute(id, life, request, attempt, target),
            Event::TargetDone { id, life, request, attempt, target } => {
                self.target_done(id, life, request, attempt, target);
            }
            Event::TryOrder { order } => self.try_order(order),
            Event::OrderSilent { order, tries } => self.order_silent(order, tries),
            Event::FlowPacket { caller } => self.flow_packet(caller),
        }
    }

    fn is_life(&self, id: InstanceId, life: u64) -> bool {
        self.hosts.get(&id).is_some_and(|host| host.life == life)
    }

    fn host_at(&self, address: SocketAddr) -> Option<InstanceId> {
        let id = u32::from(match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => return None,
        });
        self.hosts.contains_key(&id).then_some(id)
    }

    fn is_cut(&self, a: InstanceId, b: InstanceId) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    // Instances.

    /// Feeds an input to an instance; a paused one gets it when it wakes.
    fn feed(&mut self, id: InstanceId, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.paused_until > now {
            let (life, wait) = (host.life, host.paused_until.saturating_sub(now));
            self.after(wait, Event::Deliver { id, life, input: Box::new(input) });
            return;
        }
        let caller = match &input {
            Input::CallerPacket { service, caller } => Some((*service, *caller)),
            Input::ForwardedPacket(head) => Some((head.service, head.caller)),
            _ => None,
        };
        let answered = match &input {
            Input::TargetPacket { target, .. } => Some(*target),
            _ => None,
        };
        let mut out = Vec::new();
        let label =
            self.trace.filter(|trace| caller.is_some_and(|(_, caller)| caller == *trace)).map(|_| format!("{input:?}"));
        host.node.handle(now, input, &mut out);
        if let Some(label) = label {
            let view: Vec<InstanceId> = host.node.view().serving().iter().map(|seat| seat.id).collect();
            println!("{now:?} {id} {view:?}: {label} -> {out:?}");
        }
        for output in out {
            self.carry_out(id, output, caller, answered);
        }
    }

    fn carry_out(
        &mut self,
        id: InstanceId,
        output: Output,
        caller: Option<(ServiceId, SocketAddr)>,
        answered: Option<SocketAddr>,
    ) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let life = host.life;
        match output {
            Output::Packet(fate) => self.follow(id, fate, caller, answered),
            Output::ToPeer { address, envelope } => self.transmit(Event::Message { address, from: id, envelope }),
            Output::ReadPlatform(read) => {
                host.watches.push(read);
                if read.wait.is_zero() || self.platform_down || self.platform_cut.contains(&id) {
                    self.answer_watch(id, read, true);
                } else {
                    self.answer_watch(id, read, false);
                }
            }
            Output::Probe { target, address } => self.probe(id, target, address),
            Output::ForwardRequest { request, to, address, head } => {
                let delay = self.delay();
                let pass = Event::Pass { from: id, life, request, address, to, head: Box::new(head) };
                self.after(delay, pass);
            }
            Output::Execute { request, attempt, address, .. } => {
                let delay = self.delay();
                self.after(delay, Event::Execute { id, life, request, attempt, target: address });
            }
            Output::Reply { request, reply } => self.reply(id, request, &reply),
            Output::ReleaseAnswer { answer } => {
                host.answers.remove(&answer);
            }
            Output::Stopped | Output::Superseded => {
                self.hosts.remove(&id);
                self.list_version += 1;
            }
            Output::Cancel { .. }
            | Output::ConnectStream { .. }
            | Output::CloseStream { .. }
            | Output::CatalogChanged
            | Output::Notice(_) => {}
        }
    }

    fn message(&mut self, address: SocketAddr, from: InstanceId, envelope: Box<Envelope>) {
        let to = self.host_at(address);
        match to {
            Some(to) if !self.is_cut(from, to) => self.feed(to, Input::PeerMessage(envelope)),
            Some(_) => {}
            None => self.feed(from, Input::PeerUnreachable { to: envelope.to }),
        }
    }

    fn forwarded(&mut self, address: SocketAddr, head: ForwardedPacketHeader) {
        if let Some(to) = self.host_at(address).filter(|to| !self.is_cut(head.from, *to)) {
            self.feed(to, Input::ForwardedPacket(head));
        }
    }

    fn follow(
        &mut self,
        id: InstanceId,
        fate: PacketAction,
        caller: Option<(ServiceId, SocketAddr)>,
        answered: Option<SocketAddr>,
    ) {
        match fate {
            PacketAction::ToTarget { local_port, target } => {
                let Some((service, caller)) = caller else { return };
                self.transmit(Event::AtTarget { target, service, caller, from: id, local_port });
            }
            PacketAction::Forward { address, head } => self.transmit(Event::Forwarded { address, head }),
            PacketAction::ToCaller { caller, .. } => {
                if let Some(target) = answered {
                    self.flow_answer(caller, target, id);
                }
            }
            PacketAction::Drop(_) => {}
        }
    }

    // The platform.

    fn wake_watches(&mut self) {
        let waiting: Vec<(InstanceId, PlatformRead)> =
            self.hosts.iter().flat_map(|(id, host)| host.watches.iter().map(|read| (*id, *read))).collect();
        for (id, read) in waiting {
            self.answer_watch(id, read, false);
        }
    }

    /// Answers a read if there is news, or in any case when `now_or_never`.
    fn answer_watch(&mut self, id: InstanceId, read: PlatformRead, now_or_never: bool) {
        let failed = self.platform_down || self.platform_cut.contains(&id);
        let version = match read.resource {
            Resource::Set => self.set.revision,
            Resource::Instances => self.list_version,
        };
        if !failed && version == read.after && !now_or_never {
            return;
        }
        let input = if failed {
            Input::PlatformFailed(read.resource)
        } else if version == read.after {
            match read.resource {
                Resource::Set => Input::SetUnchanged,
                Resource::Instances => Input::InstancesUnchanged,
            }
        } else {
            match read.resource {
                Resource::Set => Input::SetRead(Arc::new(CheckedSet::new(self.set.clone()).unwrap())),
                Resource::Instances => Input::InstancesRead(self.instance_list()),
            }
        };
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.watches.retain(|waiting| *waiting != read);
        let life = host.life;
        let delay = self.delay();
        self.after(delay, Event::Deliver { id, life, input: Box::new(input) });
    }

    fn instance_list(&self) -> InstanceList {
        let entry = |id: &InstanceId| ListedInstance {
            id: *id,
            failure_domain: sets::domain_of(*id).to_owned(),
            control: sets::instance_address(*id, 1),
            forward: sets::instance_address(*id, 2),
            leaving: false,
        };
        InstanceList { version: self.list_version, instances: self.hosts.keys().map(entry).collect() }
    }

    // Targets.

    fn probe(&mut self, id: InstanceId, target: TargetId, address: SocketAddr) {
        let Some(host) = self.hosts.get(&id) else { return };
        let state = self.targets.get(&address).map(|state| state.cold);
        let report = state.map(|cold| if cold { HealthReport::Cold } else { HealthReport::Warm });
        let life = host.life;
        let delay = self.delay() * 2;
        self.after(delay, Event::Deliver { id, life, input: Box::new(Input::Probed { target, report, load: None }) });
    }

    fn note_arrival(&mut self, address: SocketAddr) {
        let out_since = self.targets.get(&address).and_then(|state| state.out_since);
        let reachable = !self.platform_down && self.cuts.is_empty();
        let late = out_since.is_some_and(|since| self.now > since.max(self.news_since) + OUT_GRACE);
        if late && reachable {
            self.never.late_after_out += 1;
        }
    }

    fn at_target(
        &mut self,
        target: SocketAddr,
        service: ServiceId,
        caller: SocketAddr,
        from: InstanceId,
        local_port: LocalPort,
    ) {
        self.note_arrival(target);
        let group = self.set.target_groups.iter().find(|group| group.targets.iter().any(|t| t.address == target));
        let own = self.set.services.iter().find(|object| object.id() == service);
        let member = group.and_then(|group| group.targets.iter().find(|member| member.address == target));
        let domain = member.map(|member| member.failure_domain.clone());
        if group.map(|group| &group.name) != own.map(|service| &service.target_group) {
            self.never.wrong_service += 1;
        }
        if let Some(flow) = self.callers.flows.get_mut(&caller) {
            flow.holder = Some(from);
            if let Some(domain) = domain {
                flow.homes.insert(domain);
            }
        }
        let Some(host) = self.hosts.get(&from) else { return };
        let life = host.life;
        let input = Box::new(Input::TargetPacket { target, local_port });
        self.transmit(Event::Deliver { id: from, life, input });
    }

    fn execute(&mut self, id: InstanceId, life: u64, request: RequestId, attempt: AttemptNumber, target: SocketAddr) {
        self.note_arrival(target);
        let Some((_, order)) = self.hosts.get(&id).and_then(|host| host.origins.get(&request)).copied() else {
            return;
        };
        let Some(state) = self.targets.get_mut(&target) else { return };
        let limit = if state.cold { 1 } else { 2 };
        if state.running >= limit {
            let count = if state.cold { &mut self.never.cold_overloads } else { &mut self.never.slot_overruns };
            *count += 1;
            let refusal = Refusal { verdict: Verdict::NotRun, reason: Reason::RefusedByTarget };
            let input = Box::new(Input::TargetFailed { request, attempt, refusal });
            return self.after(Duration::from_millis(1), Event::Deliver { id, life, input });
        }
        state.running += 1;
        let work = if state.cold { (20, 60) } else { (5, 15) };
        let work = Duration::from_millis(self.rng.random_range(work.0..work.1));
        if let Some(order) = self.callers.orders.get_mut(&order) {
            order.runs += 1;
        }
        self.after(work, Event::TargetDone { id, life, request, attempt, target });
    }

    fn target_done(
        &mut self,
        id: InstanceId,
        life: u64,
        request: RequestId,
        attempt: AttemptNumber,
        target: SocketAddr,
    ) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.running -= 1;
            state.answered += 1;
            state.cold &= state.answered < ANSWERS_TO_WARM;
        }
        let input = match self.answer_of(id, request) {
            Some(answer) => Input::TargetAnswered { request, attempt, answer },
            None => return,
        };
        let delay = self.delay();
        self.after(delay, Event::Deliver { id, life, input: Box::new(input) });
    }

    /// Makes the answer to the order that an instance's request carries.
    fn answer_of(&mut self, id: InstanceId, request: RequestId) -> Option<StoredAnswer> {
        let order = self.hosts.get(&id)?.origins.get(&request)?.1;
        self.keep_answer(id, order)
    }

    fn keep_answer(&mut self, id: InstanceId, order: OrderId) -> Option<StoredAnswer> {
        self.next_event += 1;
        let answer = self.next_event;
        self.hosts.get_mut(&id)?.answers.insert(answer, order);
        Some(StoredAnswer { id: answer, size: 100 })
    }

    // Requests.

    fn pass(
        &mut self,
        from: InstanceId,
        life: u64,
        request: RequestId,
        address: SocketAddr,
        to: InstanceId,
        head: ForwardedRequestHeader,
    ) {
        let Some(order) = self.hosts.get(&from).and_then(|host| host.origins.get(&request)).map(|(_, order)| *order)
        else {
            return;
        };
        match self.host_at(address) {
            Some(reached) if self.is_cut(from, reached) => {}
            Some(reached) if reached == to => {
                let origin = Origin::Peer { from, life, request };
                self.admit(reached, origin, order, |request| Input::ForwardedRequestArrived { request, from, head });
            }
            _ => {
                let input = Box::new(Input::ForwardedRequestFailed { request, verdict: Verdict::NotRun });
                self.after(Duration::from_millis(1), Event::Deliver { id: from, life, input });
            }
        }
    }

    fn admit(&mut self, id: InstanceId, origin: Origin, order: OrderId, input: impl FnOnce(RequestId) -> Input) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.next_request += 1;
        let request = host.next_request;
        host.origins.insert(request, (origin, order));
        self.feed(id, input(request));
    }

    fn reply(&mut self, id: InstanceId, request: RequestId, reply: &Reply) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some((origin, order)) = host.origins.remove(&request) else { return };
        let answered = match reply {
            Reply::Answer { answer, .. } => host.answers.get(answer).copied(),
            Reply::Refuse { .. } => None,
        };
        match origin {
            Origin::Caller { order, tries } => self.order_reply(order, tries, reply, answered),
            Origin::Peer { from, life, request } => {
                if self.is_cut(id, from) || !self.is_life(from, life) {
                    return;
                }
                let (result, free) = match reply {
                    Reply::Answer { free, .. } => {
                        let Some(answer) = self.keep_answer(from, answered.unwrap_or(order)) else { return };
                        (Ok(answer), *free)
                    }
                    Reply::Refuse { refusal, free, .. } => (Err(*refusal), *free),
                };
                let input = Box::new(Input::ForwardedRequestEnded { request, result, free });
                let delay = self.delay();
                self.after(delay, Event::Deliver { id: from, life, input });
            }
        }
    }

    /// Picks an instance as the fabric does: any but those that have been stopping for a while.
    fn random_entry(&mut self) -> Option<InstanceId> {
        let stopping = |host: &&Host| host.stopping.is_some_and(|since| self.now > since + FABRIC_LAG);
        let known = self.hosts.iter().filter(|(_, host)| !stopping(host)).map(|(id, _)| *id);
        known.choose(&mut self.rng)
    }

    fn try_order(&mut self, order: OrderId) {
        let Some(entry) = self.random_entry() else { return };
        let Some(state) = self.callers.orders.get_mut(&order) else { return };
        state.tries += 1;
        let (tries, ticket) = (state.tries, state.ticket.clone());
        let service = self.set.services[0].id();
        let origin = Origin::Caller { order, tries };
        self.admit(entry, origin, order, |request| Input::RequestArrived {
            request,
            service,
            idempotent: false,
            ticket,
            timeout: None,
        });
        self.after(CALLER_PATIENCE, Event::OrderSilent { order, tries });
    }

    fn order_reply(&mut self, id: OrderId, tries: u32, reply: &Reply, answered: Option<OrderId>) {
        let Some(order) = self.callers.orders.get_mut(&id) else { return };
        if order.tries != tries || order.end.is_some() {
            return;
        }
        match reply {
            Reply::Answer { .. } => {
                assert_eq!(answered, Some(id), "order {id} got the answer to another");
                order.end = Some(OrderEnd::Answered);
                return;
            }
            Reply::Refuse { refusal, ticket, .. } => {
                if refusal.verdict == Verdict::NotRun {
                    assert_eq!(order.runs, 0, "order {id} was refused as not run ({}) but ran", refusal.reason);
                    order.ticket = ticket.clone().or(order.ticket.take());
                } else {
                    order.doubtful = true;
                    order.doubts.push(refusal.reason);
                }
            }
        }
        self.retry(id);
    }

    fn order_silent(&mut self, id: OrderId, tries: u32) {
        let Some(order) = self.callers.orders.get_mut(&id) else { return };
        if order.tries == tries && order.end.is_none() {
            order.doubtful = true;
            self.retry(id);
        }
    }

    fn retry(&mut self, id: OrderId) {
        let Some(order) = self.callers.orders.get_mut(&id) else { return };
        if order.tries >= MAX_TRIES {
            order.end = Some(if order.doubtful { OrderEnd::Unknown } else { OrderEnd::NotRun });
            return;
        }
        self.after(Duration::from_millis(200), Event::TryOrder { order: id });
    }

    // Flows.

    fn flow_packet(&mut self, caller: SocketAddr) {
        let service = self.set.services[1].id();
        let now = self.now;
        let awake: Vec<InstanceId> =
            self.hosts.iter().filter(|(_, host)| host.paused_until <= now).map(|(id, _)| *id).collect();
        if let Some(entry) = awake.into_iter().choose(&mut self.rng) {
            if let Some(flow) = self.callers.flows.get_mut(&caller) {
                flow.sent += 1;
            }
            self.feed(entry, Input::CallerPacket { service, caller });
        }
        self.after(FLOW_PACE, Event::FlowPacket { caller });
    }

    fn flow_answer(&mut self, caller: SocketAddr, target: SocketAddr, by: InstanceId) {
        let now = self.now;
        let Some(flow) = self.callers.flows.get_mut(&caller) else { return };
        flow.answered += 1;
        flow.last_answer = now;
        let out = self.targets.get(&target).is_some_and(|state| state.out_since.is_some());
        match flow.target {
            None => {
                flow.target = Some(target);
                flow.given_up = out;
            }
            Some(first) if first != target => {
                let split = !self.cuts.is_empty();
                let excused = flow.excused || split || now < flow.excused_until;
                if !flow.given_up && !excused && flow.broken.is_none() {
                    flow.broken = Some(format!("{now:?}: answered by {target} instead of {first}, through {by}"));
                }
                // From here on it is another flow, with the same promises.
                flow.target = Some(target);
                flow.given_up = out;
                flow.excused = false;
            }
            Some(_) => {}
        }
    }

    // What tests ask.

    /// Returns the instances that run.
    pub fn ids(&self) -> Vec<InstanceId> {
        self.hosts.keys().copied().collect()
    }

    /// Gives an instance's core.
    pub fn node(&self, id: InstanceId) -> &Node {
        &self.hosts[&id].node
    }

    /// Gives an instance's state.
    pub fn dump(&self, id: InstanceId) -> hawthornshift_core::dump::Dump {
        self.hosts[&id].node.dump(self.now)
    }

    /// Tells whether all instances hold the published set and the same view.
    pub fn has_converged(&self) -> bool {
        let mut views = self.hosts.values().map(|host| host.node.view().digest());
        let first = views.next();
        let same = views.all(|view| Some(view) == first);
        same && self.hosts.values().all(|host| host.node.catalog().revision() == self.set.revision)
    }

    /// Returns the flows that broke although nothing but planned changes touched them.
    pub fn broken_flows(&self) -> Vec<String> {
        let broken = self.callers.flows.values().filter_map(|flow| Some((flow.caller, flow.broken.as_ref()?)));
        broken.map(|(caller, how)| format!("{caller}: {how}")).collect()
    }

    /// Checks every order's two ledgers against each other.
    pub fn check_orders(&self) {
        for (id, order) in &self.callers.orders {
            assert!(order.runs <= 1, "order {id} ran {} times: {order:?}", order.runs);
            match order.end {
                Some(OrderEnd::Answered) => assert_eq!(order.runs, 1, "order {id} was answered but never ran"),
                Some(OrderEnd::NotRun) => assert_eq!(order.runs, 0, "order {id} was refused as not run but ran"),
                Some(OrderEnd::Unknown) | None => {}
            }
        }
    }
}
