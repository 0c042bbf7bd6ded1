//! When an instance has to be woken.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::members::Members;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;

const START: Timestamp = Duration::from_mins(1);

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatcherConfig {
        id: 0,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(5),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    });
    dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(40), &mut Vec::new());
    dispatcher.set_members(Timestamp::ZERO, vec![0, 1, 2], vec![0, 1, 2], true);
    dispatcher.tick(START, &mut Vec::new());
    dispatcher
}

/// Guards against reviews that wake an instance without anything to review.
#[test]
fn an_idle_instance_is_not_woken_every_50_ms() {
    let dispatcher = dispatcher();
    assert!(dispatcher.next_due() >= START + ms(100), "{:?}", dispatcher.next_due().saturating_sub(START));
    assert!(dispatcher.may_tick(START + ms(50)), "a review that waits for an event runs at the next one");
}

/// Guards against overdue answers that are noticed late because the review waits for another event.
#[test]
fn an_open_request_is_reviewed_every_50_ms() {
    let mut dispatcher = dispatcher();
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 5_000);
    let flow = FlowId { caller, service: service_address() };
    let kind = SegmentKind::Syn { retransmissions: 0 };
    let syn = Segment { flow, kind, sequence: 7, acknowledged: 0, payload_bytes: 0, cookie: 0 };
    dispatcher.handle_packet(START, &syn, &[0; 36], &mut Vec::new());
    for step in 0..10 {
        assert!(dispatcher.next_due() <= START + ms(50 * (step + 1)), "step {step}");
        dispatcher.tick(START + ms(50 * (step + 1)), &mut Vec::new());
        if !dispatcher.open_requests().has_local() {
            return;
        }
    }
}

/// Guards against a loop that spins: a timer that its own tick leaves due takes a whole core.
#[test]
fn a_tick_leaves_no_timer_due() {
    let mut fleet = Members::starting(11, 60);
    for round in 0..200 {
        fleet.run(ms(17));
        if round == 100 {
            (0..20).for_each(|index| fleet.kill(index));
            fleet.partitions = vec![(0, 1), (2, 3)];
        }
        assert_eq!(fleet.tick_all().into_iter().filter(|due| *due <= fleet.now).count(), 0, "round {round}");
    }
}
