//! Generates the faults of a run from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::Display;

use crate::proxy::ProxyMode;

/// A fault or another disturbance that a run injects.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An instance gets SIGTERM and is started again.
    Terminate(usize),
    /// An instance is killed and started again.
    Kill(usize),
    /// All instances are killed and started again.
    KillAll,
    /// An instance is paused (SIGSTOP) for this time.
    Pause(usize, Duration),
    /// An instance's settings file is rewritten and the instance gets SIGHUP.
    Reload(usize),
    /// The proxy between an instance and the store is in this mode for this time.
    StoreLine(usize, ProxyMode, Duration),
    /// The store answers no request for this time.
    StoreSilent(Duration),
    /// The store answers every request with this HTTP status for this time.
    StoreRefuses(u16, Duration),
    /// The store compacts its history.
    StoreForgets,
    /// A target crashes and restarts cold under the same id.
    TargetDies(usize, Duration),
    /// A target drains for this time.
    TargetDrains(usize, Duration),
    /// A target is slow for this time.
    TargetSlow(usize, Duration),
    /// A target's store entry is overwritten with an invalid one.
    EntryBroken(usize),
    /// A failure domain is evacuated for this time.
    Evacuate(usize, Duration),
    /// The extra route is added to the configuration, or removed from it.
    Routes,
    /// Callers' packets are lost, duplicated and reordered at a fixed rate for this time.
    Weather(Duration),
}

/// Numbers of components that faults can affect.
#[derive(Clone, Copy, Debug)]
pub struct SystemSize {
    /// Number of instances.
    pub instances: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of failure domains.
    pub domains: usize,
}

/// Time before the first fault.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Longest time from the start of one fault to the next, in seconds; shorter than most faults last, so they overlap.
const MAX_FAULT_GAP_SECONDS: f64 = 0.9;
/// Time without new faults at the end of a run, in which requests must be answered again.
pub const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Returns the faults of a run, each with its start since the start of the run; equal arguments give equal faults.
#[must_use]
pub fn generate(seed: u64, length: Duration, size: SystemSize) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = LEAD_TIME;
    let mut plan = Vec::new();
    while at + RECOVERY_TIME < length {
        plan.push((at, draw_fault(&mut rng, size)));
        at += Duration::from_secs_f64(rng.random_range(0.05..MAX_FAULT_GAP_SECONDS));
    }
    // Every run ends with the most severe fault.
    plan.push((at, Fault::KillAll));
    plan
}

fn draw_fault(rng: &mut SmallRng, size: SystemSize) -> Fault {
    let instance = rng.random_range(0..size.instances);
    let target = rng.random_range(0..size.targets);
    let domain = rng.random_range(0..size.domains);
    let duration = Duration::from_secs_f64(rng.random_range(0.3..3.0));
    match rng.random_range(0..20) {
        0 | 1 => Fault::Terminate(instance),
        2 | 3 => Fault::Kill(instance),
        4 => Fault::KillAll,
        5 | 6 => Fault::Pause(instance, duration),
        7 => Fault::Reload(instance),
        8 => Fault::StoreLine(instance, ProxyMode::Reset, duration),
        9 => Fault::StoreLine(instance, ProxyMode::Silent, duration),
        10 => Fault::StoreLine(instance, if rng.random() { ProxyMode::OneWay } else { ProxyMode::Slow }, duration),
        11 => Fault::StoreSilent(duration),
        12 => Fault::StoreRefuses(if rng.random() { 429 } else { 503 }, duration),
        13 => Fault::StoreForgets,
        14 => Fault::TargetDies(target, duration),
        15 => Fault::TargetDrains(target, duration * 4),
        16 => Fault::TargetSlow(target, duration),
        17 => Fault::EntryBroken(target),
        18 => {
            if rng.random() {
                Fault::Evacuate(domain, duration * 4)
            } else {
                Fault::Routes
            }
        }
        _ => Fault::Weather(duration),
    }
}
