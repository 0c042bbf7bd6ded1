//! The instance's own narrow link under uploads.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use crate::fleet::upload_address;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::limits::link_budget::LinkBudget;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::targets::reachability::CheckOutcome;

const SMALL_OBJECTIVE: Duration = Duration::from_millis(400);
const UPLOAD_OBJECTIVE: Duration = Duration::from_millis(800);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Shares of the requests sent in a burst: small ones in time and at all, uploads in time and at all.
#[derive(Debug, Default)]
struct Served {
    small: f64,
    small_at_all: f64,
    uploads: f64,
    uploads_at_all: f64,
}

fn served(sim: &Sim, from: Duration, to: Duration) -> Served {
    let share = |is_upload: bool, objective: Duration| {
        let sent = sim.requests.iter().filter(|r| r.sent_at >= from && r.sent_at < to);
        let sent: Vec<_> = sent.filter(|r| (r.upload_packets > 0) == is_upload).collect();
        let answered = sent.iter().filter(|r| r.answered_at.is_some_and(|at| at <= r.sent_at + objective)).count();
        f64::from(u32::try_from(answered).unwrap()) / f64::from(u32::try_from(sent.len().max(1)).unwrap())
    };
    Served {
        small: share(false, SMALL_OBJECTIVE),
        small_at_all: share(false, secs(60)),
        uploads: share(true, UPLOAD_OBJECTIVE),
        uploads_at_all: share(true, secs(60)),
    }
}

/// Starts eight instances, six of them with a link of 10 Mbit/s, of which the settings state `stated_mbps`.
fn sim(seed: u64, stated_mbps: f64, without: &[Mechanism]) -> Sim {
    let mut sim = Sim::new(seed, 8, 40, 200.0);
    sim.mechanisms = without.iter().fold(Mechanisms::default(), |all, mechanism| all.without(*mechanism));
    sim.set_route_times(SMALL_OBJECTIVE, ms(2_500));
    sim.use_uploads(UPLOAD_OBJECTIVE);
    for instance in 0..6 {
        sim.narrow_link(instance, stated_mbps, 10.0);
    }
    sim.run_until(secs(1));
    sim.uploads_per_second = 1.0;
    sim.send_upload();
    sim
}

/// Simulates a burst of uploads from 4 to 8 s, at fourteen times the usual rate.
fn run_burst(seed: u64, stated_mbps: f64, uploads_per_second: f64, without: &[Mechanism]) -> Sim {
    let mut sim = sim(seed, stated_mbps, without);
    sim.uploads_per_second = uploads_per_second / 14.0;
    sim.run_until(secs(4));
    sim.uploads_per_second = uploads_per_second;
    sim.run_until(secs(8));
    sim.uploads_per_second = uploads_per_second / 14.0;
    sim.run_until(secs(11));
    sim.assert_invariants();
    sim
}

/// Guards against uploads that fill narrow links until callers retransmit everything, so that small requests and most
/// uploads fail. Without the mechanism the simulated links collapse as those of the platform do.
#[test]
fn small_requests_are_served_beside_an_upload_burst() {
    for seed in 0..3 {
        let burst = |without: &[Mechanism]| served(&run_burst(seed, 10.0, 160.0, without), secs(4), secs(8));
        let (with, without) = (burst(&[]), burst(&[Mechanism::LinkBudget]));
        assert!(without.small < 0.8 && without.uploads < 0.8, "seed {seed}: no overload, {without:?}");
        assert!(with.small >= 0.97 && with.uploads >= 0.9, "seed {seed}: {with:?}");
    }
}

/// Guards against uploads that are refused although the link carries them.
#[test]
fn uploads_that_the_link_carries_are_not_refused() {
    let sim = run_burst(0, 10.0, 40.0, &[]);
    assert_eq!(sim.decisions_with(Outcome::ResetLink).count(), 0);
}

/// Guards against a setting ten times too small that refuses uploads for good, and against one ten times too large with
/// which the mechanism makes matters worse than they are without it.
#[test]
fn a_wrong_bandwidth_in_the_settings_is_corrected() {
    for seed in 0..3 {
        let sim = run_burst(seed, 1.0, 80.0, &[]);
        let low = served(&sim, secs(4), secs(8));
        assert!(low.small >= 0.97 && low.uploads >= 0.95, "seed {seed}: {low:?}");
        assert!(sim.dispatcher(0).link_status(sim.now).unwrap().capacity_mbps > 3.0);
        let high = served(&run_burst(seed, 100.0, 160.0, &[]), secs(4), secs(8));
        assert!(high.small_at_all >= 0.97 && high.small >= 0.85 && high.uploads >= 0.85, "seed {seed}: {high:?}");
    }
}

/// Guards against a link that becomes slower during operation and collapses, since the settings still state more.
#[test]
fn a_drop_of_the_bandwidth_is_detected() {
    for seed in 0..3 {
        let run = |without: &[Mechanism]| {
            let mut sim = sim(seed, 10.0, without);
            sim.uploads_per_second = 50.0;
            sim.run_until(secs(3));
            (0..6).for_each(|instance| sim.set_link_mbps(instance, 3.0));
            sim.run_until(secs(9));
            served(&sim, secs(5), secs(8))
        };
        let (with, without) = (run(&[]), run(&[Mechanism::LinkBudget]));
        assert!(with.small_at_all >= 0.97 && with.small > without.small + 0.2, "seed {seed}: {with:?}, {without:?}");
    }
}

fn segment(port: u16, kind: SegmentKind, sequence: u32, payload_bytes: u16) -> Segment {
    let flow = FlowId { caller: SocketAddrV4::new([100, 64, 0, 1].into(), port), service: upload_address() };
    Segment { flow, kind, sequence, acknowledged: 0, payload_bytes, cookie: cookie(target_id(0)) }
}

const SYN: SegmentKind = SegmentKind::Syn { retransmissions: 0 };

/// Passes `packets` packets of an upload, and its answer.
fn upload(budget: &mut LinkBudget, now: Timestamp, port: u16, packets: u32) {
    for packet in 0..packets {
        budget.received(now, &segment(port, SegmentKind::Ack, 8 + packet * 1_200, 1_200));
    }
    budget.answered(segment(port, SYN, 0, 0).flow.flow_hash());
}

/// Guards against a route with small requests that counts as heavy since its packets were retransmitted.
#[test]
fn retransmitted_bytes_are_not_counted() {
    let mut budget = LinkBudget::new(10.0, true);
    for port in 0..5 {
        for _ in 0..40 {
            budget.received(ms(1), &segment(port, SegmentKind::Ack, 8, 1_200));
        }
        budget.answered(segment(port, SYN, 0, 0).flow.flow_hash());
    }
    assert!((100..200).all(|port| budget.admit(ms(2), &segment(port, SYN, 7, 0), UPLOAD_OBJECTIVE)));
}

/// Guards against refusals by an instance that has just started, on a link that is not narrow or with the mechanism off,
/// and against a narrow link that admits more than it carries.
#[test]
fn only_narrow_links_with_known_routes_refuse() {
    let admitted = |budget: &mut LinkBudget| {
        (100..200).filter(|port| budget.admit(ms(2), &segment(*port, SYN, 7, 0), UPLOAD_OBJECTIVE)).count()
    };
    for (mbps, enabled, is_known, expected) in [
        (10.0, true, true, 4),
        (40.0, true, true, 18),
        (10.0, true, false, 100),
        (10.0, false, true, 100),
        (200.0, true, true, 100),
    ] {
        let mut budget = LinkBudget::new(mbps, enabled);
        (0..3).filter(|_| is_known).for_each(|port| upload(&mut budget, ms(1), port, 34));
        assert_eq!(admitted(&mut budget), expected, "{mbps} {enabled} {is_known}");
        (100..104).for_each(|port| budget.closed(segment(port, SYN, 0, 0).flow.flow_hash()));
        assert_eq!(admitted(&mut budget), if expected == 100 { 100 } else { 4 }, "the link is free again");
    }
}

/// Guards against an instance that starts on a full link, takes the delayed handshakes for usual ones and admits more.
#[test]
fn an_instance_that_starts_on_a_full_link_sees_no_free_capacity() {
    let mut budget = LinkBudget::new(10.0, true);
    for now in 0..2_000 {
        budget.sent(ms(now), 1_250);
        budget.handshake(ms(now), ms(150));
    }
    let status = budget.status(ms(2_000)).unwrap();
    assert!(budget.is_congested(ms(2_000)) && status.capacity_mbps <= 10.0, "{status:?}");
    // Once one handshake has been quick, the others are known to be late.
    (0..2).for_each(|_| budget.handshake(ms(2_000), ms(8)));
    (2_000..2_200).for_each(|now| budget.sent(ms(now), 1_250));
    (2_200..2_400).for_each(|now| {
        budget.sent(ms(now), 625);
        budget.handshake(ms(now), ms(150));
    });
    let status = budget.status(ms(2_400)).unwrap();
    assert!(budget.is_congested(ms(2_400)) && status.capacity_mbps < 10.0, "{status:?}");
}

/// Guards against a lost packet that looks like a delay of the link, which would suppress second tries.
#[test]
fn a_single_late_handshake_shows_no_delay() {
    for (late, expected) in [(1, false), (2, true)] {
        let mut budget = LinkBudget::new(10.0, true);
        (0..2).for_each(|_| budget.handshake(ms(0), ms(8)));
        (0..150).for_each(|now| budget.sent(ms(now), 300));
        (0..late).for_each(|_| budget.handshake(ms(150), ms(208)));
        (150..300).for_each(|now| budget.sent(ms(now), 300));
        assert_eq!(budget.is_congested(ms(300)), expected, "{late} late");
    }
}

/// Guards against SYNs to a second target, suspicions and failed checks that the delay of the instance's own link causes.
#[test]
fn targets_are_not_suspected_while_the_own_link_is_full() {
    for is_full in [false, true] {
        let mut dispatcher = Dispatcher::new(DispatcherConfig {
            id: 1,
            domain: domain(0),
            evacuation_grace: secs(4),
            link_mbps: 10.0,
            mechanisms: Mechanisms::default(),
        });
        let mut effects = Vec::new();
        dispatcher.apply_delta(Timestamp::ZERO, &store_snapshot(8), &mut effects);
        let small = |port: u16, kind: SegmentKind, payload: u16| Segment {
            flow: FlowId { service: service_address(), ..segment(port, kind, 7, 0).flow },
            ..segment(port, kind, 7, payload)
        };
        for now in 0..900 {
            if now == 300 {
                (20..30).for_each(|port| dispatcher.handle_packet(ms(now), &small(port, SYN, 0), &[1], &mut effects));
            }
            // Half of the link's bytes in each direction: 10 Mbit/s are 1,250 bytes in a millisecond.
            if is_full && now % 2 == 0 {
                dispatcher.handle_packet(ms(now), &small(9, SegmentKind::Ack, 1_200), &[], &mut effects);
            }
            dispatcher.tick(ms(now), &mut effects);
            let checked = effects.drain(..).filter_map(|effect| match effect {
                Effect::Check { target, .. } => Some(target),
                _ => None,
            });
            // The only target that is dead is checked against others that accept connections.
            let mut checked: Vec<_> = checked.collect();
            checked.sort_unstable_by_key(|target| *target == target_id(0));
            for target in checked {
                let dead = target == target_id(0);
                let outcome = if dead { CheckOutcome::TimedOut } else { CheckOutcome::Accepted };
                dispatcher.check_finished(ms(now), target, outcome, &mut effects);
            }
        }
        let again = dispatcher.counts().get(Outcome::PlacedAgain);
        let suspected = dispatcher.outliers().avoided(ms(900)).count();
        assert!(if is_full { again == 0 && suspected == 0 } else { again > 0 && suspected > 0 });
        assert_eq!(dispatcher.unreachable_count(ms(900)) > 0, !is_full);
    }
}
