//! Regression tests for flows: failures that the randomized tests in `fleet.rs` have found.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::Network;
use support::World;

use hawthornshift_core::configuration::Adoption;
use hawthornshift_core::configuration::Configuration;
use hawthornshift_core::health::TargetStatus;
use hawthornshift_core::invariants::InvariantCounters;
use hawthornshift_core::message::FlowDescriptor;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::DomainState;

/// Starts eight instances, then forty flows, and runs for two seconds so that each flow gets a target.
fn world_with_flows(seed: u64) -> World {
    let mut world = World::new(seed, 8);
    world.run_for(Duration::from_secs(6));
    for number in 0..40 {
        world.open_flow(number);
    }
    world.run_for(Duration::from_secs(2));
    world
}

fn assert_unbroken(world: &World) {
    assert_eq!(world.broken_flows(), Vec::<String>::new());
}

/// The fabric sends packets to an instance that has just started and knows no other instance. If it treated their
/// established flows as new ones, it would move them to other targets.
#[test]
fn a_new_instance_opens_no_flow_before_it_has_joined() {
    for seed in 0..20 {
        let mut world = world_with_flows(seed);
        world.start(8);
        world.start(9);
        world.run_for(Duration::from_secs(5));
        assert_unbroken(&world);
    }
}

/// A failure domain is taken out of service, its flows move to other targets, and it returns. Instances that still have
/// the old flow records must not move the flows back to the targets that they have left.
#[test]
fn a_domain_that_returns_does_not_reclaim_flows() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.set_domain_state("sur", DomainState::Out);
        // Long enough for every flow to have moved, short enough that old records remain which no packet has matched
        // since.
        world.run_for(Duration::from_millis(1_300));
        let new_targets = world.flow_targets();
        world.set_domain_state("sur", DomainState::InService);
        world.forbid_breaks();
        world.run_for(Duration::from_secs(20));
        assert_eq!(new_targets, world.flow_targets());
        assert_unbroken(&world);
    }
}

/// A network partition separates one failure domain, and both sides serve the packets that they receive. When the
/// partition heals, two instances hold the same flow. Unless they resolve this, the instance at which a packet arrives
/// decides its target from then on.
#[test]
fn a_flow_split_by_a_partition_is_merged_after_it() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.partition_domain("norte");
        world.run_for(Duration::from_secs(8));
        world.heal();
        world.run_for(Duration::from_secs(10));
        let targets = world.flow_targets();
        world.run_for(Duration::from_secs(20));
        assert_eq!(
            targets,
            world.flow_targets(),
            "flows still change their targets long after the partition has healed"
        );
    }
}

/// Instances are paused while a failure domain is taken out of service, and resume after the time within which it must
/// be free of traffic. By their outdated view they would still send established flows to that domain.
#[test]
fn a_resumed_instance_sends_nothing_by_its_outdated_view() {
    let mut world = world_with_flows(1);
    for id in [1, 2, 6] {
        world.pause(id, Duration::from_secs(5));
    }
    world.set_domain_state("este", DomainState::Out);
    world.run_for(Duration::from_secs(15));
    assert_eq!(world.violations.sent_to_out_domain, 0);
}

/// An instance is paused for so long that others take over its flows, and resumes with its old records. The target in
/// these records is leaving, so the others have chosen another one, and their advertisements arrive late. Without a
/// check, the instance would move the flows back, and then forth again once it receives the advertisements.
#[test]
fn a_resumed_instance_checks_its_old_flows_before_it_serves_them() {
    for seed in 0..10 {
        for id in [2, 6] {
            let mut world = world_with_flows(seed);
            world.set.target_groups[1].targets[2].leaving = true;
            world.publish();
            world.run_for(Duration::from_secs(2));
            world.pause(id, Duration::from_secs(6));
            world.run_for(Duration::from_millis(5_900));
            world.forbid_breaks();
            // Most advertisements of the flows' current holders are lost.
            world.network.drop = 0.4;
            world.run_for(Duration::from_secs(1));
            world.network.drop = 0.0;
            world.run_for(Duration::from_secs(10));
            assert_unbroken(&world);
        }
    }
}

/// A failure domain was out of service for a while, so instances of other domains hold flows whose home is in it; then
/// the home that records them crashes. Its successor would treat these flows as new unless they were advertised to it
/// beforehand.
#[test]
fn flows_survive_the_crash_of_a_home_that_does_not_hold_them() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.set_domain_state("este", DomainState::Out);
        world.run_for(Duration::from_secs(5));
        world.set_domain_state("este", DomainState::InService);
        // Longer than earlier views are remembered.
        world.run_for(Duration::from_secs(45));
        world.forbid_breaks();
        world.crash(if seed % 2 == 0 { 2 } else { 6 });
        world.run_for(Duration::from_secs(10));
        assert_unbroken(&world);
    }
}

/// The instances of a failure domain assume after a partition that all others are dead, and disseminate this. The
/// instances concerned refute it, but by then the others have dropped the records of which flows they hold, so these
/// must be advertised again.
#[test]
fn an_instance_that_was_declared_dead_readvertises_its_flows() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.set_domain_state("oeste", DomainState::Out);
        world.run_for(Duration::from_secs(5));
        world.set_domain_state("oeste", DomainState::InService);
        world.run_for(Duration::from_secs(5));
        world.partition_domain("norte");
        world.run_for(Duration::from_secs(4));
        world.heal();
        world.run_for(Duration::from_secs(10));
        let targets = world.flow_targets();
        world.forbid_breaks();
        world.run_for(Duration::from_secs(20));
        assert_eq!(targets, world.flow_targets());
        assert_unbroken(&world);
    }
}

/// Flows whose home is in a failure domain that was out of service are held by instances of other domains. Their holder
/// is paused briefly, and asks the home on resuming whether another instance has taken them over. The home has recorded
/// only the holder that asks; if it dropped that record, the next packet would open the flow anew at another target.
#[test]
fn a_home_keeps_the_record_of_a_holder_that_asks() {
    for seed in 0..5 {
        for id in [0, 1, 2, 4, 5, 6] {
            let mut world = world_with_flows(seed);
            world.set_domain_state("oeste", DomainState::Out);
            world.run_for(Duration::from_secs(5));
            world.set_domain_state("oeste", DomainState::InService);
            // Longer than earlier views are remembered.
            world.run_for(Duration::from_secs(45));
            world.pause(id, Duration::from_millis(1_700));
            world.run_for(Duration::from_millis(1_600));
            world.forbid_breaks();
            world.run_for(Duration::from_secs(5));
            assert_unbroken(&world);
        }
    }
}

/// Two instances have a record of one flow: one record went unused while its instance was partitioned off, the other is
/// in use. The unused one must not win although it is older, or the flow would move back to a target that it left long
/// ago. Between two records in use the older one wins.
#[test]
fn an_unused_record_does_not_supersede_one_in_use() {
    let descriptor = |age_ms, idle_ms| FlowDescriptor { caller: "10.0.0.1:5".parse().unwrap(), age_ms, idle_ms };
    let unused = descriptor(60_000, 9_000);
    let in_use = descriptor(8_000, 10);
    assert!(in_use.supersedes(&unused) && !unused.supersedes(&in_use));
    let older = descriptor(60_000, 20);
    assert!(older.supersedes(&in_use) && !in_use.supersedes(&older));
}

/// A stale platform or peer offers a set that is older than the active one. Adopting it would undo the operators'
/// changes since. Of two different sets with the same revision, all instances must choose the same one, in whichever
/// order they receive them.
#[test]
fn an_active_set_is_never_replaced_by_an_older_one() {
    let make_set = |revision: u64, idle_ms: u64| {
        let mut set = support::set();
        set.revision = revision;
        set.services[1].idle_ms = idle_ms;
        Arc::new(CheckedSet::new(set).unwrap())
    };
    let mut invariant_counters = InvariantCounters::default();
    let now = Duration::from_secs(1);
    for idle_ms in 1..20 {
        let mut first = Configuration::default();
        assert_eq!(first.offer(now, make_set(5, 60_000), &mut invariant_counters), Adoption::Adopted);
        assert_eq!(first.offer(now, make_set(4, idle_ms), &mut invariant_counters), Adoption::Stale);
        assert_eq!(first.revision(), 5);
        let mut second = Configuration::default();
        second.offer(now, make_set(5, idle_ms), &mut invariant_counters);
        assert_eq!(first.offer(now, make_set(5, idle_ms), &mut invariant_counters), Adoption::Conflict);
        assert_eq!(second.offer(now, make_set(5, 60_000), &mut invariant_counters), Adoption::Conflict);
        assert_eq!(first.catalog().digest(), second.catalog().digest());
    }
}

/// Guards against flows that change their target when all nine instances are restarted one after the other, under
/// their old addresses, over a network that loses, duplicates and reorders messages.
#[test]
fn a_rolling_restart_breaks_no_flow() {
    let mut world = World::new(3, 9);
    world.run_for(Duration::from_secs(6));
    world.network = Network { delay_ms: (1, 10), drop: 0.01, duplicate: 0.01 };
    for number in 0..60 {
        world.open_flow(number);
    }
    world.run_for(Duration::from_secs(2));
    for id in 0..9 {
        world.stop(id);
        world.run_for(Duration::from_secs(4));
        world.start(id);
        world.run_for(Duration::from_secs(3));
    }
    world.run_for(Duration::from_secs(10));
    assert!(world.has_converged());
    assert_unbroken(&world);
}

/// Operators take a failure domain out of service while the platform is down for minutes. When the platform is back,
/// traffic to that domain must end within seconds, not only after the retry backoff of each reader.
#[test]
fn a_set_published_during_a_platform_outage_is_adopted_soon_after_it() {
    let mut world = world_with_flows(1);
    world.set_platform_down(true);
    world.set_domain_state("sur", DomainState::Out);
    world.run_for(Duration::from_mins(5));
    world.set_platform_down(false);
    world.run_for(Duration::from_secs(3));
    assert!(world.has_converged());
    world.run_for(Duration::from_secs(10));
    assert_eq!(world.violations.sent_to_out_domain, 0);
}

/// Both instances of a failure domain are stopped as planned at once. Its targets keep running, so their flows must
/// continue through instances of the other domains.
#[test]
fn a_domain_without_instances_is_served_through_other_domains() {
    let mut world = world_with_flows(2);
    world.stop(1);
    world.stop(5);
    world.run_for(Duration::from_secs(10));
    assert!(world.has_converged());
    assert_eq!(world.ids().len(), 6);
    assert_unbroken(&world);
    for flow in world.callers.flows.values() {
        assert!(flow.last_answer + Duration::from_millis(500) > world.now, "{flow:?}");
    }
}

/// Targets of a datagram service answer no requests, so slow start cannot raise their limits. If they stayed cold
/// although their health checks report them warm, they would receive 1/64 of the flows that they can handle, and the
/// rest would be refused.
#[test]
fn a_datagram_target_that_reports_warm_is_warm() {
    let mut world = World::new(1, 8);
    world.run_for(Duration::from_secs(8));
    let targets: Vec<_> = world.ids().into_iter().flat_map(|id| world.dump(id).kept).collect();
    let flow_targets: Vec<_> = targets.iter().filter(|target| target.name.starts_with("avisos")).collect();
    assert_eq!(flow_targets.len(), 8);
    assert!(flow_targets.iter().all(|target| target.status == TargetStatus::Warm), "{flow_targets:?}");
}
