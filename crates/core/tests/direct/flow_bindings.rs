//! Flows whose SYN several targets have answered, and that move to other instances.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::StartFrom;
use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::flow_bindings::FlowBinding;
use hawthornshift_core::direct::flow_bindings::FlowBindingReport;
use hawthornshift_core::direct::flow_bindings::FlowBindings;
use hawthornshift_core::direct::flow_bindings::MAX_REPORTED_BINDINGS;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::reports::load_report::OpenRequest;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::reports::message::MAX_DATAGRAM_BYTES;
use hawthornshift_core::direct::segment::Cookie;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_model::TargetId;

const START: Timestamp = Duration::from_secs(10);
/// Time from a flow's first SYN until its binding has been reported.
const REPORTED: Duration = Duration::from_millis(70);
const SYN_SEQUENCE: u32 = 5;
const TARGETS: usize = 4;

struct Instance {
    dispatcher: Dispatcher,
    now: Timestamp,
}

impl Instance {
    fn new(id: u32) -> Self {
        let mut dispatcher = Dispatcher::new(DispatcherConfig {
            id,
            domain: domain(0),
            evacuation_grace: Duration::from_secs(4),
            link_mbps: WIDE_LINK_MBPS,
            mechanisms: Mechanisms::default(),
        });
        dispatcher.apply_delta(START, &store_snapshot(TARGETS), &mut Vec::new());
        dispatcher.set_members(START, vec![1, 2], vec![1, 2], true);
        Self { dispatcher, now: START }
    }

    /// Handles a packet, and returns the target that it is forwarded to.
    fn receive(&mut self, now: Timestamp, segment: &Segment) -> Option<TargetId> {
        let mut effects = self.run_until(now);
        effects.clear();
        self.dispatcher.handle_packet(now, segment, b"packet", &mut effects);
        forwarded_to(&effects)
    }

    /// Runs the timers up to a time, and returns their effects.
    fn run_until(&mut self, end: Timestamp) -> Vec<Effect> {
        let mut effects = Vec::new();
        while self.now < end {
            self.now = (self.now + ms(1)).min(end);
            self.dispatcher.tick(self.now, &mut effects);
        }
        effects
    }

    /// Sends what is due to a peer.
    fn report_to(&mut self, peer: &mut Instance, now: Timestamp) {
        self.run_until(now);
        let report = self.dispatcher.take_report();
        peer.dispatcher.apply_load_report(now, &report, &mut Vec::new());
        peer.dispatcher.apply_flow_bindings(now, &self.dispatcher.take_flow_bindings(now));
    }
}

fn forwarded_to(effects: &[Effect]) -> Option<TargetId> {
    effects.iter().find_map(|effect| if let Effect::Forward { target, .. } = effect { Some(*target) } else { None })
}

fn segment(kind: SegmentKind, sequence: u32, payload_bytes: u16, cookie: Cookie) -> Segment {
    let flow = FlowId { caller: SocketAddrV4::new([100, 64, 0, 1].into(), 2_000), service: service_address() };
    Segment { flow, kind, sequence, acknowledged: 100, payload_bytes, cookie }
}

fn syn(retransmissions: u32) -> Segment {
    segment(SegmentKind::Syn { retransmissions }, SYN_SEQUENCE, 0, 0)
}

/// Returns the first request of a flow, or the one after it.
fn request(index: u32, from_target: TargetId) -> Segment {
    segment(SegmentKind::Ack, SYN_SEQUENCE + 1 + index * 500, 500, cookie(from_target))
}

/// Opens a flow through `instance` at the second target that its SYN is sent to. Returns the first and the second one.
fn open_at_second_target(instance: &mut Instance) -> (TargetId, TargetId) {
    let first = instance.receive(START, &syn(0)).unwrap();
    let second = forwarded_to(&instance.run_until(START + ms(60))).unwrap();
    assert_ne!(first, second);
    assert_eq!(instance.receive(START + ms(66), &request(0, second)), Some(second));
    (first, second)
}

/// Guards against a reset of an open flow: its caller has the cookie of a target whose late answer to the SYN came last, and
/// the flow has moved to an instance that did not see the handshake.
#[test]
fn a_moved_flow_goes_to_the_target_at_which_it_is_open() {
    let (mut before, mut after) = (Instance::new(1), Instance::new(2));
    let (first, second) = open_at_second_target(&mut before);
    before.report_to(&mut after, START + REPORTED);
    let moved = after.receive(START + ms(300), &request(1, first));
    assert_eq!(moved, Some(second));
    assert_eq!(after.dispatcher.counts().get(Outcome::CookieOverruled), 1);
}

/// Guards against the same reset by an instance that starts after the handshake.
#[test]
fn an_instance_that_starts_later_learns_where_flows_are_open() {
    let (mut before, mut after) = (Instance::new(1), Instance::new(2));
    let (first, second) = open_at_second_target(&mut before);
    let handover = before.dispatcher.handover(START + ms(100), 0);
    after.dispatcher.apply_handover(START + ms(110), &handover, &mut Vec::new());
    assert_eq!(after.receive(START + ms(300), &request(1, first)), Some(second));
}

/// Guards against the same reset after copies of one SYN passed through two instances, which chose different targets.
#[test]
fn copies_of_a_syn_through_two_instances_leave_one_target() {
    let (mut before, mut after) = (Instance::new(1), Instance::new(2));
    let first = before.receive(START, &syn(0)).unwrap();
    let started = (0..3).map(|flow| OpenRequest { flow, target: cookie(first), age_ms: 0 }).collect();
    let report = LoadReport { started, ..LoadReport::default() };
    after.dispatcher.apply_load_report(START + ms(190), &report, &mut Vec::new());
    let second = after.receive(START + ms(200), &syn(1)).unwrap();
    assert_ne!(first, second);
    after.receive(START + ms(206), &request(0, second));
    after.report_to(&mut before, START + ms(207));
    assert_eq!(before.receive(START + ms(300), &request(1, first)), Some(second));
}

/// Guards against the same reset after the fabric has moved a flow during its handshake: one instance has sent its SYN to two
/// targets, and another one has forwarded the caller's first request to the right one.
#[test]
fn a_flow_that_moves_during_its_handshake_is_found() {
    let (mut before, mut after, mut later) = (Instance::new(1), Instance::new(2), Instance::new(2));
    let first = before.receive(START, &syn(0)).unwrap();
    let second = forwarded_to(&before.run_until(START + ms(60))).unwrap();
    assert_eq!(after.receive(START + ms(66), &request(0, second)), Some(second));
    before.report_to(&mut after, START + ms(70));
    after.report_to(&mut later, START + ms(71));
    assert_eq!(later.receive(START + ms(300), &request(1, first)), Some(second));
}

/// Guards against the same reset after an instance has died between a SYN to a second target and the caller's answer.
#[test]
fn a_flow_whose_instance_died_during_its_handshake_is_found() {
    let (mut before, mut after, mut later) = (Instance::new(1), Instance::new(2), Instance::new(2));
    let first = before.receive(START, &syn(0)).unwrap();
    let second = forwarded_to(&before.run_until(START + ms(60))).unwrap();
    before.report_to(&mut after, START + ms(60));
    assert_eq!(after.receive(START + ms(66), &request(0, second)), Some(second));
    after.report_to(&mut later, START + ms(67));
    assert_eq!(later.receive(START + ms(300), &request(1, first)), Some(second));
}

/// Guards against another answer to the SYN of a flow that is open: a copy of the SYN arrives late, at another instance.
#[test]
fn a_late_copy_of_a_syn_goes_to_the_target_of_the_open_flow() {
    let (mut before, mut after) = (Instance::new(1), Instance::new(2));
    let (_, second) = open_at_second_target(&mut before);
    before.report_to(&mut after, START + REPORTED);
    assert_eq!(after.receive(START + ms(210), &syn(1)), Some(second));
    assert_eq!(after.dispatcher.counts().get(Outcome::Placed), 0);
}

/// Guards against a lost report: a packet with another target's cookie at the instance that knows better repeats it, at
/// most once a second.
#[test]
fn a_packet_with_another_cookie_repeats_the_report() {
    let mut instance = Instance::new(1);
    let (first, second) = open_at_second_target(&mut instance);
    instance.run_until(START + REPORTED);
    assert_eq!(instance.dispatcher.take_flow_bindings(START + REPORTED).bindings.len(), 1);
    for (at, reports) in [(500, 0), (1_300, 1), (1_400, 0)] {
        assert_eq!(instance.receive(START + ms(at), &request(1, first)), Some(second));
        assert_eq!(instance.dispatcher.take_flow_bindings(START + ms(at)).bindings.len(), reports, "{at} ms");
    }
}

/// Guards against the target of an ended flow being used for a later flow between the same endpoints.
#[test]
fn a_binding_does_not_apply_to_a_later_flow() {
    let (mut before, mut after) = (Instance::new(1), Instance::new(2));
    let (first, _) = open_at_second_target(&mut before);
    before.report_to(&mut after, START + REPORTED);
    let later = Segment { sequence: SYN_SEQUENCE.wrapping_sub(1_000), ..request(0, first) };
    assert_eq!(after.receive(START + ms(300), &later), Some(first));
}

/// Guards against messages for flows that have ended.
#[test]
fn ended_flows_are_not_reported_again() {
    let mut instance = Instance::new(1);
    let (_, second) = open_at_second_target(&mut instance);
    assert_eq!(instance.dispatcher.take_flow_bindings(START + ms(70)).bindings.len(), 1);
    instance.receive(START + ms(120), &segment(SegmentKind::Fin, SYN_SEQUENCE + 501, 0, cookie(second)));
    instance.run_until(START + Duration::from_secs(3));
    assert!(instance.dispatcher.take_flow_bindings(START + Duration::from_secs(3)).is_empty());
    assert!(instance.dispatcher.flow_bindings().is_empty());
}

fn binding(flow: u64) -> FlowBinding {
    FlowBinding { flow, sequence: u32::MAX, target: u32::MAX }
}

/// Guards against unbounded memory, against bindings kept beyond the life of a flow, and against reports that do not fit
/// in a datagram.
#[test]
fn bindings_and_their_reports_are_bounded() {
    let mut bindings = FlowBindings::default();
    for flow in 0..100_000 {
        bindings.observe(START, binding(flow));
        bindings.request_from_group(flow + 200_000);
    }
    assert!(bindings.len() <= 1 << 15);
    let report = bindings.take_report(START);
    assert_eq!(report.bindings.len(), MAX_REPORTED_BINDINGS);
    assert!(report.requested.len() < 100 && !report.requested.is_empty());
    let largest = FlowBindingReport {
        bindings: report.bindings.iter().map(|it| FlowBinding { flow: u64::MAX, ..*it }).collect(),
        requested: vec![u64::MAX; report.requested.len()],
    };
    assert!(postcard::to_stdvec(&Frame::FlowBindings(largest)).unwrap().len() < MAX_DATAGRAM_BYTES);
    bindings.expire(START + Duration::from_mins(1));
    assert!(bindings.is_empty());
}

/// Runs six instances and callers with persistent flows while a tenth of the answers to SYNs is lost, which targets repeat
/// after the flow is open elsewhere. Returns the number of packets of open flows that reached other targets.
fn misdirected_packets(seed: u64, restart: impl FnOnce(&mut Sim)) -> usize {
    let mut sim = Sim::new(seed, 6, 8, 90.0);
    sim.use_persistent_flows(300);
    sim.answer_loss = 0.1;
    sim.start_from = StartFrom::Peers;
    sim.route_by_readiness();
    restart(&mut sim);
    sim.run_until(Duration::from_secs(16));
    assert!(sim.second_target_syns > 10, "seed {seed}: {} SYNs to a second target", sim.second_target_syns);
    sim.assert_invariants();
    sim.misdirected_packets
}

/// Guards against packets of open flows at other targets while instances are stopped one after the other.
#[test]
fn planned_stops_leave_flows_at_their_targets() {
    for seed in 1..=6 {
        let packets = misdirected_packets(seed, |sim| sim.rolling_stop(Duration::from_secs(4), ms(1_800), 6));
        assert_eq!(packets, 0, "seed {seed}");
    }
}

/// Guards against packets of open flows at other targets while instances are killed one after the other, some of them
/// between a SYN to a second target and the end of the handshake.
#[test]
fn kills_leave_flows_at_their_targets() {
    for seed in [1, 2, 3, 4, 17, 46] {
        let packets = misdirected_packets(seed, |sim| sim.rolling_restart(Duration::from_secs(4), ms(1_300), 6));
        assert_eq!(packets, 0, "seed {seed}");
    }
}
