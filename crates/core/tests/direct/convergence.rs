//! How fast instances discover each other, in fleets of any size.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fleet::ms;
use crate::members::DOMAINS;
use crate::members::Members;
use crate::members::TICK_PERIOD;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::fleet::ChangeLog;
use hawthornshift_core::direct::reports::message::MAX_DATAGRAM_BYTES;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::membership::Membership;
use hawthornshift_core::membership::PeerView;
use hawthornshift_core::message::MemberState;
use hawthornshift_core::message::MemberUpdate;
use hawthornshift_core::tuning::Tuning;
use hawthornshift_model::InstanceId;

/// Fleet sizes, from a small one to the largest that the design supports.
const FLEET_SIZES: [usize; 4] = [30, 100, 300, 430];

/// All instances of a fleet start for the first time. Callers send requests seconds later, and the choice of the
/// watcher, the recipients of messages and the choice of who may send a trial flow to a cold target all require that
/// every instance knows every other.
#[test]
fn a_new_fleet_converges_within_three_seconds() {
    for count in FLEET_SIZES {
        let took = Members::starting(1, count).time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(3)), "{count} instances: {took:?}");
    }
}

/// Every process is killed and restarted at once, while callers go on sending requests.
#[test]
fn a_restarted_fleet_converges_within_two_seconds() {
    for count in FLEET_SIZES {
        let mut fleet = Members::settled(2, count);
        (0..count).for_each(|index| fleet.kill(index));
        fleet.run(Duration::from_secs(1));
        fleet.start_all();
        fleet.run(ms(300));
        let took = fleet.time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(2)), "{count} instances: {took:?}");
    }
}

/// All instances lose power and start again without any state while callers wait. The first ones that have it, from the
/// store, must not be asked by all others at once, and the store's link must not be shared by dozens of readers.
#[test]
fn a_fleet_that_lost_power_has_its_state_within_two_seconds() {
    for count in [100, 584, 1_168] {
        let mut fleet = Members::starting(9, count);
        fleet.run(ms(400));
        fleet.lose_power();
        fleet.run(Duration::from_secs(3));
        let times = fleet.times_to_state();
        let slowest = times[times.len() - 1];
        assert!(slowest.is_some_and(|time| time <= Duration::from_secs(2)), "{count} instances: {slowest:?}");
        assert!(fleet.store_reads <= 24, "{count} instances: {} store reads", fleet.store_reads);
    }
}

/// One instance joins a running fleet.
#[test]
fn a_joining_instance_is_known_everywhere_within_two_seconds() {
    for count in FLEET_SIZES {
        let mut fleet = Members::settled(3, count);
        fleet.kill(count - 1);
        assert!(fleet.time_to_agree(Duration::from_secs(20)).is_some());
        fleet.start(count - 1);
        let took = fleet.time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(2)), "{count} instances: {took:?}");
    }
}

/// One instance dies silently. Detection comes first: a heartbeat, its timeouts and the suspicion timeout take about
/// two seconds. Its death must then be known everywhere within two more.
#[test]
fn a_dead_instance_is_detected_and_known_everywhere_within_four_seconds() {
    for count in FLEET_SIZES {
        let mut fleet = Members::settled(4, count);
        fleet.kill(count / 2);
        let took = fleet.time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{count} instances: {took:?}");
    }
}

/// A message larger than a datagram is never sent, and everything in it would be lost without notice.
#[test]
fn no_message_is_larger_than_a_datagram() {
    let mut fleet = Members::starting(5, 300);
    fleet.run(Duration::from_secs(4));
    assert!(fleet.largest_frame_bytes <= MAX_DATAGRAM_BYTES, "{}", fleet.largest_frame_bytes);
}

/// Control traffic may cost 4 KB a second for each node, however large the fleet is. The watcher has a limit of its
/// own.
#[test]
fn control_traffic_at_rest_does_not_grow_with_the_fleet() {
    for count in FLEET_SIZES {
        let mut fleet = Members::settled(6, count);
        let before = fleet.sent_bytes.clone();
        fleet.run(Duration::from_secs(5));
        let watching = fleet.watchers();
        for (index, bytes) in fleet.sent_bytes.iter().zip(before).map(|(now, before)| (now - before) / 5).enumerate() {
            assert!(bytes <= 4_000 || watching.contains(&index), "{count} instances: {bytes} bytes a second");
        }
    }
}

/// Instances that are slow or frozen for half a second must not be declared dead before they respond again, and a lost
/// datagram is no reason to do so.
#[test]
fn no_instance_is_declared_dead_for_a_freeze_of_half_a_second() {
    for seed in 1..4 {
        let mut fleet = Members::settled(seed, 300);
        for round in 0..20 {
            (0..10).for_each(|index| fleet.freeze((round * 37 + index * 29) % 300, ms(500)));
            for _ in 0..10 {
                fleet.run(TICK_PERIOD);
                let least = fleet.serving_counts().into_iter().min().unwrap();
                assert_eq!(least, 300, "seed {seed}, round {round}");
            }
        }
    }
}

/// Two failure domains lose each other while a third reaches both. Indirect pings still succeed, so nobody may be
/// declared dead, and every instance must go on knowing every other.
#[test]
fn domains_that_lose_each_other_stay_known_through_a_third() {
    let mut fleet = Members::settled(7, 100);
    fleet.partitions = vec![(1, 3)];
    for _ in 0..100 {
        fleet.run(TICK_PERIOD);
        assert!(fleet.serving_counts().into_iter().min().unwrap() >= 98, "{:?}", fleet.serving_counts());
    }
    fleet.partitions.clear();
    assert!(fleet.time_to_agree(Duration::from_secs(3)).is_some());
}

/// A failure domain is partitioned for long enough that both sides declare each other dead, and is then reconnected.
#[test]
fn both_sides_of_a_partition_rediscover_each_other() {
    let mut fleet = Members::settled(8, 100);
    fleet.partitions = (0..DOMAINS).filter(|domain| *domain != 2).map(|domain| (2, domain)).collect();
    fleet.run(Duration::from_secs(8));
    assert!(fleet.serving_counts().into_iter().max().unwrap() < 90, "{:?}", fleet.serving_counts());
    fleet.partitions.clear();
    let took = fleet.time_to_agree(Duration::from_secs(20));
    assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{took:?}");
}

/// A whole fleet dies and restarts. If each instance logs a line for each change of each other instance, that is 25,000
/// lines in half a minute. One line a second is enough, provided that it leaves out no change.
#[test]
fn membership_changes_are_logged_in_one_line_a_second() {
    let mut log = ChangeLog::default();
    let (mut lines, mut known_count) = (Vec::new(), 0_usize);
    for step in 0..200_u32 {
        let serving: Vec<InstanceId> = (0..(step * 17) % 300).collect();
        log.record(&serving);
        lines.extend(log.due(ms(u64::from(step) * 50)));
    }
    assert!(lines.len() <= 10, "{}", lines.len());
    for line in &lines {
        assert_eq!(line.before, known_count);
        known_count = known_count + line.joined.len() - line.left.len();
        assert_eq!(line.serving, known_count);
    }
    assert!(log.due(Duration::from_secs(11)).is_some());
    assert!(log.due(Duration::from_secs(13)).is_none());
}

fn member(id: InstanceId) -> Membership {
    let control = SocketAddr::from(([10, 1, 0, 1], 7_000));
    let identity = Identity { id, incarnation: 1, failure_domain: "a".to_owned(), control, forward: control };
    Membership::new(identity, Tuning::default())
}

fn update() -> impl Strategy<Value = MemberUpdate> {
    let state = proptest::sample::select(vec![
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
    ]);
    let control = SocketAddr::from(([10, 1, 0, 1], 7_000));
    (10_u32..40, 1_u64..4, 0_u32..3, state, Just(control)).prop_map(|(id, incarnation, version, state, control)| {
        let failure_domain = "a".to_owned();
        MemberUpdate { id, incarnation, version, state, failure_domain, control, forward: control }
    })
}

/// Exchanges digests and missing updates both ways until the views are equal, in the smallest batches.
fn exchange_missing_updates(left: &mut Membership, right: &mut Membership) {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..64 {
        let for_right = left.missing(&mut rng, &right.digest(), 1);
        let for_left = right.missing(&mut rng, &left.digest(), 1);
        for_right.iter().flatten().for_each(|update| right.merge_update(Timestamp::ZERO, update));
        for_left.iter().flatten().for_each(|update| left.merge_update(Timestamp::ZERO, update));
    }
}

/// Returns what heartbeats state of a view, computed from all members: the hash of the view that another instance with
/// the same members states, and the number of serving instances.
fn scanned(membership: &Membership) -> (u64, usize) {
    let mut copy = member(membership.me().id);
    copy.merge_updates(Timestamp::ZERO, &membership.handover());
    let serves = |update: &&MemberUpdate| matches!(update.state, MemberState::Alive | MemberState::Suspect);
    (copy.digest().combined_hash(), membership.members().filter(serves).count() + 1)
}

proptest! {
    /// A hash or a count that misses a change of a member would make instances compare their views for ever, or send
    /// their reports to the wrong group.
    #[test]
    fn what_is_stated_of_a_view_follows_every_change(
        steps in proptest::collection::vec((update(), 0_u64..900, 0_u32..3), 1..120),
    ) {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut membership = member(1);
        let mut now = Timestamp::ZERO;
        for (update, wait_ms, recipients) in &steps {
            now += ms(*wait_ms);
            membership.merge_update(now, update);
            // Nobody answers the pings, so members are suspected and die, and are removed in the end.
            membership.tick(now, &mut rng);
            for to in 0..*recipients {
                membership.piggyback_updates(update.id + to, PeerView::Unknown);
            }
            let stated = (membership.digest().combined_hash(), membership.serving_count());
            assert_eq!(stated, scanned(&membership));
        }
    }

    /// Messages are lost, repeated and reordered. Whichever updates each instance has received, the views must be equal
    /// after a digest exchange.
    #[test]
    fn lost_repeated_and_reordered_updates_converge_to_one_view(
        updates in proptest::collection::vec((update(), any::<bool>(), any::<bool>()), 0..120),
    ) {
        let (mut left, mut right) = (member(1), member(2));
        for (update, received, _) in &updates {
            if *received {
                left.merge_update(Timestamp::ZERO, update);
            }
        }
        for (update, _, received) in updates.iter().rev().chain(&updates) {
            if *received {
                right.merge_update(Timestamp::ZERO, update);
            }
        }
        let (left_identity, right_identity) = (left.me().clone(), right.me().clone());
        left.merge_update(Timestamp::ZERO, &right_identity);
        right.merge_update(Timestamp::ZERO, &left_identity);
        exchange_missing_updates(&mut left, &mut right);
        assert_eq!(left.digest(), right.digest());
    }
}
