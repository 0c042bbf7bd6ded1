//! How the store's news reaches all instances from the one that watches.

use std::time::Duration;

use crate::fleet::ms;
use crate::members::Members;
use hawthornshift_core::Timestamp;

/// Returns a fleet with its watcher.
fn watched(seed: u64, count: usize) -> (Members, usize) {
    let fleet = Members::settled(seed, count);
    let watching = fleet.watchers();
    assert_eq!(watching.len(), 1, "{watching:?}");
    (fleet, watching[0])
}

fn slowest(fleet: &Members, since: Timestamp) -> Option<Duration> {
    fleet.times_to_revision(since).last().copied().flatten()
}

/// The watcher tells hundreds of others each change and each announcement. Told one by one they fill its link, and its part
/// grows with the fleet.
#[test]
fn the_watcher_sends_no_more_than_a_few_others_together() {
    for count in [100, 300, 430] {
        let (mut fleet, watcher) = watched(1, count);
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

/// A change reaches everybody within a second though one in a hundred datagrams is lost.
#[test]
fn news_is_everywhere_within_a_second() {
    for seed in 1..6 {
        let (mut fleet, _) = watched(seed, 300);
        let since = fleet.now;
        fleet.publish(true);
        fleet.run(Duration::from_secs(2));
        let times = fleet.times_to_revision(since);
        assert!(times[150].is_some_and(|time| time <= ms(30)), "{:?}", times[150]);
        assert!(
            slowest(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)),
            "{:?}",
            slowest(&fleet, since)
        );
    }
}

/// Any single instance hangs when it should pass a change on. Its neighbours hear of the change by the next announcement, by
/// way of another one.
#[test]
fn one_that_hangs_keeps_nobody_from_the_news() {
    let (settled, watcher) = watched(2, 300);
    for hung in (0..300).step_by(13).filter(|hung| *hung != watcher) {
        let mut fleet = settled.clone();
        fleet.freeze(hung, Duration::from_secs(3));
        let since = fleet.now;
        fleet.publish(true);
        fleet.run(Duration::from_secs(2));
        assert!(slowest(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)), "{hung}");
    }
}

/// A configuration is too large for a datagram. If all fetch it from the watcher at once, its link is full for as long as
/// that takes; it hands it to a few, who hand it on.
#[test]
fn large_news_is_fetched_from_many() {
    let (mut fleet, watcher) = watched(3, 300);
    fleet.handover_counts.fill(0);
    let since = fleet.now;
    fleet.publish(false);
    fleet.run(Duration::from_secs(2));
    assert!(slowest(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)), "{:?}", slowest(&fleet, since));
    assert!(fleet.handover_counts[watcher] <= 60, "{}", fleet.handover_counts[watcher]);
    assert!(fleet.handover_counts.iter().max().unwrap() <= &60, "{:?}", fleet.handover_counts.iter().max());
}

/// A third of all instances hang at once, so many announcements are not passed on. The others go on hearing enough of them:
/// if they did not, they would begin to watch the store by the dozen.
#[test]
fn many_that_hang_make_no_crowd_of_watchers() {
    let (mut fleet, watcher) = watched(4, 300);
    (0..300).step_by(3).filter(|index| *index != watcher).for_each(|index| fleet.freeze(index, Duration::from_secs(4)));
    let mut most = 0;
    for _ in 0..80 {
        fleet.run(ms(50));
        most = most.max(fleet.watchers().len());
    }
    assert!(most <= 4, "{most}");
}

/// Two failure domains lose each other. The one that does not reach the watcher gets a watcher of its own, and news is in
/// force on both sides; afterwards one is enough again.
#[test]
fn a_domain_that_does_not_reach_the_watcher_gets_its_own() {
    let (mut fleet, watcher) = watched(5, 100);
    let domain = watcher % 6;
    fleet.partitions = vec![(domain, (domain + 1) % 6)];
    fleet.run(Duration::from_secs(4));
    let since = fleet.now;
    fleet.publish(true);
    fleet.run(Duration::from_secs(2));
    assert!(slowest(&fleet, since).is_some_and(|time| time <= Duration::from_secs(1)), "{:?}", slowest(&fleet, since));
    fleet.partitions.clear();
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.watchers().len(), 1);
}
