//! The work of placing a flow must not grow with the number of targets while free slots are common.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::fleet::DOMAINS;
use crate::fleet::domain;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::reports::load_report::OpenRequest;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_model::TargetId;

const NOW: Timestamp = Duration::from_mins(1);
const INSTANCES: u32 = 584;
/// Requests that fill a target with two slots beyond what flows may queue there.
const REQUESTS_OF_FULL_TARGET: usize = 8;

fn dispatcher(targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        id: 0,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(5),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    });
    dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(targets), &mut Vec::new());
    let group = (0..INSTANCES).step_by(DOMAINS).collect();
    dispatcher.set_members(Timestamp::ZERO, (0..INSTANCES).collect(), group, false);
    dispatcher
}

fn syn(number: u32) -> Segment {
    let [_, a, b, c] = number.to_be_bytes();
    let flow = FlowId { caller: SocketAddrV4::new(Ipv4Addr::new(100, a, b, c), 5_000), service: service_address() };
    let kind = SegmentKind::Syn { retransmissions: 0 };
    Segment { flow, kind, sequence: 7, acknowledged: 0, payload_bytes: 0, cookie: 0 }
}

/// Handles SYNs of new flows. Returns the targets that they were sent to, and the most targets examined for one of them.
fn place(dispatcher: &mut Dispatcher, flows: u32) -> (Vec<TargetId>, u64) {
    let (mut placed, mut most) = (Vec::new(), 0);
    for number in 0..flows {
        let before = dispatcher.examined_targets();
        let mut effects = Vec::new();
        dispatcher.handle_packet(NOW, &syn(number), &[0; 36], &mut effects);
        most = most.max(dispatcher.examined_targets() - before);
        placed.extend(effects.iter().filter_map(|effect| match effect {
            Effect::Forward { target, .. } => Some(*target),
            _ => None,
        }));
    }
    (placed, most)
}

fn report_full(dispatcher: &mut Dispatcher, targets: impl Iterator<Item = usize>) {
    for index in targets {
        let flow = |number| u32::try_from(index * REQUESTS_OF_FULL_TARGET + number).unwrap();
        let open = |number| OpenRequest { flow: flow(number), target: cookie(target_id(index)), age_ms: 10 };
        let started = (0..REQUESTS_OF_FULL_TARGET).map(open).collect();
        dispatcher.apply_load_report(NOW, &LoadReport { started, ..LoadReport::default() }, &mut Vec::new());
    }
}

/// Guards against a search over all targets of a large service for each flow.
#[test]
fn a_flow_is_placed_with_as_little_work_among_many_targets() {
    let (_, few) = place(&mut dispatcher(1_000), 200);
    for targets in [4_800, 9_600] {
        let (placed, most) = place(&mut dispatcher(targets), 200);
        assert_eq!((placed.len(), most), (200, few), "{targets} targets");
    }
}

/// Guards against a search that looks at a part of the targets that is the same for all flows.
#[test]
fn flows_are_spread_over_all_targets_of_the_own_domain() {
    let targets = 4_800;
    let (mut placed, _) = place(&mut dispatcher(targets), 600);
    assert!(placed.iter().all(|id| (id - target_id(0)).is_multiple_of(DOMAINS as u64)), "some left the failure domain");
    placed.sort_unstable();
    placed.dedup();
    assert!(placed.len() > 500, "600 flows reached {} targets", placed.len());
}

/// Guards against flows that wait although the only free slots are among thousands of full targets.
#[test]
fn the_last_free_targets_are_found() {
    for free in [0, 1] {
        let mut dispatcher = dispatcher(4_800);
        report_full(&mut dispatcher, (0..4_800).filter(|index| index % DOMAINS != free || *index >= 6 * DOMAINS));
        let (mut placed, _) = place(&mut dispatcher, 6);
        placed.sort_unstable();
        placed.dedup();
        assert_eq!(placed.len(), 6, "free targets in domain {free}");
        assert!(placed.iter().all(|id| (id - target_id(0)) % DOMAINS as u64 == free as u64));
    }
}

/// Guards against work that grows with the square of a failure domain's targets when all of them respond again after a
/// partition: each flow then took a fifth of a second.
#[test]
fn work_while_a_failure_domain_returns_is_bounded_by_its_targets() {
    for targets in [4_800, 9_600] {
        let mut dispatcher = dispatcher(targets);
        let returning = (0..targets).filter(|index| index % DOMAINS == 0);
        let recovered = returning.map(|index| (cookie(target_id(index)), Duration::from_secs(2))).collect();
        dispatcher.apply_load_report(NOW, &LoadReport { recovered, ..LoadReport::default() }, &mut Vec::new());
        let (placed, most) = place(&mut dispatcher, 50);
        assert_eq!(placed.len(), 50);
        let bound = 2 * targets as u64;
        assert!(most <= bound, "{most} targets examined for one flow, {targets} in all");
    }
}
