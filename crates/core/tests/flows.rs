//! Failures of flows that the random runs have found, each played on purpose.

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

/// Starts eight instances with forty flows and lets them settle.
fn world_with_flows(seed: u64) -> World {
    let mut world = World::new(seed, 8);
    world.run(Duration::from_secs(6));
    for number in 0..40 {
        world.flow(number);
    }
    world.run(Duration::from_secs(2));
    world
}

fn assert_unbroken(world: &World) {
    assert_eq!(world.broken_flows(), Vec::<String>::new());
}

/// The fabric hands packets to an instance that has started a moment ago and knows nobody. It would take every flow
/// for a new one, and callers in the middle of a flow would find themselves at another target.
#[test]
fn a_new_instance_opens_nothing_before_it_has_found_its_place() {
    for seed in 0..20 {
        let mut world = world_with_flows(seed);
        world.start(8);
        world.start(9);
        world.run(Duration::from_secs(5));
        assert_unbroken(&world);
    }
}

/// A failure domain is taken out, its callers move on to other targets, and it comes back. Instances that still have
/// the old records would pull the callers back to targets they left long ago.
#[test]
fn a_domain_that_comes_back_does_not_pull_flows_back() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.set_domain("sur", DomainState::Out);
        // Long enough for every caller to have moved, short enough for old records that no packet has met since.
        world.run(Duration::from_millis(1_300));
        let moved = world.flow_targets();
        world.set_domain("sur", DomainState::InService);
        world.end_excuses();
        world.run(Duration::from_secs(20));
        assert_eq!(moved, world.flow_targets());
        assert_unbroken(&world);
    }
}

/// A failure domain is cut off, and both sides serve the callers they are handed. When the cut heals, two instances
/// hold one flow, and packets would go to one target or the other for ever, depending on where they enter.
#[test]
fn a_flow_split_by_a_partition_becomes_one_again() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.cut_domain("norte");
        world.run(Duration::from_secs(8));
        world.heal();
        world.run(Duration::from_secs(10));
        let held = world.flow_targets();
        world.run(Duration::from_secs(20));
        assert_eq!(held, world.flow_targets(), "flows still change their targets long after the partition has healed");
    }
}

/// An instance is frozen while its failure domain's neighbour is taken out, and wakes later than operators allow. It
/// would send established flows into the domain that is out, on its old view.
#[test]
fn one_that_wakes_late_sends_nothing_on_its_old_view() {
    let mut world = world_with_flows(1);
    for id in [1, 2, 6] {
        world.pause(id, Duration::from_secs(5));
    }
    world.set_domain("este", DomainState::Out);
    world.run(Duration::from_secs(15));
    assert_eq!(world.never.late_after_out, 0);
}

/// An instance is frozen for so long that others take over its flows, and wakes with the old records. Its target was
/// leaving, so the others chose another one, and their word of it is late. Callers who have moved on would be moved back, and forth again when the
/// instance learns of it.
#[test]
fn one_that_wakes_late_asks_before_it_serves_old_flows() {
    for seed in 0..10 {
        for id in [2, 6] {
            let mut world = world_with_flows(seed);
            world.set.target_groups[1].targets[2].leaving = true;
            world.publish();
            world.run(Duration::from_secs(2));
            world.pause(id, Duration::from_secs(6));
            world.run(Duration::from_millis(5_900));
            world.end_excuses();
            // The word of where its flows are now is lost more often than not.
            world.network.drop = 0.4;
            world.run(Duration::from_secs(1));
            world.network.drop = 0.0;
            world.run(Duration::from_secs(10));
            assert_unbroken(&world);
        }
    }
}

/// A failure domain was out for a while, so flows that belong there are held by instances of others; then the home
/// that knows of them dies. Its successor would take those flows for new ones unless it was told beforehand.
#[test]
fn a_home_that_dies_does_not_take_the_word_of_its_flows_with_it() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.set_domain("este", DomainState::Out);
        world.run(Duration::from_secs(5));
        world.set_domain("este", DomainState::InService);
        // Longer than earlier views are remembered.
        world.run(Duration::from_secs(45));
        world.end_excuses();
        world.crash(if seed % 2 == 0 { 2 } else { 6 });
        world.run(Duration::from_secs(10));
        assert_unbroken(&world);
    }
}

/// A failure domain that was cut off comes back with the belief that all others are dead, and spreads it. Instances
/// that hear of their own death deny it, but the others have forgotten which flows they hold.
#[test]
fn one_that_was_counted_as_dead_tells_its_flows_again() {
    for seed in 0..10 {
        let mut world = world_with_flows(seed);
        world.set_domain("oeste", DomainState::Out);
        world.run(Duration::from_secs(5));
        world.set_domain("oeste", DomainState::InService);
        world.run(Duration::from_secs(5));
        world.cut_domain("norte");
        world.run(Duration::from_secs(4));
        world.heal();
        world.run(Duration::from_secs(10));
        let held = world.flow_targets();
        world.end_excuses();
        world.run(Duration::from_secs(20));
        assert_eq!(held, world.flow_targets());
        assert_unbroken(&world);
    }
}

/// Flows that belong to a failure domain are held elsewhere since it was out. Their holder is frozen for a moment, and
/// on waking asks their home whether anyone else has taken them. The home knows nobody but the asker itself; were it to
/// forget that, the next packet would start the flow anew at another target.
#[test]
fn a_home_that_is_asked_by_the_holder_does_not_forget_it() {
    for seed in 0..5 {
        for id in [0, 1, 2, 4, 5, 6] {
            let mut world = world_with_flows(seed);
            world.set_domain("oeste", DomainState::Out);
            world.run(Duration::from_secs(5));
            world.set_domain("oeste", DomainState::InService);
            // Longer than earlier views are remembered.
            world.run(Duration::from_secs(45));
            world.pause(id, Duration::from_millis(1_700));
            world.run(Duration::from_millis(1_600));
            world.end_excuses();
            world.run(Duration::from_secs(5));
            assert_unbroken(&world);
        }
    }
}

/// Two records of one flow: one was abandoned while its instance was cut off, the other is in use. The older one must
/// not win, or the caller would be moved back to where it has not been for long.
#[test]
fn an_abandoned_record_does_not_hold_over_one_in_use() {
    let note = |age_ms, idle_ms| FlowDescriptor { caller: "10.0.0.1:5".parse().unwrap(), age_ms, idle_ms };
    let abandoned = note(60_000, 9_000);
    let in_use = note(8_000, 10);
    assert!(in_use.supersedes(&abandoned) && !abandoned.supersedes(&in_use));
    let elder = note(60_000, 20);
    assert!(elder.supersedes(&in_use) && !in_use.supersedes(&elder));
}

/// A platform that is stale, or a peer that is, offers a set that is older than the one in force. What operators have
/// since changed would be undone; and of two sets with one revision every instance must end with the same.
#[test]
fn a_set_in_force_never_gives_way_to_an_older_one() {
    let made = |revision: u64, idle_ms: u64| {
        let mut set = support::set();
        set.revision = revision;
        set.services[1].idle_ms = idle_ms;
        Arc::new(CheckedSet::new(set).unwrap())
    };
    let mut invariant_counters = InvariantCounters::default();
    let now = Duration::from_secs(1);
    for idle_ms in 1..20 {
        let mut first = Configuration::default();
        assert_eq!(first.offer(now, made(5, 60_000), &mut invariant_counters), Adoption::Adopted);
        assert_eq!(first.offer(now, made(4, idle_ms), &mut invariant_counters), Adoption::Stale);
        assert_eq!(first.revision(), 5);
        let mut second = Configuration::default();
        second.offer(now, made(5, idle_ms), &mut invariant_counters);
        assert_eq!(first.offer(now, made(5, idle_ms), &mut invariant_counters), Adoption::Clash);
        assert_eq!(second.offer(now, made(5, 60_000), &mut invariant_counters), Adoption::Clash);
        assert_eq!(first.catalog().digest(), second.catalog().digest());
    }
}

/// All nine instances are restarted one after the other, under their old addresses, over a network that loses and
/// reorders. A caller's flow goes on at its target through all of it.
#[test]
fn a_rolling_restart_breaks_no_flow() {
    let mut world = World::new(3, 9);
    world.run(Duration::from_secs(6));
    world.network = Network { delay_ms: (1, 10), drop: 0.01, duplicate: 0.01 };
    for number in 0..60 {
        world.flow(number);
    }
    world.run(Duration::from_secs(2));
    for id in 0..9 {
        world.stop(id);
        world.run(Duration::from_secs(4));
        world.start(id);
        world.run(Duration::from_secs(3));
    }
    world.run(Duration::from_secs(10));
    assert!(world.has_converged());
    assert_unbroken(&world);
}

/// Operators publish while the platform is down for minutes. When it is back, a failure domain that was to be taken
/// out must fall silent within seconds and not when every reader has waited out its pause.
#[test]
fn what_was_published_during_an_outage_is_in_force_soon_after_it() {
    let mut world = world_with_flows(1);
    world.set_platform_down(true);
    world.set_domain("sur", DomainState::Out);
    world.run(Duration::from_mins(5));
    world.set_platform_down(false);
    world.run(Duration::from_secs(3));
    assert!(world.has_converged());
    world.run(Duration::from_secs(10));
    assert_eq!(world.never.late_after_out, 0);
}

/// A whole failure domain is stopped as planned, both of its instances at once. Its targets go on, and so do their
/// flows, through instances of the other domains.
#[test]
fn a_domain_without_instances_is_served_through_the_others() {
    let mut world = world_with_flows(2);
    world.stop(1);
    world.stop(5);
    world.run(Duration::from_secs(10));
    assert!(world.has_converged());
    assert_eq!(world.ids().len(), 6);
    assert_unbroken(&world);
    for flow in world.callers.flows.values() {
        assert!(flow.last_answer + Duration::from_millis(500) > world.now, "{flow:?}");
    }
}

/// Targets of a datagram service answer no requests that could prove them warm. Taken for cold for ever, they would
/// be given a sixty-fourth of the flows that they bear, and the rest would be turned away.
#[test]
fn a_datagram_target_that_says_it_is_warm_counts_as_warm() {
    let mut world = World::new(1, 8);
    world.run(Duration::from_secs(8));
    let kept: Vec<_> = world.ids().into_iter().flat_map(|id| world.dump(id).kept).collect();
    let flows: Vec<_> = kept.iter().filter(|kept| kept.name.starts_with("avisos")).collect();
    assert_eq!(flows.len(), 8);
    assert!(flows.iter().all(|kept| kept.status == TargetStatus::Warm), "{flows:?}");
}
