//! Packets to addresses for which an instance has no route, although other instances may have one.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::fleet::SERVICE;
use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::routing;
use crate::fleet::second_address;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::segment::Cookie;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::Route;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::Share;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

const FIRST_SYN: SegmentKind = SegmentKind::Syn { retransmissions: 0 };
/// Number of targets.
const TARGETS: usize = 4;

fn dispatcher(id: InstanceId) -> Dispatcher {
    Dispatcher::new(DispatcherConfig {
        id,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(4),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    })
}

fn synced_dispatcher(id: InstanceId) -> Dispatcher {
    let mut dispatcher = dispatcher(id);
    dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(TARGETS), &mut Vec::new());
    dispatcher
}

/// Returns a configuration with the given routes to the service.
fn configuration(revision: Revision, addresses: &[SocketAddrV4]) -> Delta {
    let base = routing().routes.remove(0);
    let routes = addresses.iter().map(|address| Route { address: *address, ..base.clone() }).collect();
    let entry = StoreEntry::Routing(Routing { version: revision, routes, ..routing() });
    Delta { since: revision - 1, revision, is_snapshot: false, entries: vec![VersionedEntry { revision, entry }] }
}

fn segment(service: SocketAddrV4, kind: SegmentKind, cookie: Cookie) -> Segment {
    let flow = FlowId { caller: SocketAddrV4::new([100, 64, 0, 1].into(), 4_000), service };
    let payload_bytes = if kind == SegmentKind::Ack { 10 } else { 0 };
    Segment { flow, kind, sequence: 5, acknowledged: 9, payload_bytes, cookie }
}

fn handle(dispatcher: &mut Dispatcher, now: Timestamp, segment: &Segment) -> Vec<Effect> {
    let mut effects = Vec::new();
    dispatcher.handle_packet(now, segment, b"packet", &mut effects);
    effects
}

/// Returns the target that the only effect forwards to.
fn forwarded_to(effects: &[Effect]) -> Option<TargetId> {
    if let [Effect::Forward { target, .. }] = effects { Some(*target) } else { None }
}

fn is_reset(effects: &[Effect]) -> bool {
    matches!(effects, [Effect::Reset(_)])
}

/// Opens a flow on the second route through an instance that has it, and returns the target of the flow.
fn open_second_route(dispatcher: &mut Dispatcher, now: Timestamp) -> TargetId {
    let target = forwarded_to(&handle(dispatcher, now, &segment(second_address(), FIRST_SYN, 0))).unwrap();
    let data = segment(second_address(), SegmentKind::Ack, cookie(target));
    assert_eq!(forwarded_to(&handle(dispatcher, now + ms(7), &data)), Some(target));
    target
}

/// Guards against resets of open flows that move to an instance whose state is older than the route of the flow.
#[test]
fn a_flow_on_a_route_not_known_yet_is_not_reset() {
    let mut first = synced_dispatcher(1);
    let state = first.handover(ms(10), 0);
    let change = configuration(20, &[service_address(), second_address()]);
    first.apply_delta(ms(20), &change, &mut Vec::new());
    let target = open_second_route(&mut first, ms(30));
    let mut started = dispatcher(2);
    started.apply_handover(ms(12), &state, &mut Vec::new());
    let copy = SegmentKind::Syn { retransmissions: 1 };
    for (at, kind) in (40..).zip([SegmentKind::Ack, copy, SegmentKind::Fin, SegmentKind::Rst, SegmentKind::Ack]) {
        let packet = segment(second_address(), kind, cookie(target));
        assert_eq!(handle(&mut started, ms(at), &packet), Vec::new(), "{kind:?}");
    }
    assert_eq!(started.counts().get(Outcome::DroppedNoRoute), 5);
    started.apply_handover(ms(90), &first.handover(ms(90), started.directory().revision()), &mut Vec::new());
    let data = segment(second_address(), SegmentKind::Ack, cookie(target));
    assert_eq!(forwarded_to(&handle(&mut started, ms(240), &data)), Some(target));
}

/// Guards against resets of flows on a route that was dropped and added again, where the second change is not known yet.
#[test]
fn a_flow_on_a_route_added_again_is_not_reset() {
    let with = |revision| configuration(revision, &[service_address(), second_address()]);
    let without = configuration(21, &[service_address()]);
    let (mut first, mut behind) = (synced_dispatcher(1), synced_dispatcher(2));
    for change in [with(20), without] {
        first.apply_delta(ms(20), &change, &mut Vec::new());
        behind.apply_delta(ms(20), &change, &mut Vec::new());
    }
    first.apply_delta(ms(30), &with(22), &mut Vec::new());
    let target = open_second_route(&mut first, ms(40));
    let data = segment(second_address(), SegmentKind::Ack, cookie(target));
    assert_eq!(handle(&mut behind, ms(50), &data), Vec::new());
}

/// Guards against callers that wait although their request cannot be served: a SYN to an address without a route, and a
/// flow whose route is dropped under it, are reset at once.
#[test]
fn flows_that_are_known_to_have_no_route_are_reset_at_once() {
    let mut dispatcher = synced_dispatcher(1);
    assert!(is_reset(&handle(&mut dispatcher, ms(1), &segment(second_address(), FIRST_SYN, 0))));
    let change = configuration(20, &[service_address(), second_address()]);
    dispatcher.apply_delta(ms(20), &change, &mut Vec::new());
    let target = open_second_route(&mut dispatcher, ms(30));
    dispatcher.apply_delta(ms(50), &configuration(21, &[service_address()]), &mut Vec::new());
    let data = segment(second_address(), SegmentKind::Ack, cookie(target));
    assert!(is_reset(&handle(&mut dispatcher, ms(60), &data)));
}

/// Guards against the reset of a flow that is open elsewhere by a late copy of its SYN, at an instance whose configuration
/// gives the route no service.
#[test]
fn a_copy_of_a_syn_is_not_reset_where_its_route_has_no_service() {
    let mut dispatcher = synced_dispatcher(1);
    let shares = vec![Share { service: SERVICE.to_owned(), weight: 0 }];
    let route = Route { shares, ..routing().routes.remove(0) };
    let entry = StoreEntry::Routing(Routing { version: 2, routes: vec![route], ..routing() });
    let entries = vec![VersionedEntry { revision: 20, entry }];
    let change = Delta { since: 19, revision: 20, is_snapshot: false, entries };
    dispatcher.apply_delta(ms(20), &change, &mut Vec::new());
    let copy = SegmentKind::Syn { retransmissions: 1 };
    assert_eq!(handle(&mut dispatcher, ms(30), &segment(service_address(), copy, 0)), Vec::new());
    assert!(is_reset(&handle(&mut dispatcher, ms(40), &segment(service_address(), FIRST_SYN, 0))));
}

/// Guards against a flow that waits for a slot although its route was dropped: its next copy shows that no other instance has
/// it, so that it can be reset.
#[test]
fn a_waiting_flow_whose_route_is_dropped_is_reset_at_its_next_copy() {
    let mut dispatcher = synced_dispatcher(1);
    let syn = |port, retransmissions| {
        let segment = segment(service_address(), SegmentKind::Syn { retransmissions }, 0);
        let caller = SocketAddrV4::new(*segment.flow.caller.ip(), port);
        Segment { flow: FlowId { caller, ..segment.flow }, ..segment }
    };
    let is_waiting = |dispatcher: &Dispatcher| dispatcher.flow_counts().1 == 1;
    let waiting = (4_000..4_100).find(|port| {
        handle(&mut dispatcher, ms(1), &syn(*port, 0));
        is_waiting(&dispatcher)
    });
    dispatcher.apply_delta(ms(20), &configuration(20, &[]), &mut Vec::new());
    assert!(is_waiting(&dispatcher));
    assert!(is_reset(&handle(&mut dispatcher, ms(201), &syn(waiting.unwrap(), 1))));
    assert_eq!(dispatcher.flow_counts().1, 0);
}
