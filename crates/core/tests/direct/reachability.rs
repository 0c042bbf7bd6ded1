//! When a target is taken for out of reach.

use std::time::Duration;

use crate::fleet::ms;
use hawthornshift_core::direct::reachability::CHECK_LIMIT;
use hawthornshift_core::direct::reachability::CheckOutcome;
use hawthornshift_core::direct::reachability::Finding;
use hawthornshift_core::direct::reachability::Reachability;
use hawthornshift_core::direct::reachability::ReachabilityChecks;
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
    assert_eq!(checks.reachability(SILENT_TARGET), Reachability::Reachable);
}

/// One instance fails to reach a target while it reaches others: a packet was lost. The target may be taken for out of
/// reach only when another instance fails as well, and a report of an instance that succeeds must clear it.
#[test]
fn another_instance_must_confirm_a_failure() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVE_TARGET, CheckOutcome::Accepted, false);
    assert_eq!(fail(&mut checks, NOW, false), Finding::Failed);
    assert_eq!(checks.reachability(SILENT_TARGET), Reachability::Reachable);
    assert!(checks.record_peer_failure(NOW + ms(90), SILENT_TARGET));
    assert_eq!(checks.reachability(SILENT_TARGET), Reachability::OutOfReach);
    checks.refuted(NOW + ms(95), SILENT_TARGET);
    assert_eq!(checks.reachability(SILENT_TARGET), Reachability::Reachable);
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
    assert_eq!(checks.reachability(SILENT_TARGET), Reachability::Reachable);
}
