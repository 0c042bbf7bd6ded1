//! The simulated deployment: nodes, network, platform, targets and callers, driven by one queue of timed events.

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
use super::callers::OrderId;
use super::callers::OrderOutcome;
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

/// Number of answers after which a cold target reports itself as warm.
const ANSWERS_TO_WARM: u32 = 10;
/// Time between two packets of a flow.
const FLOW_PACKET_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of attempts for one order.
const MAX_ATTEMPTS: u32 = 8;
/// Time after which a caller that has received no reply retries.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which the fabric stops sending requests to an instance that is stopping.
const FABRIC_DETECTION_DELAY: Duration = Duration::from_millis(500);
/// Time after the end of a partition within which instances that hold the same flow must have agreed on its target.
const FLOW_MERGE_LIMIT: Duration = Duration::from_secs(10);
/// Time after which a failure domain that was taken out of service must not receive packets or requests any more.
const OUT_DOMAIN_GRACE: Duration = Duration::from_secs(3);

/// Delay and loss of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Shortest and longest delay in milliseconds; messages are reordered if they differ.
    pub delay_ms: (u64, u64),
    /// Probability from 0 to 1 that a message or packet is lost.
    pub drop: f64,
    /// Probability from 0 to 1 that a message or packet is delivered twice.
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
        epoch: u64,
    },
    Deliver {
        id: InstanceId,
        epoch: u64,
        input: Box<Input>,
    },
    Message {
        address: SocketAddr,
        from: InstanceId,
        envelope: Box<Envelope>,
    },
    ForwardedPacket {
        address: SocketAddr,
        head: ForwardedPacketHeader,
    },
    PacketAtTarget {
        target: SocketAddr,
        service: ServiceId,
        caller: SocketAddr,
        from: InstanceId,
        local_port: LocalPort,
    },
    ForwardedRequest {
        from: InstanceId,
        epoch: u64,
        request: RequestId,
        address: SocketAddr,
        to: InstanceId,
        head: Box<ForwardedRequestHeader>,
    },
    Execute {
        id: InstanceId,
        epoch: u64,
        request: RequestId,
        attempt: AttemptNumber,
        target: SocketAddr,
    },
    ExecutionFinished {
        id: InstanceId,
        epoch: u64,
        request: RequestId,
        attempt: AttemptNumber,
        target: SocketAddr,
    },
    AttemptOrder {
        order: OrderId,
    },
    OrderTimeout {
        order: OrderId,
        attempts: u32,
    },
    FlowPacket {
        caller: SocketAddr,
    },
}

/// Sender of a request that an instance handles.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Caller { order: OrderId, attempts: u32 },
    Peer { from: InstanceId, epoch: u64, request: RequestId },
}

struct Host {
    node: Node,
    /// Number of the start of this instance; events for an earlier one are discarded.
    epoch: u64,
    paused_until: Timestamp,
    /// Time at which a planned stop began.
    stopping: Option<Timestamp>,
    next_request: RequestId,
    origins: BTreeMap<RequestId, (Origin, OrderId)>,
    answers: BTreeMap<u64, OrderId>,
    pending_reads: Vec<PlatformRead>,
}

#[derive(Clone, Debug, Default)]
struct TargetState {
    cold: bool,
    answered: u32,
    running: u32,
    out_since: Option<Timestamp>,
}

/// Counts of violations that the targets observed; all must stay zero.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    /// Requests in excess of the one that a cold target can run at a time.
    pub cold_overloads: u64,
    /// Requests in excess of the slots of a warm target.
    pub slot_overruns: u64,
    /// Packets that arrived at a target of another service.
    pub wrong_service: u64,
    /// Packets and requests that arrived in a failure domain more than `OUT_DOMAIN_GRACE` after it was taken out of
    /// service, while all instances could reach each other and the platform.
    pub sent_to_out_domain: u64,
}

/// The simulation, with all of its state.
pub struct World {
    pub now: Timestamp,
    pub callers: Callers,
    pub violations: Violations,
    pub network: Network,
    pub set: PublishedSet,
    /// Caller of a flow whose inputs and outputs at the nodes are printed, to debug a failed test.
    pub traced_flow: Option<SocketAddr>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    rng: SmallRng,
    hosts: BTreeMap<InstanceId, Host>,
    last_epoch: u64,
    list_version: u64,
    platform_down: bool,
    disconnected_pairs: BTreeSet<(InstanceId, InstanceId)>,
    disconnected_from_platform: BTreeSet<InstanceId>,
    /// Time since which the platform has been up and reachable from all instances, if it is now.
    platform_reachable_since: Timestamp,
    targets: BTreeMap<SocketAddr, TargetState>,
    tuning: Tuning,
}

impl World {
    /// Starts `count` instances with the default tuning, on a platform that publishes the test set.
    pub fn new(seed: u64, count: u32) -> Self {
        Self::with_tuning(seed, count, Tuning::default())
    }

    /// Starts `count` instances with the given tuning, on a platform that publishes the test set.
    pub fn with_tuning(seed: u64, count: u32, tuning: Tuning) -> Self {
        let mut world = Self {
            now: Timestamp::from_secs(1),
            callers: Callers::default(),
            violations: Violations::default(),
            network: Network::default(),
            set: sets::set(),
            traced_flow: None,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            last_epoch: 0,
            list_version: 1,
            platform_down: false,
            disconnected_pairs: BTreeSet::new(),
            disconnected_from_platform: BTreeSet::new(),
            platform_reachable_since: Timestamp::ZERO,
            targets: BTreeMap::new(),
            tuning,
        };
        world.add_new_targets();
        for id in 0..count {
            world.start(id);
        }
        world
    }

    fn add_new_targets(&mut self) {
        for group in &self.set.target_groups {
            for target in &group.targets {
                let cold = group.name == sets::HTTP_SERVICE;
                let new_target = TargetState { cold, ..TargetState::default() };
                self.targets.entry(target.address).or_insert(new_target);
            }
        }
    }

    // Planned changes and faults.

    /// Starts an instance, under a new incarnation if it has run before.
    pub fn start(&mut self, id: InstanceId) {
        self.last_epoch += 1;
        let identity = Identity {
            id,
            incarnation: 1_000 + self.last_epoch,
            failure_domain: sets::domain_of(id).to_owned(),
            control: sets::instance_address(id, 1),
            forward: sets::instance_address(id, 2),
        };
        let node = Node::new(self.now, identity, self.tuning.clone(), self.rng.random(), self.rng.random());
        let host = Host {
            node,
            epoch: self.last_epoch,
            paused_until: Timestamp::ZERO,
            stopping: None,
            next_request: 0,
            origins: BTreeMap::new(),
            answers: BTreeMap::new(),
            pending_reads: Vec::new(),
        };
        self.hosts.insert(id, host);
        self.list_version += 1;
        self.schedule(Duration::ZERO, Event::Tick { id, epoch: self.last_epoch });
        self.answer_pending_reads();
    }

    /// Begins a planned stop of an instance.
    pub fn stop(&mut self, id: InstanceId) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.stopping.get_or_insert(now);
            let epoch = host.epoch;
            self.schedule(Duration::ZERO, Event::Deliver { id, epoch, input: Box::new(Input::Stop) });
        }
    }

    /// Removes an instance at once, without a planned stop.
    pub fn crash(&mut self, id: InstanceId) {
        let Some(host) = self.hosts.remove(&id) else { return };
        self.list_version += 1;
        self.allow_breaks(id);
        // The connections break over which peers have forwarded requests to it.
        for (origin, _) in host.origins.into_values() {
            let Origin::Peer { from, epoch, request } = origin else { continue };
            let input = Box::new(Input::ForwardedRequestFailed { request, verdict: Verdict::MayHaveRun });
            self.schedule(Duration::from_millis(1), Event::Deliver { id: from, epoch, input });
        }
    }

    /// Pauses an instance; it handles its inputs when the pause ends.
    pub fn pause(&mut self, id: InstanceId, time: Duration) {
        let until = self.now + time;
        if let Some(host) = self.hosts.get_mut(&id) {
            host.paused_until = host.paused_until.max(until);
            self.allow_breaks(id);
        }
    }

    /// Disconnects two instances from each other.
    pub fn disconnect(&mut self, a: InstanceId, b: InstanceId) {
        self.disconnected_pairs.insert((a.min(b), a.max(b)));
    }

    /// Partitions the instances of a failure domain off from all others and from the platform.
    pub fn partition_domain(&mut self, domain: &str) {
        let ids: Vec<InstanceId> = (0..16).collect();
        let (inside, outside): (Vec<InstanceId>, Vec<InstanceId>) =
            ids.into_iter().partition(|id| sets::domain_of(*id) == domain);
        for a in &inside {
            for b in &outside {
                self.disconnect(*a, *b);
            }
            self.disconnected_from_platform.insert(*a);
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        let healed = !self.disconnected_pairs.is_empty();
        self.disconnected_pairs.clear();
        self.disconnected_from_platform.clear();
        self.platform_reachable_since = self.now;
        for flow in self.callers.flows.values_mut().filter(|_| healed) {
            flow.break_allowed_until = self.now + FLOW_MERGE_LIMIT;
        }
    }

    /// Sets whether the platform is down.
    pub fn set_platform_down(&mut self, down: bool) {
        self.platform_down = down;
        self.platform_reachable_since = self.now;
        self.answer_pending_reads();
    }

    /// Publishes the current set under the next revision.
    pub fn publish(&mut self) {
        self.set.revision += 1;
        CheckedSet::new(self.set.clone()).expect("a test published an invalid set");
        self.add_new_targets();
        self.answer_pending_reads();
    }

    /// Publishes a new state of a failure domain.
    pub fn set_domain_state(&mut self, name: &str, state: DomainState) {
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
        // If a failure domain returns quickly, only some instances have seen it out of service. The flows that these
        // abandoned may still change their target after its return, but no other flows may.
        let has_returned = state == DomainState::InService;
        for flow in self.callers.flows.values_mut() {
            let inside = flow.target.is_some_and(|target| addresses.contains(&target));
            flow.is_abandoned |= inside && !has_returned;
            if inside || flow.target_domains.contains(name) {
                flow.break_allowed_until = self.now + OUT_DOMAIN_GRACE;
            }
        }
    }

    /// Returns the addresses of the targets in a failure domain.
    pub fn addresses_in(&self, domain: &str) -> Vec<SocketAddr> {
        let targets = self.set.target_groups.iter().flat_map(|group| &group.targets);
        targets.filter(|target| target.failure_domain == domain).map(|target| target.address).collect()
    }

    /// Ends all permissions to change the target: any later change counts as a broken flow.
    pub fn forbid_breaks(&mut self) {
        for flow in self.callers.flows.values_mut() {
            flow.is_break_allowed = false;
            flow.break_allowed_until = Timestamp::ZERO;
            flow.is_abandoned = false;
        }
    }

    /// Returns the target of each flow, ordered by the caller's address.
    pub fn flow_targets(&self) -> Vec<Option<SocketAddr>> {
        self.callers.flows.values().map(|flow| flow.target).collect()
    }

    /// Makes every HTTP target cold, as after a restart.
    pub fn make_targets_cold(&mut self) {
        for target in self.set.target_groups[0].targets.clone() {
            if let Some(state) = self.targets.get_mut(&target.address) {
                state.cold = true;
                state.answered = 0;
            }
        }
    }

    /// Allows the flows of an instance that crashed or was paused to break, and those without a holder yet.
    fn allow_breaks(&mut self, id: InstanceId) {
        for flow in self.callers.flows.values_mut().filter(|flow| flow.holder == Some(id) || flow.holder.is_none()) {
            flow.is_break_allowed = true;
        }
    }

    // Callers.

    /// Sends a non-idempotent request, and retries it until it is answered or `MAX_ATTEMPTS` is reached.
    pub fn send_order(&mut self, order: OrderId) {
        self.callers.orders.insert(order, Order::default());
        self.schedule(Duration::ZERO, Event::AttemptOrder { order });
    }

    /// Opens a flow that sends a packet every `FLOW_PACKET_INTERVAL` until the simulation ends.
    pub fn open_flow(&mut self, number: u32) {
        let [_, a, b, c] = number.to_be_bytes();
        let caller = SocketAddr::from((Ipv4Addr::new(192, a, b, c), 5_000));
        let flow = Flow {
            caller,
            target: None,
            holder: None,
            sent: 0,
            answered: 0,
            last_answer: self.now,
            is_break_allowed: false,
            break_allowed_until: Timestamp::ZERO,
            target_domains: BTreeSet::new(),
            broken: None,
            is_abandoned: false,
        };
        self.callers.flows.insert(caller, flow);
        self.schedule(Duration::ZERO, Event::FlowPacket { caller });
    }

    // Events and the network.

    /// Advances the simulation by `time`, and handles all events that are due by then.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn delay(&mut self) -> Duration {
        let (min_ms, max_ms) = self.network.delay_ms;
        Duration::from_micros(self.rng.random_range(min_ms * 1_000..=max_ms * 1_000))
    }

    /// Schedules an event that crosses the network, which may delay, lose or duplicate it.
    fn transmit(&mut self, event: Event) {
        if self.rng.random_bool(self.network.drop) {
            return;
        }
        if self.rng.random_bool(self.network.duplicate) {
            let delay = self.delay();
            self.schedule(delay, event.clone());
        }
        let delay = self.delay();
        self.schedule(delay, event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick { id, epoch } => {
                if self.is_current(id, epoch) {
                    self.handle_input(id, Input::Tick);
                    self.schedule(TICK_PERIOD, Event::Tick { id, epoch });
                }
            }
            Event::Deliver { id, epoch, input } => {
                if self.is_current(id, epoch) {
                    self.handle_input(id, *input);
                }
            }
            Event::Message { address, from, envelope } => self.deliver_message(address, from, envelope),
            Event::ForwardedPacket { address, head } => self.deliver_forwarded_packet(address, head),
            Event::PacketAtTarget { target, service, caller, from, local_port } => {
                self.deliver_to_target(target, service, caller, from, local_port);
            }
            Event::ForwardedRequest { from, epoch, request, address, to, head } => {
                self.deliver_forwarded_request(from, epoch, request, address, to, *head);
            }
            Event::Execute { id, epoch, request, attempt, target } => self.execute(id, epoch, request, attempt, target),
            Event::ExecutionFinished { id, epoch, request, attempt, target } => {
                self.finish_execution(id, epoch, request, attempt, target);
            }
            Event::AttemptOrder { order } => self.attempt_order(order),
            Event::OrderTimeout { order, attempts } => self.handle_order_timeout(order, attempts),
            Event::FlowPacket { caller } => self.send_flow_packet(caller),
        }
    }

    fn is_current(&self, id: InstanceId, epoch: u64) -> bool {
        self.hosts.get(&id).is_some_and(|host| host.epoch == epoch)
    }

    fn host_at(&self, address: SocketAddr) -> Option<InstanceId> {
        let id = u32::from(match address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => return None,
        });
        self.hosts.contains_key(&id).then_some(id)
    }

    fn is_disconnected(&self, a: InstanceId, b: InstanceId) -> bool {
        self.disconnected_pairs.contains(&(a.min(b), a.max(b)))
    }

    // Instances.

    /// Passes an input to an instance's node and handles the outputs. A paused instance receives the input when its
    /// pause ends.
    fn handle_input(&mut self, id: InstanceId, input: Input) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if host.paused_until > now {
            let (epoch, wait) = (host.epoch, host.paused_until.saturating_sub(now));
            self.schedule(wait, Event::Deliver { id, epoch, input: Box::new(input) });
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
        let label = self
            .traced_flow
            .filter(|traced| caller.is_some_and(|(_, caller)| caller == *traced))
            .map(|_| format!("{input:?}"));
        host.node.handle(now, input, &mut out);
        if let Some(label) = label {
            let view: Vec<InstanceId> = host.node.view().serving().iter().map(|instance| instance.id).collect();
            println!("{now:?} {id} {view:?}: {label} -> {out:?}");
        }
        for output in out {
            self.handle_output(id, output, caller, answered);
        }
    }

    fn handle_output(
        &mut self,
        id: InstanceId,
        output: Output,
        caller: Option<(ServiceId, SocketAddr)>,
        answered: Option<SocketAddr>,
    ) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let epoch = host.epoch;
        match output {
            Output::Packet(action) => self.handle_packet_action(id, action, caller, answered),
            Output::ToPeer { address, envelope } => self.transmit(Event::Message { address, from: id, envelope }),
            Output::ReadPlatform(read) => {
                host.pending_reads.push(read);
                if read.wait.is_zero() || self.platform_down || self.disconnected_from_platform.contains(&id) {
                    self.answer_read(id, read, true);
                } else {
                    self.answer_read(id, read, false);
                }
            }
            Output::CheckHealth { target, address } => self.check_health(id, target, address),
            Output::ForwardRequest { request, to, address, head } => {
                let delay = self.delay();
                let event = Event::ForwardedRequest { from: id, epoch, request, address, to, head: Box::new(head) };
                self.schedule(delay, event);
            }
            Output::Execute { request, attempt, address, .. } => {
                let delay = self.delay();
                self.schedule(delay, Event::Execute { id, epoch, request, attempt, target: address });
            }
            Output::Reply { request, reply } => self.handle_reply(id, request, &reply),
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

    fn deliver_message(&mut self, address: SocketAddr, from: InstanceId, envelope: Box<Envelope>) {
        let to = self.host_at(address);
        match to {
            Some(to) if !self.is_disconnected(from, to) => self.handle_input(to, Input::PeerMessage(envelope)),
            Some(_) => {}
            None => self.handle_input(from, Input::PeerUnreachable { to: envelope.to }),
        }
    }

    fn deliver_forwarded_packet(&mut self, address: SocketAddr, head: ForwardedPacketHeader) {
        if let Some(to) = self.host_at(address).filter(|to| !self.is_disconnected(head.from, *to)) {
            self.handle_input(to, Input::ForwardedPacket(head));
        }
    }

    fn handle_packet_action(
        &mut self,
        id: InstanceId,
        action: PacketAction,
        caller: Option<(ServiceId, SocketAddr)>,
        answered: Option<SocketAddr>,
    ) {
        match action {
            PacketAction::ToTarget { local_port, target } => {
                let Some((service, caller)) = caller else { return };
                self.transmit(Event::PacketAtTarget { target, service, caller, from: id, local_port });
            }
            PacketAction::Forward { address, head } => self.transmit(Event::ForwardedPacket { address, head }),
            PacketAction::ToCaller { caller, .. } => {
                if let Some(target) = answered {
                    self.handle_flow_answer(caller, target, id);
                }
            }
            PacketAction::Drop(_) => {}
        }
    }

    // The platform.

    fn answer_pending_reads(&mut self) {
        let waiting: Vec<(InstanceId, PlatformRead)> =
            self.hosts.iter().flat_map(|(id, host)| host.pending_reads.iter().map(|read| (*id, *read))).collect();
        for (id, read) in waiting {
            self.answer_read(id, read, false);
        }
    }

    /// Answers a read if the resource has changed or the platform is unreachable, or in any case if `immediate`.
    fn answer_read(&mut self, id: InstanceId, read: PlatformRead, immediate: bool) {
        let failed = self.platform_down || self.disconnected_from_platform.contains(&id);
        let version = match read.resource {
            Resource::Set => self.set.revision,
            Resource::Instances => self.list_version,
        };
        if !failed && version == read.after && !immediate {
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
        host.pending_reads.retain(|waiting| *waiting != read);
        let epoch = host.epoch;
        let delay = self.delay();
        self.schedule(delay, Event::Deliver { id, epoch, input: Box::new(input) });
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

    fn check_health(&mut self, id: InstanceId, target: TargetId, address: SocketAddr) {
        let Some(host) = self.hosts.get(&id) else { return };
        let state = self.targets.get(&address).map(|state| state.cold);
        let report = state.map(|cold| if cold { HealthReport::Cold } else { HealthReport::Warm });
        let epoch = host.epoch;
        let delay = self.delay() * 2;
        self.schedule(
            delay,
            Event::Deliver { id, epoch, input: Box::new(Input::HealthChecked { target, report, load: None }) },
        );
    }

    fn record_arrival(&mut self, address: SocketAddr) {
        let out_since = self.targets.get(&address).and_then(|state| state.out_since);
        let reachable = !self.platform_down && self.disconnected_pairs.is_empty();
        let late =
            out_since.is_some_and(|since| self.now > since.max(self.platform_reachable_since) + OUT_DOMAIN_GRACE);
        if late && reachable {
            self.violations.sent_to_out_domain += 1;
        }
    }

    fn deliver_to_target(
        &mut self,
        target: SocketAddr,
        service: ServiceId,
        caller: SocketAddr,
        from: InstanceId,
        local_port: LocalPort,
    ) {
        self.record_arrival(target);
        let group = self.set.target_groups.iter().find(|group| group.targets.iter().any(|t| t.address == target));
        let packet_service = self.set.services.iter().find(|object| object.id() == service);
        let entry = group.and_then(|group| group.targets.iter().find(|entry| entry.address == target));
        let domain = entry.map(|entry| entry.failure_domain.clone());
        if group.map(|group| &group.name) != packet_service.map(|service| &service.target_group) {
            self.violations.wrong_service += 1;
        }
        if let Some(flow) = self.callers.flows.get_mut(&caller) {
            flow.holder = Some(from);
            if let Some(domain) = domain {
                flow.target_domains.insert(domain);
            }
        }
        let Some(host) = self.hosts.get(&from) else { return };
        let epoch = host.epoch;
        let input = Box::new(Input::TargetPacket { target, local_port });
        self.transmit(Event::Deliver { id: from, epoch, input });
    }

    fn execute(&mut self, id: InstanceId, epoch: u64, request: RequestId, attempt: AttemptNumber, target: SocketAddr) {
        self.record_arrival(target);
        let Some((_, order)) = self.hosts.get(&id).and_then(|host| host.origins.get(&request)).copied() else {
            return;
        };
        let Some(state) = self.targets.get_mut(&target) else { return };
        let limit = if state.cold { 1 } else { 2 };
        if state.running >= limit {
            let count =
                if state.cold { &mut self.violations.cold_overloads } else { &mut self.violations.slot_overruns };
            *count += 1;
            let refusal = Refusal { verdict: Verdict::NotRun, reason: Reason::RefusedByTarget };
            let input = Box::new(Input::TargetFailed { request, attempt, refusal });
            return self.schedule(Duration::from_millis(1), Event::Deliver { id, epoch, input });
        }
        state.running += 1;
        let work = if state.cold { (20, 60) } else { (5, 15) };
        let work = Duration::from_millis(self.rng.random_range(work.0..work.1));
        if let Some(order) = self.callers.orders.get_mut(&order) {
            order.runs += 1;
        }
        self.schedule(work, Event::ExecutionFinished { id, epoch, request, attempt, target });
    }

    fn finish_execution(
        &mut self,
        id: InstanceId,
        epoch: u64,
        request: RequestId,
        attempt: AttemptNumber,
        target: SocketAddr,
    ) {
        if let Some(state) = self.targets.get_mut(&target) {
            state.running -= 1;
            state.answered += 1;
            state.cold &= state.answered < ANSWERS_TO_WARM;
        }
        let input = match self.create_answer(id, request) {
            Some(answer) => Input::TargetAnswered { request, attempt, answer },
            None => return,
        };
        let delay = self.delay();
        self.schedule(delay, Event::Deliver { id, epoch, input: Box::new(input) });
    }

    /// Returns a new stored answer to the order of an instance's request, or `None` if the request is unknown.
    fn create_answer(&mut self, id: InstanceId, request: RequestId) -> Option<StoredAnswer> {
        let order = self.hosts.get(&id)?.origins.get(&request)?.1;
        self.store_answer(id, order)
    }

    fn store_answer(&mut self, id: InstanceId, order: OrderId) -> Option<StoredAnswer> {
        self.next_event += 1;
        let answer = self.next_event;
        self.hosts.get_mut(&id)?.answers.insert(answer, order);
        Some(StoredAnswer { id: answer, size: 100 })
    }

    // Requests.

    fn deliver_forwarded_request(
        &mut self,
        from: InstanceId,
        epoch: u64,
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
            Some(reached) if self.is_disconnected(from, reached) => {}
            Some(reached) if reached == to => {
                let origin = Origin::Peer { from, epoch, request };
                self.submit_request(reached, origin, order, |request| Input::ForwardedRequestArrived {
                    request,
                    from,
                    head,
                });
            }
            _ => {
                let input = Box::new(Input::ForwardedRequestFailed { request, verdict: Verdict::NotRun });
                self.schedule(Duration::from_millis(1), Event::Deliver { id: from, epoch, input });
            }
        }
    }

    fn submit_request(
        &mut self,
        id: InstanceId,
        origin: Origin,
        order: OrderId,
        input: impl FnOnce(RequestId) -> Input,
    ) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.next_request += 1;
        let request = host.next_request;
        host.origins.insert(request, (origin, order));
        self.handle_input(id, input(request));
    }

    fn handle_reply(&mut self, id: InstanceId, request: RequestId, reply: &Reply) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let Some((origin, order)) = host.origins.remove(&request) else { return };
        let answered = match reply {
            Reply::Answer { answer, .. } => host.answers.get(answer).copied(),
            Reply::Refuse { .. } => None,
        };
        match origin {
            Origin::Caller { order, attempts } => self.handle_order_reply(order, attempts, reply, answered),
            Origin::Peer { from, epoch, request } => {
                if self.is_disconnected(id, from) || !self.is_current(from, epoch) {
                    return;
                }
                let (result, free) = match reply {
                    Reply::Answer { free, .. } => {
                        let Some(answer) = self.store_answer(from, answered.unwrap_or(order)) else { return };
                        (Ok(answer), *free)
                    }
                    Reply::Refuse { refusal, free, .. } => (Err(*refusal), *free),
                };
                let input = Box::new(Input::ForwardedRequestEnded { request, result, free });
                let delay = self.delay();
                self.schedule(delay, Event::Deliver { id: from, epoch, input });
            }
        }
    }

    /// Picks a random instance, like the fabric: any but those that have been stopping for longer than
    /// `FABRIC_DETECTION_DELAY`.
    fn pick_entry_instance(&mut self) -> Option<InstanceId> {
        let is_stopping = |host: &&Host| host.stopping.is_some_and(|since| self.now > since + FABRIC_DETECTION_DELAY);
        let candidates = self.hosts.iter().filter(|(_, host)| !is_stopping(host)).map(|(id, _)| *id);
        candidates.choose(&mut self.rng)
    }

    fn attempt_order(&mut self, order: OrderId) {
        let Some(entry) = self.pick_entry_instance() else { return };
        let Some(state) = self.callers.orders.get_mut(&order) else { return };
        state.attempts += 1;
        let (attempts, ticket) = (state.attempts, state.ticket.clone());
        let service = self.set.services[0].id();
        let origin = Origin::Caller { order, attempts };
        self.submit_request(entry, origin, order, |request| Input::RequestArrived {
            request,
            service,
            idempotent: false,
            ticket,
            timeout: None,
        });
        self.schedule(CALLER_TIMEOUT, Event::OrderTimeout { order, attempts });
    }

    fn handle_order_reply(&mut self, id: OrderId, attempts: u32, reply: &Reply, answered: Option<OrderId>) {
        let Some(order) = self.callers.orders.get_mut(&id) else { return };
        if order.attempts != attempts || order.outcome.is_some() {
            return;
        }
        match reply {
            Reply::Answer { .. } => {
                assert_eq!(answered, Some(id), "order {id} received the answer to another order");
                order.outcome = Some(OrderOutcome::Answered);
                return;
            }
            Reply::Refuse { refusal, ticket, .. } => {
                if refusal.verdict == Verdict::NotRun {
                    assert_eq!(order.runs, 0, "order {id} was refused as not run ({}) but ran", refusal.reason);
                    order.ticket = ticket.clone().or(order.ticket.take());
                } else {
                    order.is_outcome_unknown = true;
                    order.unknown_reasons.push(refusal.reason);
                }
            }
        }
        self.retry(id);
    }

    fn handle_order_timeout(&mut self, id: OrderId, attempts: u32) {
        let Some(order) = self.callers.orders.get_mut(&id) else { return };
        if order.attempts == attempts && order.outcome.is_none() {
            order.is_outcome_unknown = true;
            self.retry(id);
        }
    }

    fn retry(&mut self, id: OrderId) {
        let Some(order) = self.callers.orders.get_mut(&id) else { return };
        if order.attempts >= MAX_ATTEMPTS {
            order.outcome = Some(if order.is_outcome_unknown { OrderOutcome::Unknown } else { OrderOutcome::NotRun });
            return;
        }
        self.schedule(Duration::from_millis(200), Event::AttemptOrder { order: id });
    }

    // Flows.

    fn send_flow_packet(&mut self, caller: SocketAddr) {
        let service = self.set.services[1].id();
        let now = self.now;
        let unpaused: Vec<InstanceId> =
            self.hosts.iter().filter(|(_, host)| host.paused_until <= now).map(|(id, _)| *id).collect();
        if let Some(entry) = unpaused.into_iter().choose(&mut self.rng) {
            if let Some(flow) = self.callers.flows.get_mut(&caller) {
                flow.sent += 1;
            }
            self.handle_input(entry, Input::CallerPacket { service, caller });
        }
        self.schedule(FLOW_PACKET_INTERVAL, Event::FlowPacket { caller });
    }

    fn handle_flow_answer(&mut self, caller: SocketAddr, target: SocketAddr, by: InstanceId) {
        let now = self.now;
        let Some(flow) = self.callers.flows.get_mut(&caller) else { return };
        flow.answered += 1;
        flow.last_answer = now;
        let out = self.targets.get(&target).is_some_and(|state| state.out_since.is_some());
        match flow.target {
            None => {
                flow.target = Some(target);
                flow.is_abandoned = out;
            }
            Some(first) if first != target => {
                let split = !self.disconnected_pairs.is_empty();
                let break_allowed = flow.is_break_allowed || split || now < flow.break_allowed_until;
                if !flow.is_abandoned && !break_allowed && flow.broken.is_none() {
                    flow.broken = Some(format!("{now:?}: answered by {target} instead of {first}, through {by}"));
                }
                // The flow counts as a new one from here on, with the same guarantees.
                flow.target = Some(target);
                flow.is_abandoned = out;
                flow.is_break_allowed = false;
            }
            Some(_) => {}
        }
    }

    // Accessors and checks for tests.

    /// Returns the ids of the running instances.
    pub fn ids(&self) -> Vec<InstanceId> {
        self.hosts.keys().copied().collect()
    }

    /// Returns an instance's node.
    ///
    /// # Panics
    ///
    /// Panics if the instance does not run.
    pub fn node(&self, id: InstanceId) -> &Node {
        &self.hosts[&id].node
    }

    /// Returns a dump of an instance's state.
    ///
    /// # Panics
    ///
    /// Panics if the instance does not run.
    pub fn dump(&self, id: InstanceId) -> hawthornshift_core::dump::Dump {
        self.hosts[&id].node.dump(self.now)
    }

    /// Returns whether all instances have adopted the published set and have the same view.
    pub fn has_converged(&self) -> bool {
        let mut views = self.hosts.values().map(|host| host.node.view().digest());
        let first = views.next();
        let same = views.all(|view| Some(view) == first);
        same && self.hosts.values().all(|host| host.node.catalog().revision() == self.set.revision)
    }

    /// Returns a description of each flow that changed its target when it was not allowed to.
    pub fn broken_flows(&self) -> Vec<String> {
        let broken = self.callers.flows.values().filter_map(|flow| Some((flow.caller, flow.broken.as_ref()?)));
        broken.map(|(caller, how)| format!("{caller}: {how}")).collect()
    }

    /// Compares the outcome that each order's caller received with the number of times that targets ran the order.
    ///
    /// # Panics
    ///
    /// Panics if an order ran twice, was answered but never ran, or ran although it was refused as not run.
    pub fn check_orders(&self) {
        for (id, order) in &self.callers.orders {
            assert!(order.runs <= 1, "order {id} ran {} times: {order:?}", order.runs);
            match order.outcome {
                Some(OrderOutcome::Answered) => assert_eq!(order.runs, 1, "order {id} was answered but never ran"),
                Some(OrderOutcome::NotRun) => assert_eq!(order.runs, 0, "order {id} was refused as not run but ran"),
                Some(OrderOutcome::Unknown) | None => {}
            }
        }
    }
}
