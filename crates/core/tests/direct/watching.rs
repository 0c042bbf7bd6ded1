//! Which instance watches the store, when instances and the store fail.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::ms;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::fleet::Fleet;
use hawthornshift_core::direct::fleet::FleetEffect;
use hawthornshift_core::direct::fleet::instance_id;
use hawthornshift_core::direct::reports::message::Announcement;
use hawthornshift_core::direct::store::watch::RoleChange;
use hawthornshift_core::direct::store::watch::WatcherRole;
use hawthornshift_core::membership::Identity;
use hawthornshift_model::Revision;

const STEP_DURATION: Duration = Duration::from_millis(10);

/// Watcher roles of several instances, which receive each other's announcements after a step. A lower index has
/// precedence.
struct Group {
    watcher_roles: Vec<WatcherRole>,
    /// Whether the store answers each instance.
    store_answers: Vec<bool>,
    up: Vec<bool>,
    now: Timestamp,
    start_count: usize,
}

impl Group {
    fn new(count: usize) -> Self {
        let watcher_roles = (0..count).map(|_| WatcherRole::new(Timestamp::ZERO)).collect();
        Self {
            watcher_roles,
            store_answers: vec![true; count],
            up: vec![true; count],
            now: Timestamp::ZERO,
            start_count: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_DURATION;
            self.step();
        }
    }

    fn step(&mut self) {
        let mut announcements = Vec::new();
        for index in 0..self.watcher_roles.len() {
            if !self.up[index] {
                continue;
            }
            let rank = u32::try_from(self.up[..index].iter().filter(|up| **up).count()).unwrap();
            let watcher_role = &mut self.watcher_roles[index];
            self.start_count += usize::from(watcher_role.tick(self.now, rank) == Some(RoleChange::Start));
            if watcher_role.is_watching() && self.store_answers[index] {
                watcher_role.record_store_answer(self.now);
            }
            announcements.extend(watcher_role.announcement(self.now, 5).map(|announcement| (index, announcement)));
        }
        for (from, announcement) in announcements {
            self.receive(from, &announcement);
        }
    }

    fn receive(&mut self, from: usize, announcement: &Announcement) {
        for index in (0..self.watcher_roles.len()).filter(|index| *index != from) {
            if self.up[index] {
                self.watcher_roles[index].receive(self.now, u32::try_from(from).unwrap(), announcement, from < index);
            }
        }
    }

    fn watching(&self) -> Vec<usize> {
        (0..self.watcher_roles.len())
            .filter(|index| self.up[*index] && self.watcher_roles[*index].is_watching())
            .collect()
    }
}

/// No instance watches at first. One begins, and the others receive its announcement and do not begin: every call to
/// the store is counted.
#[test]
fn one_instance_watches_for_all() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(10));
    assert_eq!(group.watching(), [0]);
    assert_eq!(group.start_count, 1);
}

/// The watcher dies. Operators' changes must take effect within three seconds, so another instance must take over well
/// before that, and not all instances at once.
#[test]
fn a_dead_watcher_is_replaced_within_two_seconds() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(3));
    group.up[0] = false;
    group.run(ms(1_500));
    assert_eq!(group.watching(), [1]);
    assert_eq!(group.start_count, 2);
}

/// The store refuses the watcher and serves the others. The watcher's announcements become stale and another instance
/// must take over; the first one ends its watch.
#[test]
fn a_watcher_that_the_store_refuses_is_replaced() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(3));
    group.store_answers[0] = false;
    group.run(ms(2_600));
    assert_eq!(group.watching(), [1]);
    assert!(group.start_count <= 3, "{}", group.start_count);
}

/// A watcher that shuts down as planned must hand over at once.
#[test]
fn a_watcher_that_leaves_is_replaced_at_once() {
    let mut group = Group::new(9);
    group.run(Duration::from_secs(3));
    let now = group.now;
    group.watcher_roles[0].leave(now);
    group.run(ms(400));
    assert_eq!(group.watching(), [1]);
}

/// The store is down for every instance. The instances must try one after the other and not all at once, and when the
/// store is back, one watcher must be enough again.
#[test]
fn a_store_outage_does_not_cause_many_watchers() {
    let mut group = Group::new(88);
    group.run(Duration::from_secs(3));
    group.store_answers = vec![false; 88];
    group.run(Duration::from_secs(5));
    assert!(group.watching().len() < 40, "{}", group.watching().len());
    group.store_answers = vec![true; 88];
    group.run(Duration::from_secs(2));
    assert_eq!(group.watching().len(), 1);
}

/// Many instances start at once. One without state receives a watcher's announcement and asks it for a handover. Until
/// the answer arrives it must not begin to watch again and again, as each time is a call that is counted.
#[test]
fn an_instance_that_can_ask_a_watcher_does_not_call_the_store() {
    let mut watcher_role = WatcherRole::new(Timestamp::ZERO);
    assert!(watcher_role.should_read());
    watcher_role.start(ms(20));
    assert!(!watcher_role.should_read());
    let announcement = Announcement { revision: 5, age: ms(1), leaving: false };
    assert_eq!(watcher_role.receive(ms(30), 7, &announcement, true), Some(RoleChange::Stop));
    assert!(!watcher_role.should_read());
    assert_eq!(watcher_role.tick(ms(500), 0), None);
    assert_eq!(watcher_role.tick(ms(1_100), 0), Some(RoleChange::Start));
}

/// An instance with its store revision and the addresses that it pulled from.
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

/// Runs three instances until `end`. The first watches the store, and its datagrams to the last one are lost.
fn run_peers(peers: &mut [Peer; 3], now: &mut Timestamp, end: Timestamp) {
    while *now < end {
        *now += STEP_DURATION;
        peers[0].fleet.watcher_role_mut().record_store_answer(*now);
        let mut pending_effects: Vec<(usize, FleetEffect)> = Vec::new();
        for (index, peer) in peers.iter_mut().enumerate() {
            let revision = peer.revision;
            pending_effects.extend(peer.fleet.tick(*now, revision).into_iter().map(|effect| (index, effect)));
        }
        while let Some((from, effect)) = pending_effects.pop() {
            match effect {
                FleetEffect::Send(to, frame) => {
                    for index in (0..3).filter(|index| to.contains(&peer_address(*index)) && *index != from) {
                        if (from, index) == (0, 2) {
                            continue;
                        }
                        let revision = peers[index].revision;
                        let effects = peers[index].fleet.handle_datagram(*now, frame.clone(), revision);
                        pending_effects.extend(effects.into_iter().map(|effect| (index, effect)));
                    }
                }
                FleetEffect::Pull(address) => peers[from].pulled_from.push(address),
                _ => {}
            }
        }
    }
}

/// The watcher declares another instance dead, since datagrams between them are lost, and sends it nothing. A store
/// update reports that a target leaves. The instance that is left out must fetch the update from a third one, or it
/// would go on placing new flows on a target that is about to end: by its rank it may take over the watch only after
/// many seconds.
#[test]
fn an_instance_that_the_watcher_does_not_reach_pulls_from_another() {
    let mut peers = [peer(0), peer(1), peer(2)];
    let mut now = Timestamp::ZERO;
    peers[0].fleet.watcher_role_mut().start(now);
    run_peers(&mut peers, &mut now, Duration::from_secs(3));
    assert_eq!(peers[2].pulled_from, []);
    peers[0].revision = 7;
    peers[1].revision = 7;
    run_peers(&mut peers, &mut now, Duration::from_secs(4));
    assert_eq!(peers[2].pulled_from.first(), Some(&peer_address(1)));
}
