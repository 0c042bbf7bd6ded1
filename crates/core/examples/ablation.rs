//! Ablation of the mechanisms of the direct path in virtual time: disables each one in turn, under every load pattern that
//! one of them is meant for.
//!
//! `cargo run --release -p hawthornshift-core --example ablation` prints the change of the fraction of requests answered in
//! time, and of the fraction answered at all, in thousandths relative to all mechanisms enabled, as means over the same seeds.

#[allow(dead_code, unreachable_pub, reason = "the emulator is part of the tests, which use all of it")]
#[path = "../tests/direct/fleet.rs"]
mod fleet;

use std::time::Duration;

use strum::IntoEnumIterator;

use crate::fleet::Sim;
use crate::fleet::WhenFull;
use crate::fleet::ms;
use hawthornshift_core::direct::mechanisms::Mechanism;
use hawthornshift_core::direct::mechanisms::Mechanisms;

/// Number of seeds per case. A difference smaller than the standard error of their mean is not significant.
const SEEDS: u64 = 8;
/// Base load in requests per second: half the capacity of 14 targets with 2 slots each.
const BASE_RATE: f64 = 425.0;
/// Indices of the targets affected by a fault, in three failure domains.
const FAULTY_TARGETS: [usize; 3] = [1, 5, 9];

/// A load pattern with its faults, by name. The function runs it and returns the start and end of the measured time span.
type LoadCase = (&'static str, fn(&mut Sim) -> (Duration, Duration));

const CASES: [LoadCase; 10] = [
    ("power loss", power_loss),
    ("slow targets", slow_targets),
    ("burst", burst),
    ("overload", overload),
    ("dead, new flows", dead_targets),
    ("dead, open flows", dead_open_flows),
    ("cut, open flows", cut_open_flows),
    ("failing targets", failing_targets),
    ("hanging targets", hanging_targets),
    ("rolling restarts", rolling_restarts),
];

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn power_loss(sim: &mut Sim) -> (Duration, Duration) {
    sim.run_until(secs(4));
    for index in 0..9 {
        sim.kill(index);
        let late = if index < 3 { 380 } else { 25 * (index as u64 - 3) };
        sim.start_at(secs(4) + ms(1_500 + late), index);
    }
    sim.run_until(secs(10));
    (ms(4_900), ms(7_000))
}

fn slow_targets(sim: &mut Sim) -> (Duration, Duration) {
    sim.per_second = 334.0;
    sim.run_until(secs(3));
    sim.change_targets(FAULTY_TARGETS, |target| target.slowdown = 5.0);
    sim.run_until(secs(13));
    (secs(4), secs(12))
}

fn burst(sim: &mut Sim) -> (Duration, Duration) {
    sim.run_until(secs(3));
    sim.per_second = BASE_RATE * 1.7;
    sim.run_until(secs(6));
    sim.per_second = BASE_RATE;
    sim.run_until(secs(9));
    (secs(3), secs(6))
}

fn overload(sim: &mut Sim) -> (Duration, Duration) {
    sim.when_full = WhenFull::Refuse;
    sim.run_until(secs(3));
    sim.per_second = BASE_RATE * 3.0;
    sim.run_until(secs(5));
    sim.per_second = BASE_RATE;
    sim.run_until(secs(9));
    (secs(3), secs(7))
}

fn dead_targets(sim: &mut Sim) -> (Duration, Duration) {
    sim.run_until(secs(4));
    sim.change_targets(FAULTY_TARGETS, |target| target.alive = false);
    sim.run_until(secs(9));
    (secs(4), secs(8))
}

fn dead_open_flows(sim: &mut Sim) -> (Duration, Duration) {
    sim.use_persistent_flows(300);
    sim.per_second = 300.0;
    sim.run_until(secs(6));
    sim.change_targets(FAULTY_TARGETS, |target| target.alive = false);
    sim.run_until(secs(12));
    (secs(6), secs(9))
}

fn cut_open_flows(sim: &mut Sim) -> (Duration, Duration) {
    sim.use_persistent_flows(300);
    sim.per_second = 300.0;
    sim.route_by_readiness();
    sim.run_until(secs(6));
    sim.partition_domain(1);
    sim.run_until(secs(12));
    (secs(6), secs(9))
}

fn failing_targets(sim: &mut Sim) -> (Duration, Duration) {
    sim.run_until(secs(4));
    sim.change_targets(FAULTY_TARGETS, |target| target.failure_share = 1.0);
    sim.run_until(secs(10));
    (secs(4), secs(9))
}

fn hanging_targets(sim: &mut Sim) -> (Duration, Duration) {
    sim.when_full = WhenFull::Refuse;
    sim.run_until(secs(4));
    sim.change_targets(FAULTY_TARGETS, |target| target.hang_share = 1.0);
    sim.run_until(secs(10));
    (secs(4), secs(9))
}

fn rolling_restarts(sim: &mut Sim) -> (Duration, Duration) {
    sim.rolling_restart(secs(3), ms(700), 6);
    sim.run_until(secs(10));
    (secs(3), secs(9))
}

fn run_case(case: &LoadCase, mechanisms: Mechanisms) -> (f64, f64) {
    let (mut in_time, mut at_all) = (0.0, 0.0);
    for seed in 100..100 + SEEDS {
        let mut sim = Sim::new(seed, 9, 14, BASE_RATE);
        sim.mechanisms = mechanisms;
        let (from, to) = case.1(&mut sim);
        let shares = sim.answered_shares(from, to);
        in_time += shares.0;
        at_all += shares.1;
    }
    let seeds = f64::from(u32::try_from(SEEDS).expect("a small number"));
    (in_time / seeds, at_all / seeds)
}

fn main() {
    let all_on: Vec<(f64, f64)> = CASES.iter().map(|case| run_case(case, Mechanisms::default())).collect();
    let names: Vec<&str> = CASES.iter().map(|case| case.0).collect();
    println!("| without | {} |", names.join(" | "));
    println!("| --- |{}", " --- |".repeat(CASES.len()));
    let shown: Vec<String> = all_on.iter().map(|(in_time, at_all)| format!("{in_time:.3} {at_all:.3}")).collect();
    println!("| none | {} |", shown.join(" | "));
    for mechanism in Mechanism::iter() {
        let without = Mechanisms::default().without(mechanism);
        let cells = CASES.iter().zip(&all_on).map(|(case, (in_time, at_all))| {
            let (in_time_off, at_all_off) = run_case(case, without);
            format!("{:+.0} {:+.0}", (in_time_off - in_time) * 1e3, (at_all_off - at_all) * 1e3)
        });
        println!("| {without} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
}
