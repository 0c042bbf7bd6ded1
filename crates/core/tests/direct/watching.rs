//! Who watches the store, when instances and the store fail.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::ms;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::fleet::instance_id;
use hawthornshift_core::direct::message::Announcement;
use hawthornshift_core::direct::watch::RoleChange;
use hawthornshift_core::direct::watch::WatcherRole;
use hawthornshift_core::membership::Identity;
use hawthornshift_model::Revision;

const STEP: Duration = Duration::from_millis(10);

/// Duties that hear each other after a step; the lower index ranks before.
struct Group {
    duties: Vec<WatcherRole>,
    /// Whether the store answers each of them.
    answered: Vec<bool>,
    up: Vec<bool>,
    now: Timestamp,
    begun: usize,
}

impl Group {
    fn new(count: usize) -> Self {
        let duties = (0..count).map(|_| WatcherRole::new(Timestamp::ZERO)).collect();
        Self { duties, answered: vec![true; count], up: vec![true; count], now: Timestamp::ZERO, begun: 0 }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let mut said = Vec::new();
        for index in 0..self.duties.len() {
            if !self.up[index] {
                continue;
            }
            let rank = u32::try_from(self.up[..index].iter().filter(|up| **up).count()).unwrap();
            let duty = &mut self.duties[index];
            self.begun += usize::from(duty.tick(self.now, rank) == Some(RoleChange::Begin));
            if duty.is_watching() && self.answered[index] {
                duty.answered(self.now);
            }
            said.extend(duty.announcement(self.now, 5).map(|announcement| (index, announcement)));
        }
        for (from, announcement) in said {
            self.receive(from, &announcement);
        }
    }

    fn receive(&mut self, from: usize, announcement: &Announcement) {
        for index in (0..self.duties.len()).filter(|index| *index != from) {
            if self.up[index] {
                self.duties[index].receive(self.now, u32::try_from(from).unwrap(), announcement, from < index);
            }
        }
    }

    fn watching(&self) -> Vec<usize> {
        (0..self.duties.len()).filter(|index| self.up[*index] && self.duties[*index].is_watching()).collect()
    }
}

/// Nobody watches at first. One begins, the others hear of it and leave it at that: every call to the store counts.
#[test]
fn one_instance_watches_for_all() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    assert_eq!(group.watching(), [0]);
    assert_eq!(group.begun, 1);
}

/// The watcher dies. Operators' changes must be in force within three seconds, so another has to take over well before,
/// and not all at once.
#[test]
fn a_dead_watcher_is_replaced_within_two_seconds() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(3));
    group.up[0] = false;
    group.run(ms(1_500));
    assert_eq!(group.watching(), [1]);
    assert_eq!(group.begun, 2);
}

/// The store turns the watcher away and serves the others. Its announcements grow old, and another takes over; the first
/// lays the duty down.
#[test]
fn a_watcher_that_the_store_turns_away_is_replaced() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(3));
    group.answered[0] = false;
    group.run(ms(2_600));
    assert_eq!(group.watching(), [1]);
    assert!(group.begun <= 3, "{}", group.begun);
}

/// A watcher that stops as planned hands over at once.
#[test]
fn a_watcher_that_leaves_is_replaced_at_once() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(3));
    let now = group.now;
    group.duties[0].leave(now);
    group.run(ms(400));
    assert_eq!(group.watching(), [1]);
}

/// The store is down for everybody. The instances try one after the other and not in a crowd, and when it is back one
/// of them is enough again.
#[test]
fn an_outage_of_the_store_draws_no_crowd() {
    let mut group = Group::new(88);
    group.run(Duration::from_secs(3));
    group.answered = vec![false; 88];
    group.run(Duration::from_secs(5));
    assert!(group.watching().len() < 40, "{}", group.watching().len());
    group.answered = vec![true; 88];
    group.run(Duration::from_secs(2));
    assert_eq!(group.watching().len(), 1);
}

/// Many instances start at once. One that knows nothing yet hears a watcher's announcement and asks it; until the answer
/// is there it must not begin to watch itself again and again, each time a call that is counted.
#[test]
fn an_instance_that_can_ask_a_watcher_does_not_call_the_store() {
    let mut duty = WatcherRole::new(Timestamp::ZERO);
    assert!(duty.should_read());
    duty.begin(ms(20));
    assert!(!duty.should_read());
    let announcement = Announcement { revision: 5, age: ms(1), leaving: false };
    assert_eq!(duty.receive(ms(30), 7, &announcement, true), Some(RoleChange::End));
    assert!(!duty.should_read());
    assert_eq!(duty.tick(ms(500), 0), None);
    assert_eq!(duty.tick(ms(1_100), 0), Some(RoleChange::Begin));
}

/// One instance with its revision of the store, and what it asked others for.
struct Peer {
    fleet: Fleet,
    revision: Revision,
    pulled_from: Vec<SocketAddr>,
}

fn peer_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, u8::try_from(index + 1).unwrap()], 7_000))
}

fn peer(index: usize) -> Peer {
    let control = peer_address(index);
    let id = instance_id(control);
    let identity = Identity { id, incarnation: 1, failure_domain: "a".to_owned(), control, forward: control };
    let seeds = [peer_address(0), peer_address(1)];
    Peer { fleet: Fleet::new(Timestamp::ZERO, identity, &seeds), revision: 5, pulled_from: Vec::new() }
}

/// Lets three instances talk until a time; the first watches the store, and nothing that it says reaches the last.
fn talk(peers: &mut [Peer; 3], now: &mut Timestamp, end: Timestamp) {
    while *now < end {
        *now += STEP;
        peers[0].fleet.watcher_role_mut().answered(*now);
        let mut under_way: Vec<(usize, FleetEffect)> = Vec::new();
        for (index, peer) in peers.iter_mut().enumerate() {
            let revision = peer.revision;
            under_way.extend(peer.fleet.tick(*now, revision).into_iter().map(|effect| (index, effect)));
        }
        while let Some((from, effect)) = under_way.pop() {
            match effect {
                FleetEffect::Send(to, frame) => {
                    for index in (0..3).filter(|index| to.contains(&peer_address(*index)) && *index != from) {
                        if (from, index) == (0, 2) {
                            continue;
                        }
                        let revision = peers[index].revision;
                        let effects = peers[index].fleet.frame(*now, frame.clone(), revision);
                        under_way.extend(effects.into_iter().map(|effect| (index, effect)));
                    }
                }
                FleetEffect::Pull(address) => peers[from].pulled_from.push(address),
                _ => {}
            }
        }
    }
}

/// The instance that watches the store takes another one for dead, since datagrams between them are lost, and tells it
/// nothing. The store says that a target leaves. The one that is left out must learn of it from a third, or it would go
/// on giving new flows to a target that is about to end: by its rank it may take over the watch only after many seconds.
#[test]
fn an_instance_that_the_watcher_does_not_reach_asks_another_one() {
    let mut peers = [peer(0), peer(1), peer(2)];
    let mut now = Timestamp::ZERO;
    peers[0].fleet.watcher_role_mut().begin(now);
    talk(&mut peers, &mut now, Duration::from_secs(3));
    assert_eq!(peers[2].pulled_from, []);
    peers[0].revision = 7;
    peers[1].revision = 7;
    talk(&mut peers, &mut now, Duration::from_secs(4));
    assert_eq!(peers[2].pulled_from.first(), Some(&peer_address(1)));
}
