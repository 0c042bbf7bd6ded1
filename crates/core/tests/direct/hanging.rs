//! Targets that finish handshakes, take requests and never answer.

use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::WhenFull;
use crate::fleet::ms;
use crate::fleet::service_address;
use crate::fleet::target_id;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::targets::answer_times::AnswerTimes;

/// Requests per second: half the capacity of 14 targets with 2 slots.
const USUAL_RATE: f64 = 425.0;
const HANGING_TARGETS: [usize; 2] = [2, 9];
/// Maximum number of requests that one target may leave unanswered while it hangs for eight seconds.
const MAX_HUNG_PER_TARGET: usize = 4;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Makes two targets hang for eight seconds, for a share of their requests.
fn run_with_hanging_targets(seed: u64, share: f64, mechanisms: Mechanisms) -> Sim {
    let mut sim = Sim::new(seed, 9, 14, USUAL_RATE);
    sim.mechanisms = mechanisms;
    sim.when_full = WhenFull::Refuse;
    sim.run_until(secs(3));
    sim.change_targets(HANGING_TARGETS, |target| target.hang_share = share);
    sim.run_until(secs(11));
    sim.change_targets(HANGING_TARGETS, |target| target.hang_share = 0.0);
    sim
}

/// Guards against targets that hang appearing idle: the more requests they leave unanswered, the more they would get.
#[test]
fn targets_that_hang_get_few_requests() {
    for seed in 0..4 {
        let sim = run_with_hanging_targets(seed, 1.0, Mechanisms::default());
        sim.assert_invariants();
        assert!(
            sim.hung_requests() <= MAX_HUNG_PER_TARGET * HANGING_TARGETS.len(),
            "seed {seed}: {} requests were never answered",
            sim.hung_requests()
        );
    }
}

/// Guards against hanging targets being considered healthy because of the requests that they answer between those that
/// they never answer.
#[test]
fn targets_that_hang_for_some_requests_get_few_requests() {
    let with: usize =
        (0..4).map(|seed| run_with_hanging_targets(seed, 0.45, Mechanisms::default()).hung_requests()).sum();
    let without = Mechanisms::default().without(Mechanism::OverdueDetection);
    let without: usize = (0..4).map(|seed| run_with_hanging_targets(seed, 0.45, without).hung_requests()).sum();
    assert!(with <= MAX_HUNG_PER_TARGET * HANGING_TARGETS.len() * 4, "{with} requests were never answered");
    assert!(with < without, "{with} requests were never answered, {without} without detection");
}

/// Guards against recovered targets staying idle for good.
#[test]
fn recovered_targets_are_used_again() {
    let mut sim = run_with_hanging_targets(5, 1.0, Mechanisms::default());
    sim.run_until(secs(32));
    sim.assert_invariants();
    let syn_count = |index: usize| sim.targets[&target_id(index)].syn_times.iter().filter(|at| **at > secs(28)).count();
    assert!(
        syn_count(HANGING_TARGETS[0]) * 3 > syn_count(0),
        "{} requests, {} at another target",
        syn_count(HANGING_TARGETS[0]),
        syn_count(0)
    );
}

/// Guards against a slow target being ejected as if it hung: it must return as soon as it answers.
#[test]
fn a_slow_target_is_reinstated_when_it_answers() {
    let mut sim = Sim::new(6, 9, 14, 300.0);
    sim.run_until(secs(4));
    sim.change_targets(HANGING_TARGETS, |target| target.slowdown = 6.0);
    sim.run_until(secs(10));
    sim.change_targets(HANGING_TARGETS, |target| target.slowdown = 1.0);
    sim.run_until(secs(12));
    sim.assert_invariants();
    let overdue = sim.decisions_with(Outcome::AnswerOverdue).count();
    let answered = sim.decisions_with(Outcome::AnsweredOverdue).count();
    assert!(overdue > 0, "no answer was overdue");
    assert!(answered >= overdue, "{overdue} answers were overdue, {answered} came after all");
    assert_eq!(sim.ejected_total(), 0);
}

/// Guards against all targets being ejected at once when all have become slow: then the requests have changed, not the
/// targets.
#[test]
fn targets_that_are_all_slow_are_not_ejected() {
    let mut sim = Sim::new(7, 9, 14, 80.0);
    sim.set_route_times(ms(1_000), ms(4_000));
    sim.run_until(secs(6));
    sim.change_targets(0..14, |target| target.slowdown = 5.0);
    sim.run_until(secs(12));
    sim.assert_invariants();
    assert_eq!(sim.ejected_total(), 0);
    let (_, at_all) = sim.answered_shares(secs(6), secs(10));
    assert!(at_all > 0.999, "{at_all}");
}

/// Guards against targets being ejected for requests whose answers went through other instances, after callers' packets
/// have moved there. A few may be ejected for a while, but callers must not notice.
#[test]
fn instance_restarts_do_not_eject_targets() {
    let mut sim = Sim::new(8, 9, 14, USUAL_RATE);
    sim.route_by_readiness();
    sim.rolling_restart(secs(3), ms(700), 6);
    sim.run_until(secs(14));
    sim.assert_invariants();
    let (in_time, at_all) = sim.answered_shares(secs(3), secs(9));
    assert!(in_time > 0.98 && at_all > 0.999, "{in_time} in time, {at_all} at all");
    assert_eq!(sim.ejected_total(), 0);
}

/// Guards against a target being ejected while no request that was sent later has been answered either.
#[test]
fn an_answer_is_overdue_only_after_later_answers() {
    let route = service_address();
    let mut times = AnswerTimes::default();
    assert_eq!(times.limit(route), None);
    for number in 0..40_u64 {
        times.answered(route, ms(number * 20), ms(30 + number % 10));
    }
    let limit = times.limit(route).unwrap();
    assert!(limit > ms(45) && limit < ms(150), "{limit:?}");
    let sent = ms(900);
    assert!(!times.has_later_answer(route, sent));
    times.answered(route, sent + ms(1), ms(30));
    assert!(times.has_later_answer(route, sent));
}
