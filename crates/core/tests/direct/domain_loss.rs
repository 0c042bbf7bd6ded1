//! A failure domain whose targets are lost or cut off all at once, in a fleet with many targets and few requests for each.

use std::ops::Range;
use std::time::Duration;

use crate::fleet::DOMAINS;
use crate::fleet::Sim;
use crate::fleet::ms;
use crate::fleet::target_id;

const INSTANCES: usize = 32;
const TARGETS: usize = 240;
/// A request a second for each instance.
const FEW: f64 = 32.0;
const LOST: usize = 1;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns those of some targets that lie in the domain that is lost.
fn near(targets: Range<usize>) -> Vec<usize> {
    targets.filter(|index| index % DOMAINS == LOST).collect()
}

/// Returns how many flows some targets have been given.
fn opened(sim: &Sim, targets: &[usize]) -> usize {
    targets.iter().map(|index| sim.targets[&target_id(*index)].syn_times.len()).sum()
}

/// Returns how many callers of one domain have asked since a time.
fn asked_since(sim: &Sim, since: Duration) -> usize {
    sim.requests.iter().filter(|request| request.sent_at >= since).count() / DOMAINS
}

fn fleet(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, INSTANCES, TARGETS, FEW);
    sim.route_by_readiness();
    sim.run_until(secs(4));
    sim
}

/// All targets of a failure domain lose power and stay listed for seconds. Its instances prefer targets near them, and each
/// request finds another one that is dead; one by one it would take them until the entries lapse.
#[test]
fn callers_leave_a_domain_whose_targets_are_all_dead() {
    let (mut in_time, mut at_all) = (0.0, 0.0);
    for seed in 0..4 {
        let mut sim = fleet(seed);
        sim.change_targets(near(0..TARGETS), |target| target.alive = false);
        sim.run_until(secs(10));
        let served = sim.served(secs(4), secs(8));
        in_time += served.0 / 4.0;
        at_all += served.1 / 4.0;
    }
    assert!(in_time > 0.98, "in time: {in_time}");
    assert!(at_all > 0.995, "at all: {at_all}");
}

/// One target dies, and its neighbours live. A few handshakes that are not finished must not turn callers away from the whole
/// failure domain: the bytes between domains are dear.
#[test]
fn one_dead_target_keeps_nobody_from_its_neighbours() {
    let mut sim = fleet(5);
    sim.change_targets([LOST], |target| target.alive = false);
    let before = opened(&sim, &near(0..TARGETS));
    sim.run_until(secs(10));
    let got = opened(&sim, &near(0..TARGETS)) - before;
    let asked = asked_since(&sim, secs(4));
    assert!(got * 10 >= asked * 8, "{got} of {asked}");
}

/// The targets come back. Callers of the domain use them again soon: the first that is answered tells its neighbours, each of
/// which would else go on sending its few requests elsewhere for seconds.
#[test]
fn a_domain_that_answers_again_is_used_again() {
    let mut sim = fleet(6);
    let near = near(0..TARGETS);
    sim.change_targets(near.clone(), |target| target.alive = false);
    sim.run_until(secs(6));
    sim.change_targets(near.clone(), |target| target.alive = true);
    sim.run_until(secs(9));
    let before = opened(&sim, &near);
    sim.run_until(secs(12));
    let got = opened(&sim, &near) - before;
    let asked = asked_since(&sim, secs(9));
    assert!(got * 10 >= asked * 8, "{got} of {asked}");
    let (in_time, _) = sim.served(secs(9), secs(11) + ms(500));
    assert!(in_time > 0.98, "{in_time}");
}

/// The targets come back as new ones while the entries of the old ones are still listed. They have just registered, so they are
/// none of those that do not answer, and must not wait until the old entries lapse and somebody tries the domain again.
#[test]
fn targets_that_register_after_the_loss_are_used_at_once() {
    let mut sim = fleet(7);
    sim.change_targets(near(0..TARGETS), |target| target.alive = false);
    sim.run_until(secs(6));
    let new = near(TARGETS..TARGETS + 240);
    sim.add_targets(&new, 12);
    sim.run_until(secs(7));
    let before = opened(&sim, &new);
    sim.run_until(secs(9));
    let got = opened(&sim, &new) - before;
    let asked = asked_since(&sim, secs(7));
    assert!(got * 10 >= asked * 8, "{got} of {asked}");
}
