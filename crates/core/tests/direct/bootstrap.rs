//! How instances fetch their first state, alone and when many start together.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fleet::ms;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::lifecycle::bootstrap::Bootstrap;
use hawthornshift_core::direct::lifecycle::bootstrap::Discovery;
use hawthornshift_core::direct::lifecycle::bootstrap::Sources;
use hawthornshift_core::direct::reports::message::Announcement;
use hawthornshift_core::direct::store::watch::WatcherRole;

const FAST_LINK_MBPS: f64 = 1_000.0;
const SLOW_LINK_MBPS: f64 = 10.0;

fn addresses(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|index| SocketAddr::from(([10, 1, 0, 1], 7_000 + index))).collect()
}

fn sources<'a>(up_to_date: &'a [SocketAddr], others: &'a [SocketAddr]) -> Sources<'a> {
    Sources { up_to_date, announced: None, others }
}

/// Returns the discovery of an instance that knows all others.
fn knows_all(rank: u32) -> Discovery {
    Discovery { rank, position: 0.5, known: 296, reported: 296, awaits_seeds: false }
}

/// Returns when an instance that has received no watcher's announcement first reads the store.
fn first_read(bootstrap: &mut Bootstrap, discovery: &Discovery) -> Timestamp {
    let watcher_role = WatcherRole::new(Timestamp::ZERO);
    (0..10_000).map(ms).find(|now| bootstrap.should_read_store(*now, discovery, &watcher_role)).unwrap()
}

/// All instances lose power, and each finds no peer when it restarts. Callers are waiting, so each must read the store
/// at once.
#[test]
fn an_instance_without_peers_reads_the_store_at_once() {
    let alone = Discovery { rank: 0, position: 0.5, known: 1, reported: 0, awaits_seeds: false };
    assert!(first_read(&mut Bootstrap::new(false, FAST_LINK_MBPS, 1.0), &alone) <= ms(31));
    assert!(first_read(&mut Bootstrap::new(false, SLOW_LINK_MBPS, 1.0), &alone) <= ms(31));
}

/// 296 instances restart together and discover each other within milliseconds. If all read the store at once, its link
/// is full for two seconds and callers wait until the last read is done. Reads by four instances at a time take a
/// fraction of that.
#[test]
fn instances_that_restart_together_read_the_store_in_turns() {
    let mut rng = SmallRng::seed_from_u64(1);
    let read = |rank: u32| {
        let link = if rank.is_multiple_of(10) { 200.0 } else { SLOW_LINK_MBPS };
        first_read(&mut Bootstrap::new(false, link, rng.random_range(0.0..1.0)), &knows_all(rank))
    };
    let reads: Vec<Timestamp> = (0..296).map(read).collect();
    let within = |span: Duration| reads.iter().filter(|at| **at <= span).count();
    assert!((1..=4).contains(&within(ms(100))), "{}", within(ms(100)));
    assert!(within(ms(500)) <= 12, "{}", within(ms(500)));
    assert!(within(ms(1_000)) <= 20, "{}", within(ms(1_000)));
}

/// A whole fleet starts for the first time, seconds before its callers send requests. If two dozen instances that do
/// not know each other yet read the store, it answers hundreds of calls, all of which are counted. One reader is
/// enough.
#[test]
fn a_new_fleet_has_one_store_reader() {
    let read = |rank: u32| first_read(&mut Bootstrap::new(true, FAST_LINK_MBPS, 0.5), &knows_all(rank));
    let reads: Vec<Timestamp> = (0..296).map(read).collect();
    assert!(reads[0] <= ms(1_100), "{:?}", reads[0]);
    let first = reads.iter().min().copied().unwrap();
    let together = reads.iter().filter(|at| **at < first + ms(200)).count();
    assert_eq!(together, 1);
}

/// An instance that starts alone in a running fleet asks its peers. A peer without state cannot help, so peers that
/// have announced their revision must be asked first, and not always the same one.
#[test]
fn up_to_date_peers_are_asked_first() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(2));
    let (up_to_date, others) = (addresses(3), addresses(40));
    let mut asked = BTreeSet::new();
    for step in 0..100 {
        asked.extend(bootstrap.ask(ms(step * 60), &sources(&up_to_date, &others), &mut rng));
    }
    assert_eq!(asked, up_to_date.into_iter().collect());
    assert_eq!(bootstrap.ask(ms(5_990), &sources(&[], &others), &mut rng), None);
    bootstrap.ask_now(ms(5_991));
    assert!(bootstrap.ask(ms(5_991), &sources(&[], &others), &mut rng).is_some());
}

/// All instances of a fleet start together, and each peer with state serves only a few handovers at a time. An instance
/// that is refused and then waits as long as after an answer stays idle while other peers have become free.
#[test]
fn a_refused_instance_soon_asks_another_peer() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(3));
    let up_to_date = addresses(3);
    assert!(bootstrap.ask(ms(0), &sources(&up_to_date, &[]), &mut rng).is_some());
    bootstrap.handle_refusal(ms(2), 0.5);
    assert_eq!(bootstrap.ask(ms(3), &sources(&up_to_date, &[]), &mut rng), None);
    let due = bootstrap.next_due(false);
    assert!(due <= ms(20), "{due:?}");
    assert!(bootstrap.ask(due, &sources(&up_to_date, &[]), &mut rng).is_some());
}

/// An instance that knows no peer looks for peers repeatedly. It must not wait for long, and it must be free to do
/// other work in between.
#[test]
fn an_instance_without_peers_keeps_looking_for_them() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(4));
    assert_eq!(bootstrap.ask(ms(0), &sources(&[], &[]), &mut rng), None);
    assert!(bootstrap.next_due(false) > ms(0));
    assert!(bootstrap.ask(ms(10), &sources(&addresses(1), &[]), &mut rng).is_some());
}

/// All instances start together and none has any state. Asking each other anyway fills their connections with empty
/// answers.
#[test]
fn peers_without_an_announcement_are_asked_only_after_a_wait() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(5));
    assert_eq!(bootstrap.ask(ms(20), &sources(&[], &addresses(40)), &mut rng), None);
    assert!(bootstrap.ask(ms(400), &sources(&[], &addresses(40)), &mut rng).is_some());
}

/// The first instances to read the store die before they have announced anything. The others must not wait for them
/// forever.
#[test]
fn an_instance_without_a_handover_reads_the_store_after_a_timeout() {
    let mut bootstrap = Bootstrap::new(false, FAST_LINK_MBPS, 0.0);
    let mut watcher_role = WatcherRole::new(Timestamp::ZERO);
    let announcement = Announcement { revision: 5, age: ms(1), leaving: false };
    watcher_role.receive(ms(10), 7, &announcement, true);
    let read = (0..10_000).map(ms).find(|now| bootstrap.should_read_store(*now, &knows_all(3), &watcher_role)).unwrap();
    assert!(read > ms(1_900) && read < ms(2_200), "{read:?}");
}

/// Each of a thousand instances knows a handful of others when it may first read the store. If each took the rank among
/// those for its own, hundreds would read together and share the store's link.
#[test]
fn an_instance_that_knows_few_others_does_not_take_itself_for_the_first() {
    for fleet in [584, 1_168] {
        let read_early = |index: u32| {
            let position = f64::from(index) / f64::from(fleet);
            let discovery = Discovery { rank: 0, position, known: 5, reported: fleet, awaits_seeds: false };
            first_read(&mut Bootstrap::new(false, FAST_LINK_MBPS, 0.5), &discovery) <= ms(200)
        };
        let readers = (0..fleet).filter(|index| read_early(*index)).count();
        // A read of the state of thousands of targets occupies a store's link of 1,000 Mbit/s for 20 ms.
        assert!((1..=24).contains(&readers), "{readers} of {fleet}");
    }
}

/// One announcement reaches all instances of a starting fleet. If all ask its sender at once, it answers none of them in
/// time.
#[test]
fn the_sender_of_an_announcement_is_asked_by_few_at_a_time() {
    for fleet in [584_u16, 1_168] {
        let (announced, others) = (Some(addresses(1)[0]), addresses(fleet));
        let sources = Sources { up_to_date: &[], announced, others: &others };
        let mut rng = SmallRng::seed_from_u64(6);
        let asked_at = |_| {
            let mut bootstrap = Bootstrap::new(false, FAST_LINK_MBPS, rng.random_range(0.0..1.0));
            (0..10_000).map(ms).find(|now| bootstrap.ask(*now, &sources, &mut rng) == announced).unwrap()
        };
        let asked: Vec<Timestamp> = (0..fleet).map(asked_at).collect();
        let most =
            (0..200).map(|slot| asked.iter().filter(|at| (ms(slot * 10)..ms(slot * 10 + 10)).contains(at)).count());
        assert!(most.max().unwrap() <= 20, "{fleet} instances");
    }
}
