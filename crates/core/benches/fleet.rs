//! Benchmarks of the work per event on the direct path, by the number of members and of targets.
//!
//! Compare results only as ratios within one run: between sizes, or before and after a change on an idle machine.
#![allow(missing_docs, reason = "the macros of criterion generate undocumented items")]

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::fleet::instance_id;
use hawthornshift_core::direct::flow_bindings::FlowBinding;
use hawthornshift_core::direct::flow_bindings::FlowBindingReport;
use hawthornshift_core::direct::flow_bindings::MAX_REPORTED_BINDINGS;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::load_report::AnsweredRequest;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::reports::load_report::OpenRequest;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::reports::message::Heartbeat;
use hawthornshift_core::direct::reports::message::Message;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::RequestKind;
use hawthornshift_core::direct::store::store_entries::Route;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::ServiceSpec;
use hawthornshift_core::direct::store::store_entries::Share;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::message::MemberState;
use hawthornshift_core::message::MemberUpdate;

/// Sizes of the fleet, in instances.
const MEMBERS: [usize; 4] = [30, 300, 584, 1_168];
/// Sizes of the directory, in targets.
const TARGETS: [usize; 3] = [150, 4_800, 9_600];
const DOMAINS: usize = 6;
/// Number of bindings that a group of 110 instances knows while one packet in forty is lost.
const KNOWN_BINDINGS: u64 = 18_750;
const SERVICE: &str = "orders";
/// Revision of the snapshot that the instances start with.
const SNAPSHOT_REVISION: u64 = 11;
/// Time at which the benchmarks run: the updates of the fleet's start have been sent often enough.
const START: Timestamp = Duration::from_mins(1);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, u8::try_from(index / 200).unwrap(), u8::try_from(index % 200 + 1).unwrap()], 7_000))
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

fn member(index: usize) -> MemberUpdate {
    MemberUpdate {
        id: instance_id(address(index)),
        incarnation: 1,
        version: 0,
        state: MemberState::Alive,
        failure_domain: domain(index),
        control: address(index),
        forward: address(index),
    }
}

/// Returns the instance with index 0 of a fleet whose views agree, and the hash of its view.
fn fleet(members: usize) -> (Fleet, u64) {
    let me = member(0);
    let identity = Identity {
        id: me.id,
        incarnation: 1,
        failure_domain: me.failure_domain,
        control: me.control,
        forward: me.forward,
    };
    let mut fleet = Fleet::new(Timestamp::ZERO, identity, &[]);
    let others: Vec<MemberUpdate> = (1..members).map(member).collect();
    fleet.add_members(Timestamp::ZERO, &others);
    // Peers with the same view need no updates, so none is left to send after some acks.
    let view = view_of(&mut fleet);
    for _ in 0..64 {
        fleet.handle_datagram(START, ping(1, view, members), SNAPSHOT_REVISION);
    }
    (fleet, view)
}

/// Returns the hash of an instance's view, as stated in its answer to a ping.
fn view_of(fleet: &mut Fleet) -> u64 {
    let effects = fleet.handle_datagram(START, ping(1, 0, 0), SNAPSHOT_REVISION);
    let answer = effects.into_iter().find_map(|effect| match effect {
        FleetEffect::Send(_, Frame::WithSender { message: Message::Ack(ack), .. }) => Some(ack.view),
        _ => None,
    });
    answer.expect("a ping is answered")
}

fn ping(from: usize, view: u64, serving: usize) -> Frame {
    let heartbeat = Heartbeat {
        sequence: 1,
        serving: u32::try_from(serving).unwrap(),
        view,
        revision: SNAPSHOT_REVISION,
        age: Duration::from_millis(100),
        members: Vec::new(),
    };
    Frame::WithSender { sender: member(from), message: Message::Ping(heartbeat) }
}

fn target_id(index: usize) -> u64 {
    0xA000 + index as u64
}

fn target_spec(index: usize) -> TargetSpec {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    TargetSpec {
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 9, high, low), 8_000),
        failure_domain: domain(index),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        started_at_ms: 0,
    }
}

fn service_address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn snapshot(targets: usize) -> Delta {
    let route = Route {
        address: service_address(),
        shares: vec![Share { service: SERVICE.to_owned(), weight: 1 }],
        kind: RequestKind::Unsafe,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(150),
        priority: 1,
    };
    let service = ServiceSpec { name: SERVICE.to_owned(), cold_time: Duration::from_secs(2) };
    let routing =
        Routing { version: 1, routes: vec![route], services: vec![service], idle_timeout: Duration::from_secs(15) };
    let targets = (0..targets).map(|index| StoreEntry::Target(target_id(index), Some(target_spec(index))));
    let mut entries: Vec<VersionedEntry> = targets.map(|entry| VersionedEntry { revision: 10, entry }).collect();
    entries.push(VersionedEntry { revision: SNAPSHOT_REVISION, entry: StoreEntry::Routing(routing) });
    Delta { since: 0, revision: SNAPSHOT_REVISION, is_snapshot: true, entries }
}

fn dispatcher(members: usize, targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        id: member(0).id,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(5),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    });
    let mut effects = Vec::new();
    dispatcher.apply_delta(Timestamp::ZERO, &snapshot(targets), &mut effects);
    let instances = (0..members).map(|index| member(index).id).collect();
    let group = (0..members).step_by(DOMAINS).map(|index| member(index).id).collect();
    dispatcher.set_members(Timestamp::ZERO, instances, group, false);
    dispatcher
}

/// Reports that all targets in `domains` failure domains were unresponsive for long and respond again.
fn report_recovered(dispatcher: &mut Dispatcher, targets: usize, domains: usize) {
    let recovered = (0..targets).filter(|index| index % DOMAINS < domains);
    let recovered = recovered.map(|index| (cookie(target_id(index)), Duration::from_secs(2))).collect();
    let report = LoadReport { recovered, ..LoadReport::default() };
    dispatcher.apply_load_report(START, &report, &mut Vec::new());
}

/// Reports as many open requests as fill all targets.
fn report_full(dispatcher: &mut Dispatcher, targets: usize) {
    for index in 0..targets {
        let open = |number| OpenRequest {
            flow: u32::try_from(index * 8 + number).unwrap(),
            target: cookie(target_id(index)),
            age_ms: 10,
        };
        let report = LoadReport { started: (0..8).map(open).collect(), ..LoadReport::default() };
        dispatcher.apply_load_report(START, &report, &mut Vec::new());
    }
}

fn syn(number: usize) -> Segment {
    let [.., a, b, c] = u32::try_from(number).unwrap().to_be_bytes();
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, a, b, c), 5_000);
    Segment {
        flow: FlowId { caller, service: service_address() },
        kind: SegmentKind::Syn { retransmissions: 0 },
        sequence: 7,
        acknowledged: 0,
        payload_bytes: 0,
        cookie: 0,
    }
}

fn members(c: &mut Criterion) {
    let mut group = c.benchmark_group("members");
    for members in MEMBERS {
        let (mut instance, view) = fleet(members);
        let mut from = 0;
        group.bench_function(BenchmarkId::new("ping-answered", members), |b| {
            b.iter(|| {
                from = from % (members - 1) + 1;
                black_box(instance.handle_datagram(START, ping(from, view, members), SNAPSHOT_REVISION))
            });
        });
        let (mut instance, _) = fleet(members);
        let mut from = 0;
        group.bench_function(BenchmarkId::new("ping-of-other-view", members), |b| {
            b.iter(|| {
                from = from % (members - 1) + 1;
                black_box(instance.handle_datagram(START, ping(from, 0, members), SNAPSHOT_REVISION))
            });
        });
        let (mut instance, _) = fleet(members);
        group.bench_function(BenchmarkId::new("tick", members), |b| {
            b.iter(|| black_box(instance.tick(START, SNAPSHOT_REVISION)));
        });
        let (mut instance, _) = fleet(members);
        let mut version = 0;
        group.bench_function(BenchmarkId::new("member-update", members), |b| {
            b.iter(|| {
                version += 1;
                let update = MemberUpdate { version, ..member(1) };
                black_box(instance.add_members(START, &[update]))
            });
        });
    }
    group.finish();
}

fn load_reports(c: &mut Criterion) {
    let mut group = c.benchmark_group("load-report");
    for members in MEMBERS {
        let mut dispatcher = dispatcher(members, 4_800);
        let mut flow = 0;
        group.bench_function(BenchmarkId::from_parameter(members), |b| {
            b.iter(|| {
                flow += 1;
                let started = OpenRequest { flow, target: cookie(target_id(1)), age_ms: 60 };
                let ended = AnsweredRequest { flow, unreported: 1 };
                let report = LoadReport { started: vec![started], ended: vec![ended], ..LoadReport::default() };
                dispatcher.apply_load_report(START, &report, &mut Vec::new());
            });
        });
    }
    group.finish();
}

/// Returns a report of as many bindings as fit, starting with that of flow `first`.
fn binding_report(first: u64) -> FlowBindingReport {
    let flows = first..first + MAX_REPORTED_BINDINGS as u64;
    let bindings = flows.map(|flow| FlowBinding { flow, sequence: 7, target: cookie(target_id(1)) });
    FlowBindingReport { bindings: bindings.collect(), requested: Vec::new() }
}

fn flow_bindings(c: &mut Criterion) {
    let mut group = c.benchmark_group("flow-bindings");
    for members in [300, 1_168] {
        for known in [0, KNOWN_BINDINGS] {
            let mut instance = dispatcher(members, 150);
            for first in (0..known).step_by(MAX_REPORTED_BINDINGS) {
                instance.apply_flow_bindings(START, &binding_report(first));
            }
            let packet = Segment { kind: SegmentKind::Ack, payload_bytes: 500, cookie: cookie(target_id(1)), ..syn(1) };
            group.bench_function(BenchmarkId::new(format!("moved-packet-{known}"), members), |b| {
                b.iter_batched_ref(
                    || (instance.clone(), Vec::new()),
                    |(instance, effects)| instance.handle_packet(START, &packet, &[0; 36], effects),
                    BatchSize::PerIteration,
                );
            });
            let mut first = u64::MAX / 2;
            group.bench_function(BenchmarkId::new(format!("report-{known}"), members), |b| {
                b.iter(|| {
                    first += MAX_REPORTED_BINDINGS as u64;
                    instance.apply_flow_bindings(START, &binding_report(first));
                });
            });
        }
    }
    group.finish();
}

fn targets(c: &mut Criterion) {
    let mut group = c.benchmark_group("targets");
    for targets in TARGETS {
        let mut instance = dispatcher(584, targets);
        let mut revision = SNAPSHOT_REVISION;
        group.bench_function(BenchmarkId::new("store-update", targets), |b| {
            b.iter(|| {
                revision += 1;
                let spec = TargetSpec { draining: revision.is_multiple_of(2), ..target_spec(1) };
                let entry = StoreEntry::Target(target_id(1), Some(spec));
                let entries = vec![VersionedEntry { revision, entry }];
                let delta = Delta { since: revision - 1, revision, is_snapshot: false, entries };
                instance.apply_delta(START, &delta, &mut Vec::new())
            });
        });
        let usual = dispatcher(584, targets);
        let mut one_domain_returns = dispatcher(584, targets);
        report_recovered(&mut one_domain_returns, targets, 1);
        let mut all_full = dispatcher(584, targets);
        report_full(&mut all_full, targets);
        for (name, instance) in [("syn", usual), ("syn-domain-returns", one_domain_returns), ("syn-full", all_full)] {
            let mut number = 0;
            group.bench_function(BenchmarkId::new(name, targets), |b| {
                b.iter_batched_ref(
                    || (instance.clone(), Vec::new()),
                    |(instance, effects)| {
                        number += 1;
                        instance.handle_packet(START, &syn(number), &[0; 36], effects);
                    },
                    BatchSize::PerIteration,
                );
            });
        }
        let mut instance = dispatcher(584, targets);
        let mut now = START;
        group.bench_function(BenchmarkId::new("tick", targets), |b| {
            b.iter(|| {
                now += Duration::from_millis(50);
                instance.tick(now, &mut Vec::new());
            });
        });
    }
    group.finish();
}

fn handovers(c: &mut Criterion) {
    let mut group = c.benchmark_group("targets");
    for targets in TARGETS {
        let instance = dispatcher(584, targets);
        group.bench_function(BenchmarkId::new("handover", targets), |b| b.iter(|| instance.handover(START, 0)));
        let mut changed = dispatcher(584, targets);
        let entry = StoreEntry::Target(target_id(1), Some(TargetSpec { draining: true, ..target_spec(1) }));
        let revision = SNAPSHOT_REVISION + 1;
        let entries = vec![VersionedEntry { revision, entry }];
        let delta = Delta { since: SNAPSHOT_REVISION, revision, is_snapshot: false, entries };
        changed.apply_delta(START, &delta, &mut Vec::new());
        group.bench_function(BenchmarkId::new("handover-of-a-change", targets), |b| {
            b.iter(|| changed.handover(START, SNAPSHOT_REVISION));
        });
        let mut number = 0;
        group.bench_function(BenchmarkId::new("packet-without-route", targets), |b| {
            b.iter(|| {
                number += 1;
                let flow = FlowId { service: SocketAddrV4::new([198, 18, 9, 9].into(), 1), ..syn(number).flow };
                let data = Segment { flow, kind: SegmentKind::Ack, ..syn(number) };
                let mut effects = Vec::new();
                changed.handle_packet(START, &data, &[0; 36], &mut effects);
                changed.take_decisions();
                effects
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(1)).warm_up_time(Duration::from_millis(300));
    targets = members, load_reports, flow_bindings, targets, handovers
}
criterion_main!(benches);
