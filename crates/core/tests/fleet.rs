//! Randomized tests of a whole fleet of instances in virtual time.

mod support;

use std::time::Duration;

use support::Network;
use support::World;
use support::faults;
use support::faults::Scenario;

/// Guards against flows and orders that fail without any fault: a fleet starts with a working platform, and every order
/// and every flow must be answered.
#[test]
fn serves_flows_and_orders_when_nothing_fails() {
    let mut world = World::new(1, 8);
    world.run_for(Duration::from_secs(5));
    assert!(world.has_converged());
    for number in 0..50 {
        world.open_flow(number);
        world.send_order(number.into());
    }
    world.run_for(Duration::from_secs(20));
    assert_eq!(world.broken_flows(), Vec::<String>::new());
    world.check_orders();
    for order in world.callers.orders.values() {
        assert_eq!(order.outcome, Some(support::OrderOutcome::Answered));
    }
    for flow in world.callers.flows.values() {
        assert!(flow.answered + 2 >= flow.sent, "{flow:?}");
    }
    assert_eq!(world.violations.cold_overloads, 0);
    assert_eq!(world.violations.slot_overruns, 0);
}

/// Starts a fleet and its callers, and applies the faults of one scenario.
fn run_scenario(scenario: &Scenario) -> World {
    let mut world = World::new(scenario.seed, faults::INSTANCES);
    world.run_for(Duration::from_secs(6));
    world.network = scenario.network;
    for number in 0..40 {
        world.open_flow(number);
    }
    for (step, (gap_ms, fault)) in scenario.faults.iter().enumerate() {
        for number in 0..5 {
            world.send_order(u64::try_from(step).unwrap() * 100 + number);
        }
        world.run_for(Duration::from_millis(*gap_ms));
        fault.apply(&mut world);
    }
    world
}

/// Ends all faults and runs for the time in which the fleet must converge.
fn settle(world: &mut World) {
    world.heal();
    world.set_platform_down(false);
    world.network = Network::default();
    world.run_for(Duration::from_secs(90));
}

fn check_violations(world: &World) {
    world.check_orders();
    assert_eq!(world.violations.wrong_service, 0);
    assert_eq!(world.violations.sent_to_out_domain, 0, "packets were sent to a failure domain that was out of service");
    assert!(world.has_converged(), "the instances have not converged");
}

/// Guards against flows that change their target during planned changes: operators stop and start instances, take
/// failure domains out of service and back, and publish sets, in any order and in quick succession, over a network that
/// loses, duplicates and reorders messages. A flow may move only if its failure domain is taken out of service.
#[test]
fn planned_changes_break_no_flow() {
    faults::check_scenarios(150, &faults::scenarios(faults::planned_change(), 14, 4_000), |scenario| {
        let mut world = run_scenario(&scenario);
        settle(&mut world);
        check_violations(&world);
        assert_eq!(world.broken_flows(), Vec::<String>::new());
    });
}

/// Guards against broken guarantees under crashes, pauses, partitions, platform outages and planned changes. A flow may
/// break if its instance crashed or was paused, but no order runs twice, no order that is reported as not run has run,
/// and the fleet converges once the faults have ended.
#[test]
fn any_faults_preserve_every_guarantee() {
    faults::check_scenarios(150, &faults::scenarios(faults::any_fault(), 20, 4_000), |scenario| {
        let mut world = run_scenario(&scenario);
        settle(&mut world);
        check_violations(&world);
        assert_eq!(world.broken_flows(), Vec::<String>::new());
    });
}
