//! How store updates reach all instances from the watcher.

use std::time::Duration;

use crate::fleet::ms;
use crate::members::Members;
use hawthornshift_core::Timestamp;

/// Returns a settled fleet and the index of its watcher.
fn settled_with_watcher(seed: u64, count: usize) -> (Members, usize) {
    let fleet = Members::settled(seed, count);
    let watchers = fleet.watchers();
    assert_eq!(watchers.len(), 1, "{watchers:?}");
    (fleet, watchers[0])
}

fn slowest_update(fleet: &Members, since: Timestamp) -> Option<Duration> {
    fleet.times_to_revision(since).last().copied().flatten()
}

/// The watcher distributes each update and each announcement to hundreds of instances. Sent to each of them directly,
/// these messages would fill its link, and the load would grow with the fleet.
#[test]
fn control_traffic_is_bounded_for_the_watcher_and_others() {
    for count in [100, 300, 430] {
        let (mut fleet, watcher) = settled_with_watcher(1, count);
        let before = fleet.sent_bytes.clone();
        for _ in 0..10 {
            fleet.publish(true);
            fleet.run(Duration::from_secs(1));
        }
        let bytes: Vec<u64> = fleet.sent_bytes.iter().zip(before).map(|(now, before)| (now - before) / 10).collect();
        assert!(bytes[watcher] < 40_000, "{count} instances: {} bytes a second", bytes[watcher]);
        let others = bytes.iter().enumerate().filter(|(index, _)| *index != watcher).map(|(_, bytes)| *bytes);
        assert!(others.max().unwrap() < 8_000, "{count} instances");
    }
}

/// A store update must reach every instance within a second though one in a hundred datagrams is lost.
#[test]
fn an_update_reaches_every_instance_within_a_second() {
    for seed in 1..6 {
        let (mut fleet, _) = settled_with_watcher(seed, 300);
        let since = fleet.now;
        fleet.publish(true);
        fleet.run(Duration::from_secs(2));
        let times = fleet.times_to_revision(since);
        assert!(times[150].is_some_and(|time| time <= ms(30)), "{:?}", times[150]);
        assert!(
            slowest_update(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)),
            "{:?}",
            slowest_update(&fleet, since)
        );
    }
}

/// Any single instance hangs when it should relay an update. The instances that depend on it must receive the update
/// after the next announcement, through another instance.
#[test]
fn one_hung_instance_does_not_delay_an_update() {
    let (settled, watcher) = settled_with_watcher(2, 300);
    for hung in (0..300).step_by(13).filter(|hung| *hung != watcher) {
        let mut fleet = settled.clone();
        fleet.freeze(hung, Duration::from_secs(3));
        let since = fleet.now;
        fleet.publish(true);
        fleet.run(Duration::from_secs(2));
        assert!(slowest_update(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)), "{hung}");
    }
}

/// A configuration is too large for a datagram. If all instances fetch it from the watcher at once, the watcher's link
/// is full for as long as that takes. The watcher must serve a few handovers, and their recipients serve the others.
#[test]
fn a_large_update_is_fetched_from_many_instances() {
    let (mut fleet, watcher) = settled_with_watcher(3, 300);
    fleet.handover_counts.fill(0);
    let since = fleet.now;
    fleet.publish(false);
    fleet.run(Duration::from_secs(2));
    assert!(
        slowest_update(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)),
        "{:?}",
        slowest_update(&fleet, since)
    );
    assert!(fleet.handover_counts[watcher] <= 60, "{}", fleet.handover_counts[watcher]);
    assert!(fleet.handover_counts.iter().max().unwrap() <= &60, "{:?}", fleet.handover_counts.iter().max());
}

/// A third of all instances hang at once, so many announcements are not relayed. The others must still receive enough
/// of them: otherwise dozens of instances would begin to watch the store.
#[test]
fn many_hung_instances_do_not_cause_many_watchers() {
    let (mut fleet, watcher) = settled_with_watcher(4, 300);
    (0..300).step_by(3).filter(|index| *index != watcher).for_each(|index| fleet.freeze(index, Duration::from_secs(4)));
    let mut max_watchers = 0;
    for _ in 0..80 {
        fleet.run(ms(50));
        max_watchers = max_watchers.max(fleet.watchers().len());
    }
    assert!(max_watchers <= 4, "{max_watchers}");
}

/// Two failure domains lose each other. The one that does not reach the watcher must get a watcher of its own, so that
/// updates take effect on both sides. Afterwards one watcher must be enough again.
#[test]
fn a_domain_that_does_not_reach_the_watcher_gets_its_own_watcher() {
    for seed in 1..=8 {
        let (mut fleet, watcher) = settled_with_watcher(seed, 100);
        let domain = watcher % 6;
        fleet.partitions = vec![(domain, (domain + 1) % 6)];
        fleet.run(Duration::from_secs(4));
        let since = fleet.now;
        fleet.publish(true);
        fleet.run(Duration::from_secs(2));
        assert!(
            slowest_update(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)),
            "seed {seed}: {:?}",
            slowest_update(&fleet, since)
        );
        fleet.partitions.clear();
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.watchers().len(), 1);
    }
}

/// Time in which a change of the configuration must be in force.
const APPLY_BOUND: Duration = Duration::from_secs(3);

/// Publishes a configuration that is too large for a datagram, freezes an instance a moment after the watcher has received
/// it, and returns the time until all others have it.
fn slowest_with_a_freeze(settled: &Members, frozen: usize, after: Duration) -> Option<Duration> {
    let mut fleet = settled.clone();
    let since = fleet.now;
    fleet.publish(false);
    fleet.run(after);
    fleet.freeze(frozen, Duration::from_secs(4));
    fleet.run(APPLY_BOUND);
    slowest_update(&fleet, since)
}

/// Guards against requests served as the version before allows: the instance that announces a large change freezes while
/// the others pull the change from it, and all of them ask it again and again although another one has the change.
#[test]
fn a_change_is_in_force_in_time_whenever_its_announcer_freezes() {
    for count in [7, 60, 300, 584] {
        let (settled, watcher) = settled_with_watcher(11, count);
        for half_millis in 0..30 {
            let after = Duration::from_micros(500) * half_millis;
            let slowest = slowest_with_a_freeze(&settled, watcher, after);
            assert!(slowest.is_some_and(|it| it <= APPLY_BOUND), "{count} instances, {after:?}: {slowest:?}");
        }
    }
}

/// Guards against the same delay by the freeze of any other instance, which may relay the announcement or be asked for the
/// change.
#[test]
fn a_change_is_in_force_in_time_whichever_other_instance_freezes() {
    for (count, step) in [(7, 1), (60, 4), (300, 31)] {
        let (settled, watcher) = settled_with_watcher(12, count);
        for frozen in (0..count).step_by(step).filter(|frozen| *frozen != watcher) {
            for millis in [0, 1, 2, 4, 8, 12] {
                let slowest = slowest_with_a_freeze(&settled, frozen, ms(millis));
                let of = format!("{count} instances, {frozen} frozen after {millis} ms");
                assert!(slowest.is_some_and(|it| it <= APPLY_BOUND), "{of}: {slowest:?}");
            }
        }
    }
}
