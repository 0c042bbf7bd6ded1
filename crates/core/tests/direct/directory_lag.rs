//! An instance whose directory is behind those of its peers.

use std::time::Duration;

use crate::fleet::Sim;
use crate::fleet::ms;
use crate::fleet::target_id;
use crate::fleet::target_spec;
use hawthornshift_core::direct::decision::Outcome;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_core::direct::store::directory_lag::DirectoryLag;
use hawthornshift_core::direct::store::directory_lag::MissingRevision;
use hawthornshift_core::direct::store::directory_lag::PlacementGate;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::store_entries::StoreEntry;
use hawthornshift_core::direct::store::store_entries::TargetSpec;
use hawthornshift_core::direct::store::store_entries::VersionedEntry;

/// The bound that instances assume if the deployment states none.
const DRAIN_BOUND: Duration = Duration::from_secs(3);
const DRAINS_AT: Duration = Duration::from_secs(4);

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Lets a quarter of the targets drain at 4 s and runs until 14 s. Updates are lost at some instances until 10 s. Returns
/// the simulation, the number of SYNs that arrived at draining targets after the bound, and the number of flows that
/// were reset because an instance was behind.
fn drain(seed: u64, lost_at: Vec<usize>, without: &str) -> (Sim, usize, usize) {
    let mut sim = Sim::new(seed, 8, 16, 300.0);
    sim.mechanisms = without.parse::<Mechanisms>().unwrap();
    sim.route_by_readiness();
    sim.run_until(DRAINS_AT);
    sim.updates_lost_at = lost_at;
    let draining = |index: usize| TargetSpec { draining: true, ..target_spec(index, Duration::ZERO) };
    let entry = |index: usize| StoreEntry::Target(target_id(index), Some(draining(index)));
    let entries = (0..4).map(|index| VersionedEntry { revision: 12, entry: entry(index) }).collect();
    sim.publish(&Delta { since: 11, revision: 12, is_snapshot: false, entries });
    sim.run_until(secs(10));
    sim.updates_lost_at.clear();
    sim.run_until(secs(14));
    sim.assert_invariants();
    let syns = (0..4).flat_map(|index| &sim.targets[&target_id(index)].syn_times);
    let late = syns.filter(|at| **at > DRAINS_AT + DRAIN_BOUND).count();
    let reset = sim.decisions_with(Outcome::ResetBehind).count();
    (sim, late, reset)
}

/// Guards against flows on draining targets: pushes to one instance and the answers to its pulls are lost for 6 s, and
/// targets drain meanwhile. No SYN may reach them after the bound, callers must be served through other
/// instances, and the instance must be used again when it has caught up.
#[test]
fn an_instance_that_is_behind_places_no_flow_on_draining_targets() {
    for seed in 50..53 {
        let (_, late_without, _) = drain(seed, vec![3], "directory-lag");
        assert!(late_without > 0, "the test does not reproduce the fault");
        let (sim, late, reset) = drain(seed, vec![3], "");
        assert_eq!(late, 0);
        assert!(reset > 0);
        assert!(sim.answered_shares(DRAINS_AT, secs(12)).0 > 0.97);
        let resets_after = sim.decision_times(Outcome::ResetBehind).filter(|(at, _)| *at > secs(12)).count();
        let placed_after = sim.decision_times(Outcome::Placed).filter(|(at, by)| *at > secs(13) && *by == 3).count();
        assert!(resets_after == 0 && placed_after > 0, "{resets_after} resets, {placed_after} placed");
    }
}

/// The watcher has a revision and no other instance gets it, or the store answers slowly: all are behind alike. If each
/// of them stopped placing flows, no caller would be served.
#[test]
fn a_fleet_that_is_behind_as_a_whole_serves_as_before() {
    let (sim, _, reset) = drain(60, (1..8).collect(), "");
    assert_eq!(reset, 0);
    assert!(sim.answered_shares(DRAINS_AT, secs(12)).0 > 0.97);
}

/// Revisions 7 and 8 become known 1 s apart, and 7 arrives. The time without 8 counts from when 8 became known: an
/// instance that lags by half a second under continuous changes would otherwise appear to be behind for ever. Pulls go
/// to each peer that has the revision and become rarer.
#[test]
fn the_lag_counts_from_the_oldest_missing_revision() {
    let address = |index: u8| std::net::SocketAddr::from(([10, 1, 0, index], 7_000));
    let mut lag = DirectoryLag::default();
    lag.heard_of(secs(1), 7, 6);
    lag.heard_of(secs(2), 8, 6);
    (1..4).for_each(|peer| lag.record_report(secs(4), u32::from(peer), address(peer), 8));
    assert_eq!(lag.behind_for(secs(4)), secs(3));
    let pulls: Vec<_> = (0..60).filter_map(|step| lag.take_pull(secs(4) + ms(100) * step, address(1))).collect();
    assert_eq!(pulls[..4], [address(1), address(2), address(3), address(2)]);
    assert!(pulls.len() < 12, "{pulls:?}");
    lag.review(secs(4), 7, 3);
    assert_eq!(lag.missing_here(secs(4)), None, "the peers have only just got the revision");
    let missing = MissingRevision { revision: 8, known_since: secs(2), peers_ahead: 3, peers_heard: 3 };
    assert_eq!(lag.missing_here(secs(5)), Some(missing));
    let mut silent = lag.clone();
    silent.review(secs(8), 7, 3);
    assert_eq!(silent.missing_here(secs(8)), None, "reports that are too old count");
    let mut gate = PlacementGate::new(secs(5));
    gate.set_missing(Some(missing));
    assert_eq!([ms(5_700), ms(5_900)].map(|now| gate.behind(now, 7).is_some()), [false, true]);
    assert_eq!(gate.behind(ms(5_900), 8), None, "the instance has caught up");
}
