//! How fast instances learn of each other, in fleets of any size.

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
use hawthornshift_core::direct::message::MAX_DATAGRAM_BYTES;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::membership::Membership;
use hawthornshift_core::message::MemberState;
use hawthornshift_core::message::MemberUpdate;
use hawthornshift_core::tuning::Tuning;
use hawthornshift_model::InstanceId;

/// Sizes of fleets from a small one to the largest that is designed for.
const SIZES: [usize; 4] = [30, 100, 300, 430];

/// All instances of a fleet start for the first time. Callers come seconds later, and who watches the store, who is told
/// what and who may try a cold target all rest on everybody knowing everybody.
#[test]
fn a_fleet_that_starts_knows_itself_within_three_seconds() {
    for count in SIZES {
        let took = Members::starting(1, count).time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(3)), "{count} instances: {took:?}");
    }
}

/// Every process is killed and starts again at once, while callers go on asking.
#[test]
fn a_fleet_that_was_killed_knows_itself_within_two_seconds_of_its_return() {
    for count in SIZES {
        let mut fleet = Members::settled(2, count);
        (0..count).for_each(|index| fleet.kill(index));
        fleet.run(Duration::from_secs(1));
        fleet.start_all();
        fleet.run(ms(300));
        let took = fleet.time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(2)), "{count} instances: {took:?}");
    }
}

/// One instance joins a fleet that runs.
#[test]
fn one_that_joins_is_known_everywhere_within_two_seconds() {
    for count in SIZES {
        let mut fleet = Members::settled(3, count);
        fleet.kill(count - 1);
        assert!(fleet.time_to_agree(Duration::from_secs(20)).is_some());
        fleet.start(count - 1);
        let took = fleet.time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(2)), "{count} instances: {took:?}");
    }
}

/// One instance dies without a word. It has to be noticed first: a heartbeat, its timeouts and the time for which it is
/// only suspected take about two seconds; its death must then be known everywhere within two more.
#[test]
fn one_that_dies_is_noticed_and_known_everywhere_soon() {
    for count in SIZES {
        let mut fleet = Members::settled(4, count);
        fleet.kill(count / 2);
        let took = fleet.time_to_agree(Duration::from_secs(20));
        assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{count} instances: {took:?}");
    }
}

/// A message larger than a datagram is never sent, and everything in it would be lost unnoticed.
#[test]
fn no_message_is_larger_than_a_datagram() {
    let mut fleet = Members::starting(5, 300);
    fleet.run(Duration::from_secs(4));
    assert!(fleet.largest_frame_bytes <= MAX_DATAGRAM_BYTES, "{}", fleet.largest_frame_bytes);
}

/// Control may cost 4 KB a second and node, however large the fleet. The one that watches the store has a bound of its own.
#[test]
fn heartbeats_at_rest_do_not_grow_with_the_fleet() {
    for count in SIZES {
        let mut fleet = Members::settled(6, count);
        let before = fleet.sent_bytes.clone();
        fleet.run(Duration::from_secs(5));
        let watching = fleet.watchers();
        for (index, bytes) in fleet.sent_bytes.iter().zip(before).map(|(now, before)| (now - before) / 5).enumerate() {
            assert!(bytes <= 4_000 || watching.contains(&index), "{count} instances: {bytes} bytes a second");
        }
    }
}

/// Slow and frozen instances come back before anybody may take them for dead, and a lost datagram is no reason at all.
#[test]
fn nobody_is_taken_for_dead_who_answers_again_within_half_a_second() {
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

/// Two failure domains lose each other while a third reaches both. Pings by way of others go on succeeding, so nobody is
/// taken for dead, and everybody goes on knowing everybody.
#[test]
fn two_domains_that_a_third_reaches_stay_in_view_of_each_other() {
    let mut fleet = Members::settled(7, 100);
    fleet.partitions = vec![(1, 3)];
    for _ in 0..100 {
        fleet.run(TICK_PERIOD);
        assert!(fleet.serving_counts().into_iter().min().unwrap() >= 98, "{:?}", fleet.serving_counts());
    }
    fleet.partitions.clear();
    assert!(fleet.time_to_agree(Duration::from_secs(3)).is_some());
}

/// A failure domain is cut off for long enough that both sides bury each other, and then joined again.
#[test]
fn both_sides_of_a_cut_find_each_other_again() {
    let mut fleet = Members::settled(8, 100);
    fleet.partitions = (0..DOMAINS).filter(|domain| *domain != 2).map(|domain| (2, domain)).collect();
    fleet.run(Duration::from_secs(8));
    assert!(fleet.serving_counts().into_iter().max().unwrap() < 90, "{:?}", fleet.serving_counts());
    fleet.partitions.clear();
    let took = fleet.time_to_agree(Duration::from_secs(20));
    assert!(took.is_some_and(|took| took <= Duration::from_secs(4)), "{took:?}");
}

/// A whole fleet dies and comes back, and each instance writes a line for each change of each other one, 25,000 in half a
/// minute. One line a second is enough, whatever happens, if nothing is left out of it.
#[test]
fn a_storm_of_changes_is_summed_up_in_a_line_a_second() {
    let mut log = ChangeLog::default();
    let (mut lines, mut known) = (Vec::new(), 0_usize);
    for step in 0..200_u32 {
        let serving: Vec<InstanceId> = (0..(step * 17) % 300).collect();
        log.note(&serving);
        lines.extend(log.due(ms(u64::from(step) * 50)));
    }
    assert!(lines.len() <= 10, "{}", lines.len());
    for line in &lines {
        assert_eq!(line.before, known);
        known = known + line.joined.len() - line.left.len();
        assert_eq!(line.serving, known);
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

/// Compares views both ways until nothing differs, in parts as small as they can be.
fn settle(left: &mut Membership, right: &mut Membership) {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..64 {
        let for_right = left.missing(&mut rng, &right.digest(), 1);
        let for_left = right.missing(&mut rng, &left.digest(), 1);
        for_right.iter().flatten().for_each(|update| right.merge_update(Timestamp::ZERO, update));
        for_left.iter().flatten().for_each(|update| left.merge_update(Timestamp::ZERO, update));
    }
}

proptest! {
    /// Messages are lost, repeated and overtake each other. Whatever each instance has heard, once they have compared their
    /// views both believe the same.
    #[test]
    fn any_order_loss_and_repetition_of_news_ends_in_one_view(
        updates in proptest::collection::vec((update(), any::<bool>(), any::<bool>()), 0..120),
    ) {
        let (mut left, mut right) = (member(1), member(2));
        for (update, heard, _) in &updates {
            if *heard {
                left.merge_update(Timestamp::ZERO, update);
            }
        }
        for (update, _, heard) in updates.iter().rev().chain(&updates) {
            if *heard {
                right.merge_update(Timestamp::ZERO, update);
            }
        }
        let (left_me, right_me) = (left.me().clone(), right.me().clone());
        left.merge_update(Timestamp::ZERO, &right_me);
        right.merge_update(Timestamp::ZERO, &left_me);
        settle(&mut left, &mut right);
        assert_eq!(left.digest(), right.digest());
    }
}
