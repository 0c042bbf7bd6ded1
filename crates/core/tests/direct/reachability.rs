//! When a target is taken for out of reach.

use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::domain;
use crate::fleet::ms;
use crate::fleet::service_address;
use crate::fleet::store_snapshot;
use crate::fleet::target_id;
use crate::fleet::target_spec;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::dispatcher::Dispatcher;
use hawthornshift_core::direct::dispatcher::DispatcherConfig;
use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::limits::adaptive_limit::AdaptiveLimits;
use hawthornshift_core::direct::limits::adaptive_limit::Usage;
use hawthornshift_core::direct::limits::link_budget::WIDE_LINK_MBPS;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::load_report::LoadReport;
use hawthornshift_core::direct::segment::FlowId;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_core::direct::segment::SegmentKind;
use hawthornshift_core::direct::store::directory::cookie;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;
use hawthornshift_core::direct::targets::failures::Failures;
use hawthornshift_core::direct::targets::outlier::Outliers;
use hawthornshift_core::direct::targets::reachability::CHECK_LIMIT;
use hawthornshift_core::direct::targets::reachability::CheckOutcome;
use hawthornshift_core::direct::targets::reachability::Finding;
use hawthornshift_core::direct::targets::reachability::Reachability;
use hawthornshift_core::direct::targets::reachability::ReachabilityChecks;
use hawthornshift_model::TargetId;

/// The target that may have died.
const SILENT_TARGET: TargetId = 1;
/// A target that answers.
const LIVE_TARGET: TargetId = 2;
/// Start of the checks. The three times below are when packets were sent to the targets and when one of them answered.
const NOW: Duration = Duration::from_secs(10);
const SENT_TO_SILENT_TARGET: Duration = Duration::from_millis(9_700);
const SENT_TO_LIVE_TARGET: Duration = Duration::from_millis(9_950);
const ANSWERED_AT: Duration = Duration::from_millis(9_990);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn usual_latency(_: TargetId) -> Duration {
    ms(40)
}

/// Returns checks of a target whose answer is pending and of another one that has just answered.
fn under_check() -> ReachabilityChecks {
    let mut checks = ReachabilityChecks::default();
    checks.sent(SENT_TO_SILENT_TARGET, SILENT_TARGET);
    checks.sent(SENT_TO_LIVE_TARGET, LIVE_TARGET);
    checks.answered(ANSWERED_AT, LIVE_TARGET);
    assert_eq!(checks.take_due(NOW, usual_latency), [SILENT_TARGET, LIVE_TARGET]);
    checks
}

fn fail(checks: &mut ReachabilityChecks, began: Duration, alone: bool) -> Finding {
    checks.check_finished(began + CHECK_LIMIT, SILENT_TARGET, CheckOutcome::TimedOut, alone)
}

/// Two checks begin at once, and neither target accepts. The fault is then at this instance, which reaches no target.
/// If it acted on the checks anyway, it would reset flows of targets that live.
#[test]
fn a_failure_counts_only_with_a_concurrent_success() {
    let mut checks = under_check();
    checks.check_finished(NOW + CHECK_LIMIT, LIVE_TARGET, CheckOutcome::TimedOut, true);
    assert_eq!(fail(&mut checks, NOW, true), Finding::Inconclusive);
    assert_eq!(checks.reachability(NOW + CHECK_LIMIT, SILENT_TARGET), Reachability::Reachable);
}

/// One instance fails to reach a target while it reaches others: a packet was lost. The target may be taken for out of
/// reach only when another instance fails as well, and a report of an instance that succeeds must clear it.
#[test]
fn another_instance_must_confirm_a_failure() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVE_TARGET, CheckOutcome::Accepted, false);
    assert_eq!(fail(&mut checks, NOW, false), Finding::Failed);
    assert_eq!(checks.reachability(NOW + CHECK_LIMIT, SILENT_TARGET), Reachability::Reachable);
    assert!(checks.record_peer_failure(NOW + ms(90), SILENT_TARGET));
    assert_eq!(checks.reachability(NOW + ms(90), SILENT_TARGET), Reachability::OutOfReach);
    checks.refuted(NOW + ms(95), SILENT_TARGET);
    assert_eq!(checks.reachability(NOW + ms(95), SILENT_TARGET), Reachability::Reachable);
}

/// An instance that knows no other one cannot ask for confirmation. Two failures of its own must suffice, or callers
/// behind a partition would wait until their deadlines for targets on its other side.
#[test]
fn an_instance_that_is_alone_needs_two_failures() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVE_TARGET, CheckOutcome::Accepted, true);
    assert_eq!(fail(&mut checks, NOW, true), Finding::Failed);
    let again = NOW + CHECK_LIMIT;
    assert!(checks.take_due(again, usual_latency).contains(&SILENT_TARGET));
    checks.check_finished(again + ms(2), LIVE_TARGET, CheckOutcome::Accepted, true);
    assert_eq!(fail(&mut checks, again, true), Finding::OutOfReach);
}

/// The process was paused during a check, and the target's answer is still unread. An expired limit is then no evidence
/// against the target.
#[test]
fn a_check_across_a_pause_is_inconclusive() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVE_TARGET, CheckOutcome::Accepted, true);
    let late = NOW + ms(500);
    assert_eq!(checks.check_finished(late, SILENT_TARGET, CheckOutcome::TimedOut, true), Finding::Inconclusive);
}

/// An instance failed to reach a target ten seconds ago, in a partition that is over, and has sent it nothing since.
/// Another instance fails now. These are two separate failures, and open flows must not be reset for them.
#[test]
fn an_old_failure_does_not_count() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVE_TARGET, CheckOutcome::Accepted, false);
    assert_eq!(fail(&mut checks, NOW, false), Finding::Failed);
    assert!(!checks.record_peer_failure(NOW + Duration::from_secs(10), SILENT_TARGET));
    assert_eq!(checks.reachability(NOW + secs(10), SILENT_TARGET), Reachability::Reachable);
}

/// A failure domain is cut off for 5 s and instances find targets there to be out of reach. Idle flows move to other
/// instances after that, which have sent those targets nothing since. A request on such a flow must be forwarded: its
/// target is alive, and a reset for the finding of 10 s ago would break the flow.
#[test]
fn findings_from_a_partition_that_is_over_reset_no_flow() {
    for seed in 40..43 {
        let mut sim = Sim::new(seed, 32, 60, 150.0);
        sim.use_persistent_flows(900);
        sim.route_by_readiness();
        sim.run_until(secs(6));
        sim.partition_domain(1);
        sim.run_until(secs(11));
        assert!(sim.unreachable_total() > 0);
        sim.cut_domain = None;
        sim.run_until(secs(11) + ms(350));
        let before = sim.decisions_with(Outcome::ResetUnreachable).count();
        sim.run_until(secs(22));
        sim.assert_invariants();
        let after = sim.decisions_with(Outcome::ResetUnreachable).count() - before;
        assert_eq!(after, 0, "flows of live targets were reset 350 ms after the partition or later");
    }
}

/// Returns checks of a target of which this instance awaits nothing, and which was found to be out of reach by a check
/// for a peer and another peer's report at the returned time.
fn out_of_reach() -> (ReachabilityChecks, Duration) {
    let mut checks = ReachabilityChecks::default();
    checks.request_check(SILENT_TARGET);
    checks.sent(SENT_TO_LIVE_TARGET, LIVE_TARGET);
    checks.answered(ANSWERED_AT, LIVE_TARGET);
    assert_eq!(checks.take_due(NOW, usual_latency), [SILENT_TARGET, LIVE_TARGET]);
    checks.check_finished(NOW + ms(2), LIVE_TARGET, CheckOutcome::Accepted, false);
    fail(&mut checks, NOW, false);
    let found_at = NOW + ms(60);
    assert!(checks.record_peer_failure(found_at, SILENT_TARGET));
    (checks, found_at)
}

/// A peer's report completes a finding, and this instance awaits nothing of the target. The target must be checked again
/// at a doubled interval, and the finding must lapse whenever a check is due, also if no check succeeds or fails. Otherwise
/// the first request to the target would be reset for it.
#[test]
fn a_finding_by_a_peers_report_is_checked_again_and_lapses() {
    let (mut checks, found_at) = out_of_reach();
    let (mut due_at, mut renewed_at) = (Vec::new(), found_at);
    for step in 1..600 {
        let now = found_at + ms(10) * step;
        if checks.take_due(now, usual_latency).contains(&SILENT_TARGET) {
            assert!(checks.is_lapsed(now, SILENT_TARGET));
            due_at.push(now.saturating_sub(renewed_at));
            renewed_at = now + CHECK_LIMIT;
            // The process is frozen during the last check, which is inconclusive then.
            let end = if due_at.len() < 3 { renewed_at } else { now + ms(300) };
            checks.check_finished(now + ms(2), LIVE_TARGET, CheckOutcome::Accepted, false);
            let finding = checks.check_finished(end, SILENT_TARGET, CheckOutcome::TimedOut, false);
            assert_eq!(finding == Finding::StillOutOfReach, due_at.len() < 3, "{finding:?}");
            let expected = if due_at.len() < 3 { Reachability::OutOfReach } else { Reachability::Reachable };
            assert_eq!(checks.reachability(end, SILENT_TARGET), expected);
            if due_at.len() == 3 {
                break;
            }
        }
    }
    assert_eq!(due_at, [ms(300), ms(600), ms(1_200)]);
    assert!(checks.take_due(renewed_at + secs(6), usual_latency).is_empty(), "an expired finding is still checked");
}

/// This process was frozen since it found a target out of reach, and wakes with reports in its socket that are as old.
/// Neither the finding nor a report that is read now may reset flows: the partition may be over.
#[test]
fn a_finding_does_not_survive_a_freeze() {
    let (mut checks, found_at) = out_of_reach();
    let ages = [ms(299), ms(300)];
    let reasons = ages.map(|age| checks.reset_reason(found_at + age, SILENT_TARGET));
    assert_eq!(reasons, [Some(Reachability::OutOfReach), None]);
    let woken_at = found_at + secs(4);
    checks.process_paused(woken_at);
    assert!(!checks.record_peer_failure(woken_at + ms(1), SILENT_TARGET));
    assert_eq!(checks.reachability(woken_at + ms(1), SILENT_TARGET), Reachability::Reachable);
}

/// A target is replaced at its address, which is final for it: neither an acknowledgement that was under way nor a
/// peer's report revives it, and its flows are reset. Another start of the same id is another target, and placement
/// would skip it forever if the finding stayed.
#[test]
fn only_another_start_ends_the_finding_that_a_target_is_gone() {
    let (mut checks, found_at) = out_of_reach();
    assert!(checks.gone(found_at, SILENT_TARGET));
    checks.answered(found_at + ms(1), SILENT_TARGET);
    checks.refuted(found_at + ms(1), SILENT_TARGET);
    checks.retain(found_at + secs(9), |_| Some(NOW));
    assert_eq!(checks.reachability(found_at + secs(9), SILENT_TARGET), Reachability::Gone);
    checks.retain(found_at + secs(9), |_| Some(found_at + secs(9)));
    assert_eq!(checks.reachability(found_at + secs(9), SILENT_TARGET), Reachability::Reachable);
}

/// Hands a caller's packet to a dispatcher and returns the targets that packets are forwarded to.
fn forward(dispatcher: &mut Dispatcher, now: Duration, port: u16, kind: SegmentKind, to: TargetId) -> Vec<TargetId> {
    let flow = FlowId { caller: std::net::SocketAddrV4::new([100, 64, 0, 1].into(), port), service: service_address() };
    let payload_bytes = if kind == SegmentKind::Ack { 100 } else { 0 };
    let cookie = if payload_bytes > 0 { cookie(to) } else { 0 };
    let segment = Segment { flow, kind, sequence: 5, acknowledged: 0, payload_bytes, cookie };
    let mut effects = Vec::new();
    dispatcher.handle_packet(now, &segment, b"packet", &mut effects);
    let target = |effect: &Effect| if let Effect::Forward { target, .. } = effect { Some(*target) } else { None };
    effects.iter().filter_map(target).collect()
}

/// A target is out of reach, so its flows are reset. New flows placed on it meanwhile would be reset next. When a check finds it alive, the group must
/// be notified although no member asked, and when its id returns with another start, the finding must end.
#[test]
fn a_target_whose_flows_are_reset_gets_no_new_ones() {
    let config = DispatcherConfig {
        id: 1,
        domain: domain(0),
        evacuation_grace: secs(4),
        link_mbps: WIDE_LINK_MBPS,
        mechanisms: Mechanisms::default(),
    };
    let mut dispatcher = Dispatcher::new(config);
    let (lost, live) = (target_id(0), target_id(4));
    dispatcher.apply_delta(Duration::ZERO, &store_snapshot(8), &mut Vec::new());
    dispatcher.set_members(Duration::ZERO, vec![1, 2], vec![1, 2], true);
    assert_eq!(forward(&mut dispatcher, ms(10), 1, SegmentKind::Ack, lost), [lost]);
    assert_eq!(forward(&mut dispatcher, ms(10), 2, SegmentKind::Ack, live), [live]);
    // Runs the timers until the lost target is checked, with the live one as reference. Returns the end of the check.
    let check = |dispatcher: &mut Dispatcher, mut now: Duration, outcome| {
        let mut effects = Vec::new();
        while !effects.iter().any(|effect| matches!(effect, Effect::Check { target, .. } if *target == lost)) {
            now += ms(10);
            assert!(now < secs(2), "the target is not checked");
            dispatcher.tick(now, &mut effects);
        }
        dispatcher.check_finished(now + ms(2), live, CheckOutcome::Accepted, &mut Vec::new());
        dispatcher.check_finished(now + ms(40), lost, outcome, &mut Vec::new());
        now + ms(40)
    };
    let failed_at = check(&mut dispatcher, ms(10), CheckOutcome::TimedOut);
    let confirmed = LoadReport { confirmed: vec![cookie(lost)], ..LoadReport::default() };
    dispatcher.apply_load_report(failed_at, &confirmed, &mut Vec::new());
    assert_eq!(dispatcher.unreachable_count(failed_at), 1);
    // The second check, which follows the first at once.
    dispatcher.check_finished(failed_at + ms(2), live, CheckOutcome::Accepted, &mut Vec::new());
    dispatcher.check_finished(failed_at + ms(40), lost, CheckOutcome::TimedOut, &mut Vec::new());
    let syn = SegmentKind::Syn { retransmissions: 0 };
    let new_flows: Vec<TargetId> =
        (10..40).flat_map(|port| forward(&mut dispatcher, failed_at, port, syn, lost)).collect();
    assert!(!new_flows.is_empty() && !new_flows.contains(&lost), "{new_flows:?}");
    let mut restarted = dispatcher.clone();
    dispatcher.take_report();
    let found_at = check(&mut dispatcher, failed_at + ms(50), CheckOutcome::Accepted);
    let report = dispatcher.take_report();
    assert!(report.alive.contains(&cookie(lost)), "{report:?}");
    assert_eq!(dispatcher.unreachable_count(found_at), 0);
    let spec = TargetSpec { started_at_ms: 9, ..target_spec(0, Duration::ZERO) };
    let entries = vec![VersionedEntry { revision: 12, entry: StoreEntry::Target(lost, Some(spec)) }];
    let delta = Delta { since: 11, revision: 12, is_snapshot: false, entries };
    restarted.apply_delta(failed_at + ms(50), &delta, &mut Vec::new());
    assert_eq!(restarted.unreachable_count(failed_at + ms(50)), 0);
}

/// A target is suspected or ejected, or a limit is in force, and then a service gets no request for a minute. Whatever
/// was found must not act on the first requests after that.
#[test]
fn findings_without_new_evidence_expire() {
    let mut outliers = Outliers::default();
    outliers.apply_suspicion(NOW, SILENT_TARGET, secs(2));
    outliers.expire(NOW + secs(31));
    assert!(outliers.is_suspected(SILENT_TARGET));
    outliers.expire(NOW + secs(32));
    assert!(!outliers.is_suspected(SILENT_TARGET));

    let ejection_time = |gap: u64| {
        let mut failures = Failures::default();
        assert!(failures.overdue(NOW, SILENT_TARGET));
        let again = NOW + secs(gap);
        assert!(failures.overdue(again, SILENT_TARGET));
        (1..20).find(|seconds| failures.ejected_count(again + secs(*seconds)) == 0)
    };
    assert_eq!((ejection_time(10), ejection_time(70)), (Some(6), Some(3)));

    let mut limits = AdaptiveLimits::default();
    for step in 0..20 {
        let took = if step == 0 { ms(10) } else { ms(90) };
        limits.answered(NOW + ms(100) * step, "orders", "a", took, || Usage { open: 20, share: 4.0 });
    }
    limits.expire(NOW + secs(11));
    assert_eq!(limits.count(), 1);
    limits.expire(NOW + secs(12));
    assert_eq!(limits.count(), 0);
}
