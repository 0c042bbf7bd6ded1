//! Compares ways to use the speeds of targets in virtual time: not at all, as weights of the targets' costs, and in
//! addition as limits on what a target may queue; each with learned speeds and with the true ones (oracle).
//!
//! `cargo run -p hawthornshift-core --example target_speed` prints the fractions of requests answered in time and at all
//! and the mean latency in milliseconds, as means over the same seeds. Targets take 0.7, 0.7 and 1.7 times the usual time.
//! An argument selects a single method.

#[allow(dead_code, unreachable_pub, reason = "the emulator is part of the tests, which use all of it")]
#[path = "../tests/direct/fleet.rs"]
mod fleet;

use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::service_address;
use crate::fleet::target_id;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::reports::answer_time_report::AnswerTimeReport;
use hawthornshift_core::direct::reports::answer_time_report::ReportKind;
use hawthornshift_core::direct::reports::answer_time_report::RouteAnswerTimes;
use hawthornshift_core::direct::reports::answer_time_report::TargetAnswerTimes;
use hawthornshift_core::direct::store::directory::cookie;

/// Number of seeds per case.
const SEEDS: u32 = 4;
/// Requests per second that a target of usual speed serves with its 2 slots.
const TARGET_RATE: f64 = 2.0 / 0.033;
/// Requests of the usual time that the oracle reports of each target, which replace all earlier samples.
const ORACLE_COUNT: u16 = 150;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the factor by which requests at a target take longer than usual.
fn slowdown(index: usize) -> f64 {
    if index % 3 == 2 { 1.7 } else { 0.7 }
}

/// Returns a report that gives the true speeds of all targets.
fn truth(targets: usize) -> AnswerTimeReport {
    let entry = |index| {
        let seconds = 0.033 * slowdown(index) * f64::from(ORACLE_COUNT);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some thousands")]
        let sum = (seconds * 10_000.0) as u32;
        TargetAnswerTimes { target: cookie(target_id(index)), count: ORACLE_COUNT, sum }
    };
    let routes = vec![RouteAnswerTimes { route: service_address(), targets: (0..targets).map(entry).collect() }];
    AnswerTimeReport { kind: ReportKind::Recent, routes }
}

/// Prints the means over the seeds of one case.
fn measure(name: &str, (instances, targets): (usize, usize), load: f64, mechanisms: Mechanisms, oracle: bool) {
    if std::env::args().nth(1).is_some_and(|only| name != only) {
        return;
    }
    let (mut in_time, mut at_all, mut latency) = (0.0, 0.0, 0.0);
    for seed in 0..SEEDS {
        let capacity: f64 = (0..targets).map(|index| TARGET_RATE / slowdown(index)).sum();
        let mut sim = Sim::new(u64::from(seed) + 100, instances, targets, capacity * load);
        sim.mechanisms = mechanisms;
        (0..targets).for_each(|index| sim.change_targets([index], |target| target.slowdown = slowdown(index)));
        for second in 1..16 {
            sim.run_until(secs(second));
            if oracle {
                sim.apply_answer_times(&truth(targets));
            }
        }
        sim.assert_invariants();
        let shares = sim.answered_shares(secs(6), secs(14));
        (in_time, at_all) = (in_time + shares.0, at_all + shares.1);
        latency += sim.mean_latency(secs(6), secs(14)).as_secs_f64() * 1e3;
    }
    let seeds = f64::from(SEEDS);
    println!("{name:>16} {load:>5} {:.4} {:.4} {:>6.1}", in_time / seeds, at_all / seeds, latency / seeds);
}

fn main() {
    let off = Mechanisms::default().without(Mechanism::TargetSpeed);
    let weight = Mechanisms::default().without(Mechanism::SpeedQueue);
    let queue = Mechanisms::default();
    for size in [(9, 15), (24, 48)] {
        println!("{} instances, {} targets: method, load, in time, at all, mean ms", size.0, size.1);
        for load in [0.25, 0.5, 0.75, 0.9, 1.0] {
            measure("off", size, load, off, false);
            measure("weight", size, load, weight, false);
            measure("weight, oracle", size, load, weight, true);
            measure("queue", size, load, queue, false);
            measure("queue, oracle", size, load, queue, true);
        }
    }
}
