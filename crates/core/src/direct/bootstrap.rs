//! How an instance that has just started learns what it needs: from a peer, or from the store.
//!
//! The load that this answers: all instances of a large fleet lose power and come back at once. Read by 296 of them
//! together, 3,000 entries fill the store's link for two seconds; pulled by them from the one instance that has announced
//! itself, they fill its link for longer. So few read the store, in turns by rank, and those on slow links after those on
//! fast ones; the others ask whoever is known to have everything, and each of these hands it to a few at a time.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::Timestamp;
use crate::direct::watch::WatcherRole;

/// Time after which an instance that no peer has told everything reads the store itself. A peer's answer takes 2 ms
/// to 10 ms; after a power loss nobody has one, and every millisecond more is one in which nothing is served.
const READ_AFTER: Duration = Duration::from_millis(15);
/// The same when the whole fleet starts for the first time, seconds before its callers. By then its instances know each other,
/// so that one of them reads the store and the others are told.
const READ_AFTER_FIRST_START: Duration = Duration::from_secs(1);
/// Time between two questions to peers.
const ASK_PERIOD: Duration = Duration::from_millis(60);
/// Time after the store may be read from which on peers are asked that have not said that they know anything.
const ASK_ANYBODY_AFTER: Duration = Duration::from_millis(300);
/// Time between two looks for a peer while none is known.
const LOOK_PERIOD: Duration = Duration::from_millis(10);
/// Time after which another peer is asked when one is busy with others, which it says at once; drawn up to twice this, so that
/// those who were refused together do not come back together.
const ASK_AFTER_REFUSAL: Duration = Duration::from_millis(8);
/// Time after which such an instance reads the store although another one watches it: its pulls have failed.
const ASK_NO_LONGER: Duration = Duration::from_secs(2);
/// Instances that read the store at the same time, of those that know of each other.
const READERS: u32 = 4;
/// Time between the turns of two such groups. 3,000 entries take 50 ms over a link of 200 Mbit/s and 1 s over one of 10;
/// until the first have them, one more group in each turn keeps the store's link below a tenth of what it carries.
const TURN: Duration = Duration::from_millis(250);
/// Longest time that an instance leaves to others: by then they should have told it, or cannot.
const LAST_TURN: Duration = Duration::from_secs(2);
/// Bandwidth in Mbit/s below which a link is slow: the fast instances of a mixed fleet have 200 and more.
const SLOW_LINK: f64 = 50.0;
/// Time that an instance on a slow link leaves to those on faster ones.
const SLOW_LINK_WAIT: Duration = Duration::from_millis(120);

/// An instance's attempts to learn everything.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap {
    read_after: Timestamp,
    /// Instances that read the store at the same time.
    readers: u32,
    ask_anybody_after: Timestamp,
    slow_link: bool,
    next_ask: Timestamp,
}

impl Bootstrap {
    /// Begins at time zero; `draw` between zero and one spreads those that start together.
    #[must_use]
    pub fn new(first_start: bool, link_mbps: f64, draw: f64) -> Self {
        let (read_after, readers) = if first_start { (READ_AFTER_FIRST_START, 1) } else { (READ_AFTER, READERS) };
        Self {
            read_after: read_after + READ_AFTER.mul_f64(draw),
            readers,
            ask_anybody_after: read_after + ASK_ANYBODY_AFTER,
            slow_link: link_mbps < SLOW_LINK,
            next_ask: Timestamp::ZERO,
        }
    }

    /// Returns when the next peer is to be asked, or the store may have to be read by an instance that goes first.
    #[must_use]
    pub fn next_due(&self, may_read: bool) -> Timestamp {
        if may_read { self.next_ask.min(self.read_after) } else { self.next_ask }
    }

    /// Notes that somebody is known to have everything: there is no need to wait for the next question.
    pub fn ask_now(&mut self, now: Timestamp) {
        self.next_ask = self.next_ask.min(now);
    }

    /// Notes that a peer is busy handing over to others; `draw` lies between zero and one.
    pub fn handle_refusal(&mut self, now: Timestamp, draw: f64) {
        self.next_ask = now + ASK_AFTER_REFUSAL.mul_f64(1.0 + draw);
    }

    /// Returns whom to ask now: one of those known to have everything, or else any.
    pub fn ask(
        &mut self,
        now: Timestamp,
        informed: &[SocketAddr],
        others: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if now < self.next_ask {
            return None;
        }
        let anybody = if now < self.ask_anybody_after { &[] } else { others };
        let peer = informed.choose(rng).or_else(|| anybody.choose(rng)).copied();
        self.next_ask = now + if peer.is_some() { ASK_PERIOD } else { LOOK_PERIOD };
        peer
    }

    /// Tells whether to read the store now; `rank` counts the known instances that go before this one.
    pub fn should_read_store(&mut self, now: Timestamp, rank: u32, duty: &WatcherRole) -> bool {
        let turn = (TURN * (rank / self.readers)).min(LAST_TURN);
        let slow_link_wait = if rank > 0 && self.slow_link { SLOW_LINK_WAIT } else { Duration::ZERO };
        let due = self.read_after + turn + slow_link_wait;
        let overdue = now >= due + ASK_NO_LONGER && !duty.is_watching();
        let reads = overdue || (now >= due && duty.should_read());
        if reads {
            self.read_after = now;
        }
        reads
    }
}
