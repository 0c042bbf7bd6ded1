//! Faults, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::Display;

use crate::proxy::Line;

/// Something that happens to the system.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An instance is asked to stop and starts again.
    Terminate(usize),
    /// An instance is killed and starts again.
    Kill(usize),
    /// All instances are killed and start again.
    KillAll,
    /// An instance stands still for a while.
    Pause(usize, Duration),
    /// An instance is told that its settings have changed.
    Reload(usize),
    /// An instance's line to the store changes for a while.
    StoreLine(usize, Line, Duration),
    /// The store answers nobody for a while.
    StoreSilent(Duration),
    /// The store refuses everybody for a while.
    StoreRefuses(u16, Duration),
    /// The store forgets its history.
    StoreForgets,
    /// A target falls silent and comes back cold under the same id.
    TargetDies(usize, Duration),
    /// A target drains for a while.
    TargetDrains(usize, Duration),
    /// A target is slow for a while.
    TargetSlow(usize, Duration),
    /// Somebody else overwrites a target's entry.
    EntryBroken(usize),
    /// A failure domain is taken out for a while.
    Evacuate(usize, Duration),
    /// The configuration gets and loses a route.
    Routes,
    /// Callers' packets are lost, doubled and overtaken for a while.
    Weather(Duration),
}

/// Sizes that a plan is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Failure domains.
    pub domains: usize,
}

/// Time before the first fault.
const LEAD: Duration = Duration::from_secs(2);
/// Longest pause between two faults; they come in series and overlap.
const LONGEST_GAP: f64 = 0.9;
/// Time without faults at the end, in which service must be back.
pub const TAIL: Duration = Duration::from_secs(4);

/// Draws the faults of a run with the times at which they begin.
#[must_use]
pub fn draw(seed: u64, length: Duration, sizes: Sizes) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = LEAD;
    let mut plan = Vec::new();
    while at + TAIL < length {
        plan.push((at, fault(&mut rng, sizes)));
        at += Duration::from_secs_f64(rng.random_range(0.05..LONGEST_GAP));
    }
    // Every run ends with the hardest one.
    plan.push((at, Fault::KillAll));
    plan
}

fn fault(rng: &mut SmallRng, sizes: Sizes) -> Fault {
    let instance = rng.random_range(0..sizes.instances);
    let target = rng.random_range(0..sizes.targets);
    let domain = rng.random_range(0..sizes.domains);
    let span = Duration::from_secs_f64(rng.random_range(0.3..3.0));
    match rng.random_range(0..20) {
        0 | 1 => Fault::Terminate(instance),
        2 | 3 => Fault::Kill(instance),
        4 => Fault::KillAll,
        5 | 6 => Fault::Pause(instance, span),
        7 => Fault::Reload(instance),
        8 => Fault::StoreLine(instance, Line::Reset, span),
        9 => Fault::StoreLine(instance, Line::Silent, span),
        10 => Fault::StoreLine(instance, if rng.random() { Line::OneWay } else { Line::Slow }, span),
        11 => Fault::StoreSilent(span),
        12 => Fault::StoreRefuses(if rng.random() { 429 } else { 503 }, span),
        13 => Fault::StoreForgets,
        14 => Fault::TargetDies(target, span),
        15 => Fault::TargetDrains(target, span * 4),
        16 => Fault::TargetSlow(target, span),
        17 => Fault::EntryBroken(target),
        18 => {
            if rng.random() {
                Fault::Evacuate(domain, span * 4)
            } else {
                Fault::Routes
            }
        }
        _ => Fault::Weather(span),
    }
}
