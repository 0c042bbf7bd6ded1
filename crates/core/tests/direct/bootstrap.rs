//! How instances learn everything when they start, alone and in crowds.

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

const FAST: f64 = 1_000.0;
const SLOW: f64 = 10.0;

fn addresses(count: u16) -> Vec<SocketAddr> {
    (0..count).map(|index| SocketAddr::from(([10, 1, 0, 1], 7_000 + index))).collect()
}

/// Returns when an instance first reads the store that hears of no watcher.
fn first_read(bootstrap: &mut Bootstrap, rank: u32) -> Timestamp {
    let duty = WatcherRole::new(Timestamp::ZERO);
    (0..10_000).map(ms).find(|now| bootstrap.should_read_store(*now, rank, &duty)).unwrap()
}

/// All instances lose power, and each comes back to find nobody. Callers wait, so each reads the store at once.
#[test]
fn one_that_finds_nobody_reads_the_store_at_once() {
    assert!(first_read(&mut Bootstrap::new(false, FAST, 1.0), 0) <= ms(31));
    assert!(first_read(&mut Bootstrap::new(false, SLOW, 1.0), 0) <= ms(31));
}

/// 296 instances come back together and know of each other within milliseconds. If all read the store at once, its link
/// is full for two seconds, and callers wait until the last of them is done; four at a time take a fraction of that.
#[test]
fn a_crowd_reads_the_store_in_turns() {
    let mut rng = SmallRng::seed_from_u64(1);
    let read = |rank: u32| {
        let link = if rank.is_multiple_of(10) { 200.0 } else { SLOW };
        first_read(&mut Bootstrap::new(false, link, rng.random_range(0.0..1.0)), rank)
    };
    let reads: Vec<Timestamp> = (0..296).map(read).collect();
    let within = |span: Duration| reads.iter().filter(|at| **at <= span).count();
    assert!((1..=4).contains(&within(ms(100))), "{}", within(ms(100)));
    assert!(within(ms(500)) <= 12, "{}", within(ms(500)));
    assert!(within(ms(1_000)) <= 20, "{}", within(ms(1_000)));
}

/// A whole fleet starts for the first time, seconds before its callers come. Read by two dozen instances that do not know each
/// other yet, the store answers hundreds of calls, all of which are counted; one reader is enough.
#[test]
fn a_fleet_that_starts_for_the_first_time_has_one_reader() {
    let read = |rank: u32| first_read(&mut Bootstrap::new(true, FAST, 0.5), rank);
    let reads: Vec<Timestamp> = (0..296).map(read).collect();
    assert!(reads[0] <= ms(1_100), "{:?}", reads[0]);
    let first = reads.iter().min().copied().unwrap();
    let together = reads.iter().filter(|at| **at < first + ms(200)).count();
    assert_eq!(together, 1);
}

/// An instance that starts alone in a running fleet asks peers. One that knows nothing cannot help, so those that have
/// said what they know are asked first, and not always the same one.
#[test]
fn those_who_know_are_asked_first() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST, 0.5), SmallRng::seed_from_u64(2));
    let (informed, others) = (addresses(3), addresses(40));
    let mut asked = BTreeSet::new();
    for step in 0..100 {
        asked.extend(bootstrap.ask(ms(step * 60), &informed, &others, &mut rng));
    }
    assert_eq!(asked, informed.into_iter().collect());
    assert_eq!(bootstrap.ask(ms(5_990), &[], &others, &mut rng), None);
    bootstrap.ask_now(ms(5_991));
    assert!(bootstrap.ask(ms(5_991), &[], &others, &mut rng).is_some());
}

/// All instances of a fleet start together, and those who know hand over to a few at a time. One that is refused and then waits
/// as if it had been answered stands idle while others have become free.
#[test]
fn one_that_is_refused_asks_another_soon() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST, 0.5), SmallRng::seed_from_u64(3));
    let informed = addresses(3);
    assert!(bootstrap.ask(ms(0), &informed, &[], &mut rng).is_some());
    bootstrap.handle_refusal(ms(2), 0.5);
    assert_eq!(bootstrap.ask(ms(3), &informed, &[], &mut rng), None);
    let due = bootstrap.next_due(false);
    assert!(due <= ms(20), "{due:?}");
    assert!(bootstrap.ask(due, &informed, &[], &mut rng).is_some());
}

/// One that knows nobody looks for peers in turns: it must neither wait for long nor do nothing else.
#[test]
fn one_that_knows_nobody_looks_again_and_again() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST, 0.5), SmallRng::seed_from_u64(4));
    assert_eq!(bootstrap.ask(ms(0), &[], &[], &mut rng), None);
    assert!(bootstrap.next_due(false) > ms(0));
    assert!(bootstrap.ask(ms(10), &addresses(1), &[], &mut rng).is_some());
}

/// All instances start together and none knows anything. Whoever asks the others all the same fills their connections with
/// answers that say nothing.
#[test]
fn peers_that_have_said_nothing_are_asked_only_in_need() {
    let (mut bootstrap, mut rng) = (Bootstrap::new(false, FAST, 0.5), SmallRng::seed_from_u64(5));
    assert_eq!(bootstrap.ask(ms(20), &[], &addresses(40), &mut rng), None);
    assert!(bootstrap.ask(ms(400), &[], &addresses(40), &mut rng).is_some());
}

/// The first instances to read the store die before they have told anybody. The others do not wait for them for good.
#[test]
fn an_instance_that_nobody_tells_reads_the_store_in_the_end() {
    let mut bootstrap = Bootstrap::new(false, FAST, 0.0);
    let mut duty = WatcherRole::new(Timestamp::ZERO);
    let announcement = Announcement { revision: 5, age: ms(1), leaving: false };
    duty.receive(ms(10), 7, &announcement, true);
    let read = (0..10_000).map(ms).find(|now| bootstrap.should_read_store(*now, 3, &duty)).unwrap();
    assert!(read > ms(1_900) && read < ms(2_200), "{read:?}");
}
