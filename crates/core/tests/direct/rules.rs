//! Invariants of the dispatcher.

use std::time::Duration;

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::prop_assert;
use proptest::proptest;

use crate::fleet::Sim;
use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::routing;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use crate::fleet::target_spec;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Decision;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::dispatcher::Packet;
use hawthornshift_core::direct::lifecycle::pause::PauseDetector;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::reports::load_report::OpenRequest;
use hawthornshift_core::direct::segment::Cookie;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::Routing;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_core::direct::targets::outlier::Availability;

fn dispatcher() -> Dispatcher {
    Dispatcher::new(DispatcherConfig {
        id: 1,
        domain: domain(0),
        evacuation_grace: Duration::from_secs(4),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    })
}

fn synced_dispatcher(targets: usize) -> Dispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(targets), &mut Vec::new());
    dispatcher
}

fn flow(port: u16) -> FlowId {
    FlowId { caller: std::net::SocketAddrV4::new([100, 64, 0, 1].into(), port), service: service_address() }
}

fn segment(port: u16, kind: SegmentKind) -> Segment {
    Segment { flow: flow(port), kind, sequence: 5, acknowledged: 0, payload_bytes: 0, cookie: 0 }
}

fn syn(port: u16) -> Segment {
    segment(port, SegmentKind::Syn { retransmissions: 0 })
}

fn handle_segment(dispatcher: &mut Dispatcher, now: Timestamp, segment: &Segment) -> Vec<Effect> {
    let mut effects = Vec::new();
    dispatcher.handle_packet(now, segment, b"packet", &mut effects);
    effects
}

fn forwarded_to(effects: &[Effect]) -> Vec<u64> {
    let target = |effect: &Effect| if let Effect::Forward { target, .. } = effect { Some(*target) } else { None };
    effects.iter().filter_map(target).collect()
}

fn open_request(flow: u32, target: Cookie) -> OpenRequest {
    OpenRequest { flow, target, age_ms: 0 }
}

fn store_update(revision: u64, store_entry: StoreEntry) -> Delta {
    Delta {
        since: revision - 1,
        revision,
        is_snapshot: false,
        entries: vec![VersionedEntry { revision, entry: store_entry }],
    }
}

/// All targets of a service are cold, and every instance gets SYNs for it, some of which do not know of the others. A
/// deployment may have 88 instances; the test runs 24. A cold target must not get more than five flows a second in all,
/// or it fails under the load that was to warm it.
#[test]
fn cold_targets_get_few_flows_across_all_instances() {
    let mut sim = Sim::new(11, 24, 4, 600.0);
    for index in 0..4 {
        let spec = target_spec(index, Duration::from_mins(1));
        sim.store_content.entries[index].entry = StoreEntry::Target(target_id(index), Some(spec));
    }
    for round in 0..6_usize {
        sim.run_until(Duration::from_secs(2 + round as u64));
        sim.kill(round * 3);
        sim.start_at(sim.now + ms(300), round * 3);
        sim.cut_domain = (round % 2 == 1).then_some(round % 4);
    }
    sim.run_until(Duration::from_secs(9));
    for (id, target) in &sim.targets {
        for from in &target.syn_times {
            let within =
                target.syn_times.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count();
            assert!(within <= 5, "target {id:x} got {within} SYNs within a second");
        }
    }
}

/// A target starts while others serve, and its entry reports that it is cold for two seconds. It must get nothing
/// before they are over.
#[test]
fn a_cold_target_gets_nothing_while_a_warm_one_is_available() {
    let mut dispatcher = synced_dispatcher(2);
    let cold = StoreEntry::Target(target_id(2), Some(target_spec(2, Duration::from_secs(2))));
    dispatcher.apply_delta(Duration::from_secs(1), &store_update(12, cold), &mut Vec::new());
    for port in 0..200 {
        let now = Duration::from_secs(1) + ms(u64::from(port) * 9);
        let effects = handle_segment(&mut dispatcher, now, &syn(1_000 + port));
        assert!(!forwarded_to(&effects).contains(&target_id(2)));
    }
    let later = (0..100)
        .flat_map(|port| forwarded_to(&handle_segment(&mut dispatcher, Duration::from_secs(4), &syn(5_000 + port))));
    assert!(later.collect::<Vec<_>>().contains(&target_id(2)));
}

/// A target announces that it drains. It must get no new flow, and packets of its open flows must go on reaching it,
/// also when its entry has gone from the store: otherwise its callers would lose answers that are being written.
#[test]
fn a_draining_target_keeps_its_flows_and_gets_no_new_ones() {
    let mut dispatcher = synced_dispatcher(2);
    let open_port = (0..50)
        .find(|port| forwarded_to(&handle_segment(&mut dispatcher, ms(1), &syn(*port))) == [target_id(1)])
        .unwrap();
    let mut spec = target_spec(1, Duration::ZERO);
    spec.draining = true;
    dispatcher.apply_delta(ms(5), &store_update(12, StoreEntry::Target(target_id(1), Some(spec))), &mut Vec::new());
    for port in 100..200 {
        assert!(!forwarded_to(&handle_segment(&mut dispatcher, ms(6), &syn(port))).contains(&target_id(1)));
    }
    dispatcher.apply_delta(ms(4_000), &store_update(13, StoreEntry::Target(target_id(1), None)), &mut Vec::new());
    let data = Segment {
        payload_bytes: 10,
        acknowledged: 9,
        cookie: cookie(target_id(1)),
        ..segment(open_port, SegmentKind::Ack)
    };
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(4_100), &data)), [target_id(1)]);
}

/// Entries expire while the targets cannot reach the store, and return two seconds later. New flows must go on being
/// placed meanwhile; a target whose entry does not return gets none after that.
#[test]
fn an_expired_entry_is_used_for_two_more_seconds() {
    let mut dispatcher = synced_dispatcher(1);
    dispatcher.apply_delta(ms(10), &store_update(12, StoreEntry::Target(target_id(0), None)), &mut Vec::new());
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(1_900), &syn(1))), [target_id(0)]);
    let effects = handle_segment(&mut dispatcher, ms(2_100), &syn(2));
    assert!(matches!(effects[..], [Effect::Reset(_)]), "{effects:?}");
}

/// Operators evacuate a failure domain. New flows must stop at once, and four seconds later no packet may go there.
#[test]
fn an_evacuated_failure_domain_gets_nothing_after_the_grace_period() {
    let mut dispatcher = synced_dispatcher(2);
    let open_port = (0..50)
        .find(|port| forwarded_to(&handle_segment(&mut dispatcher, ms(1), &syn(*port))) == [target_id(1)])
        .unwrap();
    dispatcher.apply_delta(ms(5), &store_update(12, StoreEntry::Evacuated(domain(1), true)), &mut Vec::new());
    for port in 100..200 {
        assert!(!forwarded_to(&handle_segment(&mut dispatcher, ms(6), &syn(port))).contains(&target_id(1)));
    }
    let data = Segment {
        payload_bytes: 10,
        acknowledged: 9,
        cookie: cookie(target_id(1)),
        ..segment(open_port, SegmentKind::Ack)
    };
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(3_900), &data)), [target_id(1)]);
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(4_100), &data)), Vec::<u64>::new());
}

/// An evacuated failure domain returns to service after its targets have idled. Until they are warm again they must get
/// nothing, though their entries do not report yet that they are cold.
#[test]
fn a_reinstated_failure_domain_is_cold() {
    let mut dispatcher = synced_dispatcher(2);
    dispatcher.apply_delta(ms(5), &store_update(12, StoreEntry::Evacuated(domain(1), true)), &mut Vec::new());
    dispatcher.apply_delta(ms(9_000), &store_update(13, StoreEntry::Evacuated(domain(1), false)), &mut Vec::new());
    for port in 0..200 {
        let now = ms(9_001 + u64::from(port) * 9);
        assert!(!forwarded_to(&handle_segment(&mut dispatcher, now, &syn(port))).contains(&target_id(1)));
    }
}

/// A configuration drops a route. Its callers must get a reset at once, also on open flows.
#[test]
fn packets_of_a_dropped_route_are_reset() {
    let mut dispatcher = synced_dispatcher(1);
    handle_segment(&mut dispatcher, ms(1), &syn(1));
    let without = Routing { version: 2, routes: Vec::new(), ..routing() };
    dispatcher.apply_delta(ms(5), &store_update(12, StoreEntry::Routing(without)), &mut Vec::new());
    let data = Segment { payload_bytes: 10, cookie: cookie(target_id(0)), ..segment(1, SegmentKind::Ack) };
    assert!(matches!(handle_segment(&mut dispatcher, ms(6), &data)[..], [Effect::Reset(_)]));
    assert!(matches!(handle_segment(&mut dispatcher, ms(6), &syn(2))[..], [Effect::Reset(_)]));
}

/// An instance that has just started knows no route and no target. It must not conclude that there are none: a reset
/// would break flows that are open at other instances. A SYN must be buffered, and placed once the snapshot has
/// arrived.
#[test]
fn an_unsynced_instance_resets_no_flow() {
    let mut dispatcher = dispatcher();
    let data = Segment { payload_bytes: 10, cookie: 77, ..segment(1, SegmentKind::Ack) };
    assert_eq!(handle_segment(&mut dispatcher, ms(1), &data), Vec::new());
    assert_eq!(handle_segment(&mut dispatcher, ms(1), &syn(2)), Vec::new());
    let mut effects = Vec::new();
    dispatcher.apply_delta(ms(30), &store_snapshot(1), &mut effects);
    assert_eq!(forwarded_to(&effects), [target_id(0)]);
    let is_buffered =
        matches!(&effects[0], Effect::Forward { packet: Packet::Buffered(bytes), .. } if &bytes[..] == b"packet");
    assert!(is_buffered, "{effects:?}");
}

/// A flow moves here from another instance, with an unknown cookie. It may be open at a target whose entry has not
/// arrived yet, so the packet must be dropped and counted, and never reset.
#[test]
fn a_packet_with_an_unknown_cookie_is_dropped_without_reset() {
    let mut dispatcher = synced_dispatcher(1);
    let data = Segment { payload_bytes: 10, cookie: 0xDEAD, ..segment(1, SegmentKind::Ack) };
    assert_eq!(handle_segment(&mut dispatcher, ms(1), &data), Vec::new());
    assert_eq!(dispatcher.counts().get(Outcome::DroppedUnknownCookie), 1);
}

/// Two targets have answered one SYN, since the first was slow. The caller echoes the cookie that it received last, but
/// its flow is open at the target whose SYN-ACK it accepted. Its packets must keep going there.
#[test]
fn a_second_syn_ack_does_not_redirect_the_flow() {
    let mut dispatcher = synced_dispatcher(2);
    let first = forwarded_to(&handle_segment(&mut dispatcher, ms(1), &syn(1)))[0];
    let other = target_id(usize::from(first == target_id(0)));
    let data = Segment { payload_bytes: 10, acknowledged: 9, cookie: cookie(first), ..segment(1, SegmentKind::Ack) };
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(8), &data)), [first]);
    let redirected = Segment { acknowledged: 2_000, cookie: cookie(other), ..data };
    let effects = handle_segment(&mut dispatcher, ms(60), &redirected);
    assert_eq!(forwarded_to(&effects), [first]);
    assert!(matches!(effects[0], Effect::Forward { cookie: Some(cookie_sent), .. } if cookie_sent == cookie(first)));
}

/// A process is frozen for a second. Packets that its callers sent meanwhile are lost, and by its clock no handshake
/// finished in time. It must not hold this against the targets, and must not send any SYN a second time.
#[test]
fn a_freeze_makes_no_target_suspect() {
    let mut dispatcher = synced_dispatcher(4);
    for port in 0..8 {
        handle_segment(&mut dispatcher, ms(1), &syn(port));
    }
    let mut effects = Vec::new();
    dispatcher.tick(ms(1_200), &mut effects);
    assert_eq!(effects, Vec::new());
    assert_eq!(dispatcher.outliers().avoided(ms(1_200)).count(), 0);
}

proptest! {
    /// Whatever packets arrive in whatever order, nothing may panic, and no packet may go to a target that does not
    /// exist.
    #[test]
    fn any_packet_is_handled(
        packets in vec((0_u16..6, 0_u8..4, any::<u32>(), any::<u32>(), any::<u16>(), 0_u32..6), 1..200),
    ) {
        let mut dispatcher = synced_dispatcher(3);
        let mut now = Timestamp::ZERO;
        for (port, kind, sequence, acknowledged, payload_bytes, cookie_of) in packets {
            now += ms(u64::from(payload_bytes % 97));
            let kind = match kind {
                0 => SegmentKind::Syn { retransmissions: acknowledged % 4 },
                1 => SegmentKind::Ack,
                2 => SegmentKind::Fin,
                _ => SegmentKind::Rst,
            };
            let known = cookie(target_id(usize::try_from(cookie_of).unwrap()));
            let segment = Segment { flow: flow(port), kind, sequence, acknowledged, payload_bytes, cookie: known };
            let mut effects = handle_segment(&mut dispatcher, now, &segment);
            dispatcher.tick(now, &mut effects);
            for target in forwarded_to(&effects) {
                prop_assert!((0..3).any(|index| target_id(index) == target));
            }
        }
    }
}

/// A target dies, its callers notice, and it is restarted cold under the same id before a store update reports it. The
/// first caller that it answers must not cause the usual load on it: a second and a half later it is still cold.
#[test]
fn a_target_that_answers_after_a_silence_is_cold() {
    let mut dispatcher = synced_dispatcher(4);
    let mut trial_count = 0;
    for round in 0..40_u16 {
        let now = ms(u64::from(round) * 100);
        let opened = (round * 6..round * 6 + 6)
            .map(|port| (port, forwarded_to(&handle_segment(&mut dispatcher, now, &syn(port)))));
        for (port, sent) in opened.collect::<Vec<_>>() {
            match sent.last().copied() {
                Some(target) if target != target_id(2) => answer(&mut dispatcher, now, port, target),
                sent => trial_count += usize::from(sent.is_some()),
            }
        }
        dispatcher.tick(now + ms(45), &mut Vec::new());
    }
    assert!((2..16).contains(&trial_count), "a dead target was tried {trial_count} times");
    let restarted_at = ms(8_000);
    let open =
        |port: &u16| forwarded_to(&handle_segment(&mut dispatcher, restarted_at, &syn(*port))).contains(&target_id(2));
    let trial = (1_000..1_020).find(open).unwrap();
    answer(&mut dispatcher, restarted_at, trial, target_id(2));
    for port in 2_000..2_100 {
        let now = restarted_at + ms(8 + u64::from(port - 2_000) * 15);
        assert!(!forwarded_to(&handle_segment(&mut dispatcher, now, &syn(port))).contains(&target_id(2)));
    }
}

/// Plays a flow's packets up to the acknowledgement of an answer by `target`.
fn answer(dispatcher: &mut Dispatcher, now: Timestamp, port: u16, target: u64) {
    let data = Segment { payload_bytes: 9, acknowledged: 9, cookie: cookie(target), ..segment(port, SegmentKind::Ack) };
    handle_segment(dispatcher, now + ms(7), &data);
    let received = Segment { acknowledged: 900, payload_bytes: 0, ..data };
    handle_segment(dispatcher, now + ms(30), &received);
}

/// A process was paused for seconds, so its state is that old. New flows must wait until a peer or the store has
/// confirmed the state, or for 400 ms when none does.
#[test]
fn after_a_pause_new_flows_wait_for_confirmation() {
    let mut dispatcher = synced_dispatcher(1);
    dispatcher.process_paused(ms(5_000));
    assert_eq!(handle_segment(&mut dispatcher, ms(5_001), &syn(1)), Vec::new());
    let mut effects = Vec::new();
    dispatcher.confirm_up_to_date(ms(5_090), &mut effects);
    assert_eq!(forwarded_to(&effects), [target_id(0)]);
    dispatcher.process_paused(ms(9_000));
    assert_eq!(handle_segment(&mut dispatcher, ms(9_300), &syn(2)), Vec::new());
    let mut effects = Vec::new();
    dispatcher.tick(ms(9_410), &mut effects);
    assert_eq!(forwarded_to(&effects), [target_id(0)]);
}

/// A machine is suspended, and only its time of day goes on. The process must detect this all the same.
#[test]
fn a_suspension_is_detected_by_the_time_of_day() {
    let mut pause_detector = PauseDetector::new(ms(0), ms(1_000_000));
    assert_eq!(pause_detector.check(ms(50), ms(1_000_050)), None);
    assert_eq!(pause_detector.check(ms(100), ms(1_004_000)), Some(ms(3_950)));
    assert_eq!(pause_detector.check(ms(1_100), ms(1_005_000)), Some(ms(1_000)));
    assert_eq!(pause_detector.check(ms(1_150), ms(900_000)), None);
}

/// A target dies, and every instance sees that handshakes there are not finished. Each abandons the requests that it
/// has counted for these flows and reports that to the others. If these reports counted as answers, the target would
/// seem alive: when it restarts cold a second later, all instances would send it their full share until the store
/// update arrives.
#[test]
fn flows_abandoned_by_peers_are_no_evidence_of_liveness() {
    let mut dispatcher = synced_dispatcher(1);
    let mut effects = Vec::new();
    let target = cookie(target_id(0));
    for round in 0..10_u32 {
        let now = ms(100 + 100 * u64::from(round));
        let started = LoadReport {
            started: vec![open_request(round, target)],
            avoid: vec![(target, ms(600))],
            ..LoadReport::default()
        };
        dispatcher.apply_load_report(now, &started, &mut effects);
        dispatcher.apply_load_report(
            now + ms(50),
            &LoadReport { abandoned: vec![round], ..LoadReport::default() },
            &mut effects,
        );
        assert_eq!(dispatcher.open_requests().total(), 0);
    }
    let availability = dispatcher.outliers().availability(ms(1_200), target_id(0), ms(40), || false);
    assert_eq!(availability, Availability::Unresponsive);
}

/// The only target of a service dies and is sent flows that it never answers, since no instance knows yet. It restarts
/// cold, and the SYN retransmissions of these flows arrive. If all were forwarded at once, they would open all of these
/// flows there within a second, more than a cold target can serve.
#[test]
fn syn_retransmissions_to_a_target_restarted_cold_are_limited() {
    let mut dispatcher = synced_dispatcher(1);
    let mut effects = Vec::new();
    for port in 1..10 {
        dispatcher.handle_packet(ms(10), &syn(port), b"syn", &mut effects);
    }
    let restarted = StoreEntry::Target(target_id(0), Some(target_spec(0, Duration::from_secs(2))));
    let versioned_entries = vec![VersionedEntry { revision: 30, entry: restarted }];
    dispatcher.apply_delta(
        ms(100),
        &Delta { since: 11, revision: 30, is_snapshot: false, entries: versioned_entries },
        &mut effects,
    );
    effects.clear();
    for port in 1..10 {
        dispatcher.handle_packet(
            ms(210),
            &segment(port, SegmentKind::Syn { retransmissions: 1 }),
            b"syn",
            &mut effects,
        );
    }
    let sent = effects.iter().filter(|effect| matches!(effect, Effect::Forward { .. })).count();
    assert_eq!(sent, 1, "{effects:?}");
}

/// All targets of a service are cold, and instances that restarted at the same time disagree on which of them may send
/// them trial flows. An instance that receives a report of a flow that a peer has just placed on a cold target must
/// hold back.
#[test]
fn a_trial_flow_placed_by_a_peer_is_not_placed_again() {
    let mut dispatcher = dispatcher();
    let mut snapshot = store_snapshot(1);
    snapshot.entries[0].entry = StoreEntry::Target(target_id(0), Some(target_spec(0, Duration::from_mins(1))));
    dispatcher.apply_delta(Timestamp::ZERO, &snapshot, &mut Vec::new());
    let report = LoadReport { started: vec![open_request(9, cookie(target_id(0)))], ..LoadReport::default() };
    dispatcher.apply_load_report(ms(1_000), &report, &mut Vec::new());
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(1_500), &syn(1))), Vec::<u64>::new());
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(2_100), &syn(2))), [target_id(0)]);
    assert_eq!(forwarded_to(&handle_segment(&mut dispatcher, ms(2_900), &syn(3))), Vec::<u64>::new());
}

/// After a partition a thousand flows end whose callers were served through other instances. If they were logged like
/// requests without an answer, they would mislead an engineer who looks for failures.
#[test]
fn an_unfinished_handshake_is_not_an_unanswered_request() {
    let mut dispatcher = synced_dispatcher(3);
    handle_segment(&mut dispatcher, ms(1), &syn(1));
    handle_segment(&mut dispatcher, ms(2), &syn(2));
    handle_segment(
        &mut dispatcher,
        ms(5),
        &Segment { acknowledged: 100, payload_bytes: 40, ..segment(2, SegmentKind::Ack) },
    );
    for step in 0..2_000_u64 {
        dispatcher.tick(ms(step * 10), &mut Vec::new());
    }
    let ended = |port: u16, outcome: Outcome, decisions: &[Decision]| {
        decisions.iter().any(|decision| decision.flow == flow(port) && decision.outcome == outcome)
    };
    let decisions = dispatcher.take_decisions();
    assert!(ended(1, Outcome::HandshakeUnfinished, &decisions));
    assert!(!ended(1, Outcome::EndedUnanswered, &decisions));
    assert!(ended(2, Outcome::EndedUnanswered, &decisions));
}
