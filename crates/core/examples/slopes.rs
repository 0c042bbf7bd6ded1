//! Measures what each part of a node costs at several sizes, for `docs/CAPACITY.md`.
//!
//! Run with `cargo run --release -p hawthornshift-core --example slopes`. Times are of this machine; what counts are
//! the slopes from size to size. It drives nodes without sockets: what sockets and HTTP add is measured elsewhere.

#[path = "../benches/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use support::DOMAINS;
use support::address;
use support::caller;
use support::checked;
use support::node;
use support::serving_node;
use support::set;

use hawthornshift_core::Catalog;
use hawthornshift_core::Input;
use hawthornshift_core::Node;
use hawthornshift_core::Output;
use hawthornshift_core::Timestamp;
use hawthornshift_core::event::HealthReport;
use hawthornshift_core::event::InstanceList;
use hawthornshift_core::event::ListedInstance;
use hawthornshift_core::event::PlatformRead;
use hawthornshift_core::event::Resource;
use hawthornshift_core::message::Envelope;
use hawthornshift_core::message::PeerMessage;
use hawthornshift_core::node::TICK;
use hawthornshift_core::view::Seat;
use hawthornshift_core::view::View;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::FlowKey;
use hawthornshift_model::PublishedSet;

/// Bytes that JSON-RPC and HTTP add to a message and its answer: an estimate from the heads they write.
const ENVELOPE_OVERHEAD: usize = 420;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn nanos_each(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut work);
    start.elapsed().as_secs_f64() * 1e9 / f64::from(u32::try_from(count).unwrap())
}

/// Packet decisions of one node that holds `flows` flows.
fn measure_packets(flows: usize) {
    // A group as large as the largest that the brief names, times four.
    let set = checked(4 * 14, 1);
    let service = set.set().services[0].id();
    let (mut node, now) = serving_node(&set);
    let mut out = Vec::new();
    let before = resident_bytes();
    let mut packet = |number: usize| {
        out.clear();
        node.handle(now, Input::CallerPacket { service, caller: caller(number) }, &mut out);
    };
    let open = nanos_each(flows, &mut packet);
    let rounds = 2_000_000;
    let held = nanos_each(rounds, |round| packet(round.wrapping_mul(7_919) % flows));
    assert_eq!(node.flows().held(), flows, "not every flow is held");
    let bytes = resident_bytes().saturating_sub(before) / flows.max(1);
    let bytes = if flows < 10_000 { "-".to_owned() } else { bytes.to_string() };
    println!(
        "packets, flows held {flows:>8}: held flow {held:>7.0} ns, new flow {open:>7.0} ns, memory {bytes} bytes a flow"
    );
}

/// The home of a flow among `instances`.
fn measure_home(instances: u32) {
    let catalog = Arc::new(Catalog::new(checked(480, 1)));
    let seats = (0..instances).map(|id| (Seat { id, incarnation: 1 }, DOMAINS[id as usize % DOMAINS.len()]));
    let view = View::new(Arc::clone(&catalog), seats);
    let service = catalog.services().next().expect("the set has one");
    let mut sum = 0_u64;
    let each = nanos_each(1_000_000, |number| {
        let key = FlowKey { service: service.id, caller: address(100, number, 5_000) };
        sum += view.home(key.hash64(), service).map_or(0, u64::from);
    });
    println!("home, instances {instances:>4}: {each:>6.0} ns ({})", sum % 2);
}

/// Check, compilation and view of a set.
fn measure_set(targets: usize, services: usize, instances: u32) {
    let object = set(targets, services);
    let text = serde_json::to_vec(&object).expect("a set is always representable as JSON");
    let start = Instant::now();
    let checked = CheckedSet::from_json(&text).expect("the generated set is sound");
    let check = start.elapsed();
    let mut node = node(0, &checked_with_revision(&checked, 1));
    let names = (0..instances).map(listed).collect();
    let list = InstanceList { version: 1, instances: names };
    node.handle(Timestamp::ZERO, Input::InstancesRead(list), &mut Vec::new());
    let next = checked_with_revision(&checked, 2);
    let start = Instant::now();
    node.handle(Timestamp::ZERO, Input::SetRead(next), &mut Vec::new());
    let apply = start.elapsed();
    println!("set, endpoints {targets:>5}: {:>7} bytes, read and check {check:>9.1?}, apply {apply:>9.1?}", text.len());
}

fn checked_with_revision(checked: &CheckedSet, revision: u64) -> Arc<CheckedSet> {
    let set = PublishedSet { revision, ..checked.set().clone() };
    Arc::new(CheckedSet::new(set).expect("the generated set is sound"))
}

fn listed(id: u32) -> ListedInstance {
    ListedInstance {
        id,
        failure_domain: DOMAINS[id as usize % DOMAINS.len()].to_owned(),
        control: address(3, id as usize + 1, 1),
        forward: address(3, id as usize + 1, 2),
        leaving: false,
    }
}

/// What a fleet says to itself, counted message by message.
#[derive(Default)]
struct Traffic {
    messages: usize,
    bytes: usize,
    reads: usize,
    busy: Duration,
    by_kind: BTreeMap<String, usize>,
}

/// A fleet whose messages arrive at once, for counting them.
struct Fleet {
    nodes: BTreeMap<u32, Node>,
    now: Timestamp,
    set: Arc<CheckedSet>,
    list: InstanceList,
    traffic: Traffic,
    waiting: Vec<(Timestamp, u32, PlatformRead)>,
}

impl Fleet {
    fn new(size: u32, set: Arc<CheckedSet>) -> Self {
        let nodes = (0..size).map(|id| (id, node(id, &set))).collect();
        let list = InstanceList { version: 1, instances: (0..size).map(listed).collect() };
        Self { nodes, now: Timestamp::ZERO, set, list, traffic: Traffic::default(), waiting: Vec::new() }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.end_watches();
            let ids: Vec<u32> = self.nodes.keys().copied().collect();
            for id in ids {
                self.feed(id, Input::Tick);
            }
        }
    }

    fn feed(&mut self, id: u32, input: Input) {
        let mut queue = VecDeque::from([(id, input)]);
        while let Some((id, input)) = queue.pop_front() {
            let Some(node) = self.nodes.get_mut(&id) else { continue };
            let mut out = Vec::new();
            let start = Instant::now();
            node.handle(self.now, input, &mut out);
            self.traffic.busy += start.elapsed();
            for output in out {
                self.carry_out(id, output, &mut queue);
            }
        }
    }

    fn carry_out(&mut self, id: u32, output: Output, queue: &mut VecDeque<(u32, Input)>) {
        match output {
            Output::ToPeer { envelope, .. } => {
                self.count(&envelope);
                queue.push_back((envelope.to, Input::PeerMessage(envelope)));
            }
            Output::ReadPlatform(read) => {
                self.traffic.reads += 1;
                match (read.resource, read.after) {
                    (Resource::Set, after) if after < self.set.set().revision => {
                        queue.push_back((id, Input::SetRead(Arc::clone(&self.set))));
                    }
                    (Resource::Instances, after) if after < self.list.version => {
                        queue.push_back((id, Input::InstancesRead(self.list.clone())));
                    }
                    _ if read.wait.is_zero() => queue.push_back((id, unchanged(read.resource))),
                    _ => self.waiting.push((self.now + read.wait, id, read)),
                }
            }
            Output::Probe { target, .. } => {
                let report = Some(HealthReport::Warm);
                queue.push_back((id, Input::Probed { target, report, load: None }));
            }
            _ => {}
        }
    }

    fn count(&mut self, envelope: &Envelope) {
        self.traffic.messages += 1;
        let kind = format!("{:?}", envelope.message);
        let kind = kind.split(|c: char| !c.is_alphanumeric()).next().unwrap_or_default().to_owned();
        *self.traffic.by_kind.entry(kind).or_default() += 1;
        self.traffic.bytes += serde_json::to_vec(envelope).map_or(0, |text| text.len());
        // An answer to a ping travels with the answer of its call.
        if !matches!(envelope.message, PeerMessage::Ack(_)) {
            self.traffic.bytes += ENVELOPE_OVERHEAD;
        }
    }

    /// Answers the watches whose wait is over.
    fn end_watches(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        let (over, waiting): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|(until, ..)| *until <= self.now);
        self.waiting = waiting;
        for (_, id, read) in over {
            self.feed(id, unchanged(read.resource));
        }
    }

    /// Publishes a later revision and has the watchers told at once.
    fn publish(&mut self) {
        let revision = self.set.set().revision + 1;
        self.set = checked_with_revision(&self.set, revision);
        for (_, id, read) in std::mem::take(&mut self.waiting) {
            let input = match read.resource {
                Resource::Set => Input::SetRead(Arc::clone(&self.set)),
                Resource::Instances => Input::InstancesUnchanged,
            };
            self.feed(id, input);
        }
    }

    fn agrees(&self) -> bool {
        let revision = self.set.set().revision;
        self.nodes.values().all(|node| node.catalog().revision() == revision)
    }
}

fn unchanged(resource: Resource) -> Input {
    match resource {
        Resource::Set => Input::SetUnchanged,
        Resource::Instances => Input::InstancesUnchanged,
    }
}

/// Control traffic of a fleet at rest, and how a change of configuration spreads.
fn measure_control(size: u32, targets: usize, services: usize) {
    let mut fleet = Fleet::new(size, checked(targets, services));
    fleet.run(Duration::from_secs(14));
    fleet.traffic = Traffic::default();
    let rest = Duration::from_secs(10);
    fleet.run(rest);
    let seconds = rest.as_secs_f64() * f64::from(size);
    let per_second = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds;
    println!(
        "control at rest, nodes {size:>3}: {:>5.2} messages, {:>6.0} bytes, {:.3} platform reads, {:.3} % of a core, each a node and second",
        per_second(fleet.traffic.messages),
        per_second(fleet.traffic.bytes),
        per_second(fleet.traffic.reads),
        fleet.traffic.busy.as_secs_f64() / seconds * 100.0,
    );
    fleet.traffic = Traffic::default();
    let start = fleet.now;
    fleet.publish();
    while !fleet.agrees() && fleet.now < start + Duration::from_mins(1) {
        fleet.run(TICK);
    }
    println!(
        "change of configuration, nodes {size:>3}, endpoints {targets}: in force everywhere after {:?}, {:.0} bytes a node",
        fleet.now.saturating_sub(start),
        f64::from(u32::try_from(fleet.traffic.bytes).unwrap_or(u32::MAX)) / f64::from(size),
    );
}

fn main() {
    for flows in [1, 10_000, 100_000, 1_000_000] {
        measure_packets(flows);
    }
    for instances in [8, 64, 430] {
        measure_home(instances);
    }
    for (targets, services, instances) in [(18, 2, 8), (480, 76, 64), (4_800, 760, 430)] {
        measure_set(targets, services, instances);
    }
    for (size, targets, services) in [(8, 18, 2), (64, 480, 76), (430, 4_800, 760)] {
        measure_control(size, targets, services);
    }
}
