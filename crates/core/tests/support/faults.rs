//! Planned changes and faults of the simulation, as values that `proptest` generates and shrinks.

use std::time::Duration;

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use super::sets;
use super::world::Network;
use super::world::World;
use hawthornshift_model::DomainState;
use hawthornshift_model::InstanceId;

/// Number of instances that a randomized test starts with; scenarios may start two more.
pub const INSTANCES: u32 = 8;
/// Number of instances that scenarios leave running, so that callers can still be served.
const MIN_INSTANCES: usize = 3;

/// One planned change or fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Stop(InstanceId),
    Start(InstanceId),
    Crash(InstanceId),
    /// Pauses an instance for the given number of milliseconds.
    Pause(InstanceId, u64),
    Disconnect(InstanceId, InstanceId),
    /// Partitions off the failure domain at this index of `sets::DOMAINS`.
    PartitionDomain(usize),
    /// Ends all partitions.
    Heal,
    /// Sets whether the platform is down.
    PlatformDown(bool),
    /// Takes the failure domain at this index out of service.
    DomainOut(usize),
    /// Returns the failure domain at this index to service.
    DomainBack(usize),
    /// Marks a datagram target and an HTTP target, chosen by this number, as leaving.
    MarkTargetsLeaving(usize),
    MakeTargetsCold,
    /// Publishes the current set under the next revision.
    Publish,
}

impl Fault {
    /// Applies the fault to the simulation; does nothing if it is not applicable in the current state.
    pub fn apply(self, world: &mut World) {
        match self {
            Self::Stop(id) if can_remove(world, id) => world.stop(id),
            Self::Crash(id) if can_remove(world, id) => world.crash(id),
            Self::Start(id) if !world.ids().contains(&id) => world.start(id),
            Self::Pause(id, millis) if can_remove(world, id) => world.pause(id, Duration::from_millis(millis)),
            Self::Disconnect(a, b) if a != b => world.disconnect(a, b),
            Self::PartitionDomain(index) => world.partition_domain(sets::DOMAINS[index]),
            Self::Heal => world.heal(),
            Self::PlatformDown(down) => world.set_platform_down(down),
            Self::DomainOut(index) if out_domain_count(world) == 0 => {
                world.set_domain_state(sets::DOMAINS[index], DomainState::Out);
            }
            Self::DomainBack(index) => world.set_domain_state(sets::DOMAINS[index], DomainState::InService),
            Self::MarkTargetsLeaving(index) => mark_targets_leaving(world, index),
            Self::MakeTargetsCold => world.make_targets_cold(),
            Self::Publish => world.publish(),
            _ => {}
        }
    }
}

fn can_remove(world: &World, id: InstanceId) -> bool {
    let ids = world.ids();
    ids.contains(&id) && ids.len() > MIN_INSTANCES
}

fn out_domain_count(world: &World) -> usize {
    world.set.failure_domains.iter().filter(|domain| domain.state == DomainState::Out).count()
}

/// Marks one datagram target and one HTTP target as leaving; each failure domain keeps enough others.
fn mark_targets_leaving(world: &mut World, index: usize) {
    world.set.target_groups[1].targets[index % sets::DOMAINS.len()].leaving = true;
    world.set.target_groups[0].targets[index % 2].leaving = true;
    world.publish();
}

fn instance() -> impl Strategy<Value = InstanceId> {
    0..INSTANCES + 2
}

/// Generates planned changes by operators.
pub fn planned_change() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => instance().prop_map(Fault::Stop),
        3 => instance().prop_map(Fault::Start),
        1 => (0..4_usize).prop_map(Fault::DomainOut),
        2 => (0..4_usize).prop_map(Fault::DomainBack),
        1 => (0..4_usize).prop_map(Fault::MarkTargetsLeaving),
        1 => proptest::strategy::Just(Fault::Publish),
    ]
}

/// Generates planned changes and faults.
pub fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => planned_change(),
        2 => instance().prop_map(Fault::Crash),
        2 => (instance(), 100..6_000_u64).prop_map(|(id, millis)| Fault::Pause(id, millis)),
        1 => (instance(), instance()).prop_map(|(a, b)| Fault::Disconnect(a, b)),
        1 => (0..4_usize).prop_map(Fault::PartitionDomain),
        2 => proptest::strategy::Just(Fault::Heal),
        1 => any::<bool>().prop_map(Fault::PlatformDown),
        1 => proptest::strategy::Just(Fault::MakeTargetsCold),
    ]
}

/// Input of one randomized test case: a seed, a network, and faults, each with the delay in milliseconds before it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub network: Network,
    pub faults: Vec<(u64, Fault)>,
}

/// Generates scenarios of fewer than `count` faults, each after a delay of less than `gap_ms` milliseconds.
pub fn scenarios(fault: impl Strategy<Value = Fault>, count: usize, gap_ms: u64) -> impl Strategy<Value = Scenario> {
    let network = (1..3_u64, 3..40_u64, 0.0..0.03_f64, 0.0..0.03_f64)
        .prop_map(|(min_ms, max_ms, drop, duplicate)| Network { delay_ms: (min_ms, max_ms), drop, duplicate });
    let faults = proptest::collection::vec((0..gap_ms, fault), 1..count);
    (any::<u64>(), network, faults).prop_map(|(seed, network, faults)| Scenario { seed, network, faults })
}

/// Runs `check` on `cases` scenarios that `strategy` generates from a fixed seed.
///
/// The environment variables `HAWTHORNSHIFT_CASES` and `HAWTHORNSHIFT_SEED` override the number of scenarios and the
/// seed (default 1).
///
/// # Panics
///
/// Panics with the shrunk scenario if `check` panics on any.
pub fn check_scenarios(cases: u32, strategy: &impl Strategy<Value = Scenario>, check: impl Fn(Scenario)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = number("HAWTHORNSHIFT_CASES").and_then(|cases: u64| cases.try_into().ok()).unwrap_or(cases);
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&number("HAWTHORNSHIFT_SEED").unwrap_or(1).to_le_bytes());
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 200, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
    let outcome = runner.run(strategy, |scenario| {
        check(scenario);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
