//! Messages to an instance that has just received its state from a peer and that others do not know yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::store_snapshot;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::fleet::instance_id;
use hawthornshift_core::direct::flow_bindings::FlowBinding;
use hawthornshift_core::direct::flow_bindings::FlowBindingReport;
use hawthornshift_core::direct::flow_bindings::FlowBindings;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::message::Announcement;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::reports::message::Message;
use hawthornshift_core::direct::reports::message::StoreUpdate;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::message::MemberState;
use hawthornshift_core::message::MemberUpdate;
use hawthornshift_model::Revision;

const NOW: Timestamp = Duration::from_secs(10);

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index], 7_000))
}

fn fleet(index: u8) -> Fleet {
    let identity = Identity {
        id: instance_id(address(index)),
        incarnation: 1,
        failure_domain: domain(0),
        control: address(index),
        forward: address(index),
    };
    Fleet::new(NOW, identity, &[])
}

fn dispatcher(id: u32) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        id,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(4),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    });
    dispatcher.apply_delta(NOW, &store_snapshot(4), &mut Vec::new());
    dispatcher
}

fn binding(flow: u64) -> FlowBinding {
    FlowBinding { flow, sequence: 1, target: 7 }
}

fn report(flow: u64) -> FlowBindingReport {
    FlowBindingReport { bindings: vec![binding(flow)], requested: Vec::new() }
}

/// Returns an update of the watcher, the instance with index 9.
fn update(revision: Revision) -> Frame {
    let control = address(9);
    let sender = MemberUpdate {
        id: instance_id(control),
        incarnation: 1,
        version: 0,
        state: MemberState::Alive,
        failure_domain: domain(0),
        control,
        forward: control,
    };
    let announcement = Announcement { revision, age: Duration::ZERO, leaving: false };
    let delta = Delta { since: revision - 1, revision, ..Delta::default() };
    let message = Message::StoreUpdate(StoreUpdate {
        watcher: None,
        announcement,
        delta: Some(Arc::new(delta)),
        sender_revision: revision,
        relay_to: Vec::new(),
    });
    Frame::WithSender { sender, message }
}

/// Returns the addresses that store updates are sent to.
fn updated(effects: &[FleetEffect]) -> Vec<SocketAddr> {
    let sent = effects.iter().filter_map(|effect| match effect {
        FleetEffect::Send(to, Frame::WithSender { message: Message::StoreUpdate(_), .. }) => Some(to.clone()),
        _ => None,
    });
    sent.flatten().collect()
}

/// Guards against packets of open flows at other targets: the report of where a flow is open misses an instance that has
/// started after its state was handed over and before the reporter knows of it.
#[test]
fn a_binding_that_is_reported_after_the_handover_reaches_a_starting_instance() {
    let (mut source, mut started) = ((fleet(1), dispatcher(1)), dispatcher(2));
    let state = source.1.handover(NOW, 0);
    source.0.handed_over(NOW, address(2));
    let new = source.1.apply_flow_bindings(NOW + ms(5), &report(77));
    let relayed = source.0.relay_flow_bindings(NOW + ms(5), new);
    let Some(FleetEffect::Send(to, Frame::FlowBindings(relayed))) = relayed else { panic!("{relayed:?}") };
    assert_eq!(to, [address(2)]);
    started.apply_handover(NOW + ms(10), &state, &mut Vec::new());
    assert_eq!(started.apply_flow_bindings(NOW + ms(10), &relayed), [binding(77)]);
    assert_eq!(source.0.binding_recipients(NOW + ms(20), &[address(3)]), [address(3), address(2)]);
    assert_eq!(source.0.binding_recipients(NOW + ms(20), &[address(2)]), [address(2)]);
}

/// Guards against a report that two instances, which have each started with the state of the other one, relay to and fro.
#[test]
fn a_known_binding_is_not_relayed() {
    let (mut fleet, mut dispatcher) = (fleet(1), dispatcher(1));
    fleet.handed_over(NOW, address(2));
    for (at, is_relayed) in [(1, true), (2, false)] {
        let new = dispatcher.apply_flow_bindings(NOW + ms(at), &report(77));
        assert_eq!(fleet.relay_flow_bindings(NOW + ms(at), new).is_some(), is_relayed);
    }
}

/// Guards against a change of the store that misses an instance which has just started: the watcher does not know of it.
#[test]
fn a_store_update_after_the_handover_reaches_a_starting_instance() {
    let mut source = fleet(1);
    source.handed_over(NOW, address(2));
    assert_eq!(updated(&source.handle_datagram(NOW + ms(5), update(12), 11)), [address(2)]);
    assert_eq!(updated(&source.handle_datagram(NOW + ms(6), update(12), 12)), []);
    let mut watcher = fleet(3);
    watcher.watcher_role_mut().start(NOW);
    watcher.watcher_role_mut().record_store_answer(NOW);
    watcher.handed_over(NOW, address(2));
    assert_eq!(updated(&watcher.publish_delta(NOW + ms(5), 12, None)), [address(2)]);
}

/// Guards against messages to instances that others know by now, and against a list without a bound.
#[test]
fn relaying_ends() {
    let mut source = fleet(1);
    for index in 2..202 {
        source.handed_over(NOW, address(index));
    }
    assert!(source.binding_recipients(NOW, &[]).len() <= 16);
    assert!(source.binding_recipients(NOW + Duration::from_secs(2), &[]).is_empty());
}

/// Guards against bindings that nobody repeats, since the instance that has observed them stops before its second report.
#[test]
fn an_instance_that_stops_reports_what_is_still_due() {
    let mut bindings = FlowBindings::default();
    for flow in 0..100 {
        bindings.observe(NOW, binding(flow));
    }
    assert_eq!(bindings.take_report(NOW).bindings.len(), 60);
    let remaining: Vec<usize> = bindings.take_remaining().iter().map(|report| report.bindings.len()).collect();
    assert_eq!(remaining, [60, 40]);
    assert!(bindings.take_remaining().is_empty());
}
