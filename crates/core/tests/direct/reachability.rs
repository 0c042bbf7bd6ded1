//! When a target counts as out of reach.

use std::time::Duration;

use crate::fleet::ms;
use hawthornshift_core::direct::reachability::CHECK_LIMIT;
use hawthornshift_core::direct::reachability::CheckOutcome;
use hawthornshift_core::direct::reachability::Finding;
use hawthornshift_core::direct::reachability::Reachability;
use hawthornshift_core::direct::reachability::ReachabilityChecks;
use hawthornshift_model::TargetId;

/// The target that may have died.
const SILENT: TargetId = 1;
/// One that answers.
const LIVELY: TargetId = 2;
/// When the checks begin; the times before it are when the targets were sent something.
const NOW: Duration = Duration::from_secs(10);
const ASKED_SILENT: Duration = Duration::from_millis(9_700);
const ASKED_LIVELY: Duration = Duration::from_millis(9_950);
const ANSWERED: Duration = Duration::from_millis(9_990);

fn usual(_: TargetId) -> Duration {
    ms(40)
}

/// A target owes an answer, another one has just answered; both are being checked.
fn under_check() -> ReachabilityChecks {
    let mut checks = ReachabilityChecks::default();
    checks.sent(ASKED_SILENT, SILENT);
    checks.sent(ASKED_LIVELY, LIVELY);
    checks.answered(ANSWERED, LIVELY);
    assert_eq!(checks.take_due(NOW, usual), [SILENT, LIVELY]);
    checks
}

fn fail(checks: &mut ReachabilityChecks, began: Duration, alone: bool) -> Finding {
    checks.check_finished(began + CHECK_LIMIT, SILENT, CheckOutcome::TimedOut, alone)
}

/// Two checks begin at once, and neither target accepts. It is this instance that reaches nobody; if it judged all the same,
/// it would reset flows of targets that live.
#[test]
fn a_failure_counts_only_beside_a_success() {
    let mut checks = under_check();
    checks.check_finished(NOW + CHECK_LIMIT, LIVELY, CheckOutcome::TimedOut, true);
    assert_eq!(fail(&mut checks, NOW, true), Finding::Inconclusive);
    assert_eq!(checks.reachability(SILENT), Reachability::Reachable);
}

/// One instance fails to reach a target while it reaches others: a packet was lost. Only when another instance fails as well
/// is the target taken for out of reach, and word of one that succeeds ends it.
#[test]
fn another_instance_has_to_fail_as_well() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVELY, CheckOutcome::Accepted, false);
    assert_eq!(fail(&mut checks, NOW, false), Finding::Failed);
    assert_eq!(checks.reachability(SILENT), Reachability::Reachable);
    assert!(checks.confirmed(NOW + ms(90), SILENT));
    assert_eq!(checks.reachability(SILENT), Reachability::OutOfReach);
    checks.refuted(NOW + ms(95), SILENT);
    assert_eq!(checks.reachability(SILENT), Reachability::Reachable);
}

/// An instance that knows no other one cannot ask. Two failures of its own have to do, or callers behind a partition would
/// wait until their deadlines for targets on its other side.
#[test]
fn an_instance_that_is_alone_needs_two_failures() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVELY, CheckOutcome::Accepted, true);
    assert_eq!(fail(&mut checks, NOW, true), Finding::Failed);
    let again = NOW + CHECK_LIMIT;
    assert!(checks.take_due(again, usual).contains(&SILENT));
    checks.check_finished(again + ms(2), LIVELY, CheckOutcome::Accepted, true);
    assert_eq!(fail(&mut checks, again, true), Finding::OutOfReach);
}

/// The process stood still while a check was under way, and the target's answer waits unread. A limit that has passed says
/// nothing about the target then.
#[test]
fn a_check_across_a_pause_says_nothing() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVELY, CheckOutcome::Accepted, true);
    let late = NOW + ms(500);
    assert_eq!(checks.check_finished(late, SILENT, CheckOutcome::TimedOut, true), Finding::Inconclusive);
}

/// An instance failed to reach a target ten seconds ago, in a cut that is over, and has sent it nothing since. Another one
/// fails now. These are two different troubles, and open flows must not be reset for them.
#[test]
fn a_failure_of_long_ago_does_not_count() {
    let mut checks = under_check();
    checks.check_finished(NOW + ms(2), LIVELY, CheckOutcome::Accepted, false);
    assert_eq!(fail(&mut checks, NOW, false), Finding::Failed);
    assert!(!checks.confirmed(NOW + Duration::from_secs(10), SILENT));
    assert_eq!(checks.reachability(SILENT), Reachability::Reachable);
}
