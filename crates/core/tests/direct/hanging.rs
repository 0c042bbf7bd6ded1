//! Targets that finish handshakes, take requests and never answer.

use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::WhenFull;
use crate::fleet::ms;
use crate::fleet::service_address;
use crate::fleet::target_id;
use hawthornshift_core::direct::answer_times::AnswerTimes;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;

/// Half of what 14 targets with 2 slots can do.
const USUAL: f64 = 425.0;
const HIT: [usize; 2] = [2, 9];
/// Most requests that one target may cost while it hangs for eight seconds.
const MOST: usize = 4;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Lets two targets hang for eight seconds, for a part of their requests.
fn hang(seed: u64, part: f64, mechanisms: Mechanisms) -> Sim {
    let mut sim = Sim::new(seed, 9, 14, USUAL);
    sim.mechanisms = mechanisms;
    sim.when_full = WhenFull::Refuse;
    sim.run_until(secs(3));
    sim.change_targets(HIT, |target| target.hangs = part);
    sim.run_until(secs(11));
    sim.change_targets(HIT, |target| target.hangs = 0.0);
    sim
}

/// Guards against targets that hang looking idle, and drawing more requests the more of them they swallow.
#[test]
fn targets_that_hang_get_few_requests() {
    for seed in 0..4 {
        let sim = hang(seed, 1.0, Mechanisms::default());
        sim.assert_invariants();
        assert!(
            sim.hung_requests() <= MOST * HIT.len(),
            "seed {seed}: {} requests were never answered",
            sim.hung_requests()
        );
    }
}

/// Guards against targets being cleared by the requests that they answer between those that they swallow.
#[test]
fn targets_that_hang_in_part_get_few_requests() {
    let with: usize = (0..4).map(|seed| hang(seed, 0.45, Mechanisms::default()).hung_requests()).sum();
    let without = Mechanisms::default().without(Mechanism::OverdueDetection);
    let without: usize = (0..4).map(|seed| hang(seed, 0.45, without).hung_requests()).sum();
    assert!(with <= MOST * HIT.len() * 4, "{with} requests were never answered");
    assert!(with < without, "{with} requests were never answered, {without} without detection");
}

/// Guards against targets that have come back being left idle for good.
#[test]
fn targets_that_hang_no_more_are_used_again() {
    let mut sim = hang(5, 1.0, Mechanisms::default());
    sim.run_until(secs(32));
    sim.assert_invariants();
    let opened = |index: usize| sim.targets[&target_id(index)].syn_times.iter().filter(|at| **at > secs(28)).count();
    assert!(opened(HIT[0]) * 3 > opened(0), "{} requests, {} at another target", opened(HIT[0]), opened(0));
}

/// Guards against a slow target being set aside as if it hung: it is taken back as soon as it answers.
#[test]
fn a_slow_target_is_taken_back_when_it_answers() {
    let mut sim = Sim::new(6, 9, 14, 300.0);
    sim.run_until(secs(4));
    sim.change_targets(HIT, |target| target.slow = 6.0);
    sim.run_until(secs(10));
    sim.change_targets(HIT, |target| target.slow = 1.0);
    sim.run_until(secs(12));
    sim.assert_invariants();
    let overdue = sim.decisions_with(Outcome::AnswerOverdue).count();
    let answered = sim.decisions_with(Outcome::AnsweredOverdue).count();
    assert!(overdue > 0, "no answer was overdue");
    assert!(answered >= overdue, "{overdue} answers were overdue, {answered} came after all");
    assert_eq!(sim.ejected_total(), 0);
}

/// Guards against all targets being judged at once when all have turned slow: then it is the work that has changed.
#[test]
fn targets_that_are_all_slow_are_not_set_aside() {
    let mut sim = Sim::new(7, 9, 14, 80.0);
    sim.set_route_times(ms(1_000), ms(4_000));
    sim.run_until(secs(6));
    sim.change_targets(0..14, |target| target.slow = 5.0);
    sim.run_until(secs(12));
    sim.assert_invariants();
    assert_eq!(sim.ejected_total(), 0);
    let (_, at_all) = sim.served(secs(6), secs(10));
    assert!(at_all > 0.999, "{at_all}");
}

/// Guards against targets being lost for callers by requests whose answers went past this instance, as callers' packets have
/// moved to others: a few may be set aside for a while, and callers do not notice.
#[test]
fn restarts_of_instances_do_not_take_targets_away() {
    let mut sim = Sim::new(8, 9, 14, USUAL);
    sim.route_by_readiness();
    sim.restart_in_turn(secs(3), ms(700), 6);
    sim.run_until(secs(14));
    sim.assert_invariants();
    let (in_time, at_all) = sim.served(secs(3), secs(9));
    assert!(in_time > 0.98 && at_all > 0.999, "{in_time} in time, {at_all} at all");
    assert_eq!(sim.ejected_total(), 0);
}

/// Guards against a target being blamed while nothing that was asked later has been answered either.
#[test]
fn a_target_is_to_blame_only_when_later_answers_have_come() {
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
