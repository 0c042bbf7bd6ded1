//! A failure domain whose targets are lost or partitioned all at once, in a fleet with many targets and few requests
//! for each.

use std::ops::Range;
use std::time::Duration;

use crate::fleet::DOMAINS;
use crate::fleet::Sim;
use crate::fleet::ms;
use crate::fleet::target_id;

const INSTANCES: usize = 32;
const TARGETS: usize = 240;
/// Requests per second: one for each instance.
const REQUESTS_PER_SECOND: f64 = 32.0;
const LOST_DOMAIN: usize = 1;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns those of the targets that lie in the lost domain.
fn in_lost_domain(targets: Range<usize>) -> Vec<usize> {
    targets.filter(|index| index % DOMAINS == LOST_DOMAIN).collect()
}

/// Returns the number of SYNs that the targets have received.
fn syn_count(sim: &Sim, targets: &[usize]) -> usize {
    targets.iter().map(|index| sim.targets[&target_id(*index)].syn_times.len()).sum()
}

/// Returns the average number of requests per domain that were sent since a time.
fn requests_per_domain_since(sim: &Sim, since: Duration) -> usize {
    sim.requests.iter().filter(|request| request.sent_at >= since).count() / DOMAINS
}

fn fleet(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, INSTANCES, TARGETS, REQUESTS_PER_SECOND);
    sim.route_by_readiness();
    sim.run_until(secs(4));
    sim
}

/// All targets of a failure domain lose power and stay listed for seconds. Instances of the domain prefer its targets.
/// If each request only ejected the one dead target that it met, they would try one after the other until the entries
/// expire.
#[test]
fn callers_are_served_elsewhere_when_all_targets_of_a_domain_are_dead() {
    let (mut in_time, mut at_all) = (0.0, 0.0);
    for seed in 0..4 {
        let mut sim = fleet(seed);
        sim.change_targets(in_lost_domain(0..TARGETS), |target| target.alive = false);
        sim.run_until(secs(10));
        let shares = sim.answered_shares(secs(4), secs(8));
        in_time += shares.0 / 4.0;
        at_all += shares.1 / 4.0;
    }
    assert!(in_time > 0.98, "in time: {in_time}");
    assert!(at_all > 0.995, "at all: {at_all}");
}

/// One target dies, and the others in its domain live. A few unfinished handshakes must not divert callers from the
/// whole failure domain, since traffic between domains is expensive.
#[test]
fn one_dead_target_does_not_divert_callers_from_its_domain() {
    let mut sim = fleet(5);
    sim.change_targets([LOST_DOMAIN], |target| target.alive = false);
    let before = syn_count(&sim, &in_lost_domain(0..TARGETS));
    sim.run_until(secs(10));
    let received = syn_count(&sim, &in_lost_domain(0..TARGETS)) - before;
    let sent = requests_per_domain_since(&sim, secs(4));
    assert!(received * 10 >= sent * 8, "{received} of {sent}");
}

/// The targets recover. Callers of the domain must use them again soon: the first instance that is answered reports it
/// to the others in its domain. Without that report, each of them would send its few requests elsewhere for seconds.
#[test]
fn a_recovered_domain_is_used_again() {
    let mut sim = fleet(6);
    let in_lost_domain = in_lost_domain(0..TARGETS);
    sim.change_targets(in_lost_domain.clone(), |target| target.alive = false);
    sim.run_until(secs(6));
    sim.change_targets(in_lost_domain.clone(), |target| target.alive = true);
    sim.run_until(secs(9));
    let before = syn_count(&sim, &in_lost_domain);
    sim.run_until(secs(12));
    let received = syn_count(&sim, &in_lost_domain) - before;
    let sent = requests_per_domain_since(&sim, secs(9));
    assert!(received * 10 >= sent * 8, "{received} of {sent}");
    let (in_time, _) = sim.answered_shares(secs(9), secs(11) + ms(500));
    assert!(in_time > 0.98, "{in_time}");
}

/// New targets replace the dead ones while the entries of the old ones are still listed. They have just registered, so
/// they are not among those that are unresponsive, and must not wait until the old entries expire and somebody tries
/// the domain again.
#[test]
fn targets_that_register_after_the_loss_are_used_at_once() {
    let mut sim = fleet(7);
    sim.change_targets(in_lost_domain(0..TARGETS), |target| target.alive = false);
    sim.run_until(secs(6));
    let new_targets = in_lost_domain(TARGETS..TARGETS + 240);
    sim.add_targets(&new_targets, 12);
    sim.run_until(secs(7));
    let before = syn_count(&sim, &new_targets);
    sim.run_until(secs(9));
    let received = syn_count(&sim, &new_targets) - before;
    let sent = requests_per_domain_since(&sim, secs(7));
    assert!(received * 10 >= sent * 8, "{received} of {sent}");
}
