//! How instances fetch their first state, alone and when many start together.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fleet::ms;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::bootstrap::Bootstrap;
use hawthornshift_core::direct::message::Announcement;
use hawthornshift_core::direct::watch::WatcherRole;

const FAST_LINK_MBPS: f64 = 1_000.0;
const SLOW_LINK_MBPS: f64 = 10.0;

fn addresses(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|index| SocketAddr::from(([10, 1, 0, 1], 7_000 + index))).collect()
}

/// Returns when an instance that has received no watcher's announcement first reads the store.
fn first_read(bootstrap: &mut Bootstrap, rank: u32) -> Timestamp {
    let watcher_role = WatcherRole::new(Timestamp::ZERO);
    (0..10_000).map(ms).find(|now| bootstrap.should_read_store(*now, rank, &watcher_role)).unwrap()
}

/// All instances lose power, and each finds no peer when it restarts. Callers are waiting, so each must read the store
/// at once.
#[test]
fn an_instance_without_peers_reads_the_store_at_once() {
    assert!(first_read(&mut Bootstrap::new(false, FAST_LINK_MBPS, 1.0), 0) <= ms(31));
    assert!(first_read(&mut Bootstrap::new(false, SLOW_LINK_MBPS, 1.0), 0) <= ms(31));
}

/// 296 instances restart together and discover each other within milliseconds. If all read the store at once, its link
/// is full for two seconds and callers wait until the last read is done. Reads by four instances at a time take a
/// fraction of that.
#[test]
fn instances_that_restart_together_read_the_store_in_turns() {
    let mut rng = SmallRng::seed_from_u64(1);
    let read = |rank: u32| {
        let link = if rank.is_multiple_of(10) { 200.0 } else { SLOW_LINK_MBPS };
        first_read(&mut Bootstrap::new(false, link, rng.random_range(0.0..1.0)), rank)
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
    let read = |rank: u32| first_read(&mut Bootstrap::new(true, FAST_LINK_MBPS, 0.5), rank);
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
        asked.extend(bootstrap.ask(ms(step * 60), &up_to_date, &others, &mut rng));
    }
    assert_eq!(asked, up_to_date.into_iter().collect());
    assert_eq!(bootstrap.ask(ms(5_990), &[], &others, &mut rng), None);
    bootstrap.ask_now(ms(5_991));
    assert!(bootstrap.ask(ms(5_991), &[], &others, &mut rng).is_some());
}

/// All instances of a fleet start together, and each peer with state serves only a few handovers at a time. An instance
/// that is refused and then waits as long as after an answer stays idle while other peers have become free.
#[test]
fn a_refused_instance_soon_asks_another_peer() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(3));
    let up_to_date = addresses(3);
    assert!(bootstrap.ask(ms(0), &up_to_date, &[], &mut rng).is_some());
    bootstrap.handle_refusal(ms(2), 0.5);
    assert_eq!(bootstrap.ask(ms(3), &up_to_date, &[], &mut rng), None);
    let due = bootstrap.next_due(false);
    assert!(due <= ms(20), "{due:?}");
    assert!(bootstrap.ask(due, &up_to_date, &[], &mut rng).is_some());
}

/// An instance that knows no peer looks for peers repeatedly. It must not wait for long, and it must be free to do
/// other work in between.
#[test]
fn an_instance_without_peers_keeps_looking_for_them() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(4));
    assert_eq!(bootstrap.ask(ms(0), &[], &[], &mut rng), None);
    assert!(bootstrap.next_due(false) > ms(0));
    assert!(bootstrap.ask(ms(10), &addresses(1), &[], &mut rng).is_some());
}

/// All instances start together and none has any state. Asking each other anyway fills their connections with empty
/// answers.
#[test]
fn peers_without_an_announcement_are_asked_only_after_a_wait() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST_LINK_MBPS, 0.5), SmallRng::seed_from_u64(5));
    assert_eq!(bootstrap.ask(ms(20), &[], &addresses(40), &mut rng), None);
    assert!(bootstrap.ask(ms(400), &[], &addresses(40), &mut rng).is_some());
}

/// The first instances to read the store die before they have announced anything. The others must not wait for them
/// forever.
#[test]
fn an_instance_without_a_handover_reads_the_store_after_a_timeout() {
    let mut bootstrap = Bootstrap::new(false, FAST_LINK_MBPS, 0.0);
    let mut watcher_role = WatcherRole::new(Timestamp::ZERO);
    let announcement = Announcement { revision: 5, age: ms(1), leaving: false };
    watcher_role.receive(ms(10), 7, &announcement, true);
    let read = (0..10_000).map(ms).find(|now| bootstrap.should_read_store(*now, 3, &watcher_role)).unwrap();
    assert!(read > ms(1_900) && read < ms(2_200), "{read:?}");
}
