//! Bootstrap of an instance: it fetches its initial state from a peer or from the store.
//!
//! The schedule limits the load when all instances of a large fleet restart at once after a power loss. If 296
//! instances read 3,000 entries from the store together, they saturate the store's link for two seconds. If they all
//! pull from the first instance that announces itself, they saturate that instance's link for longer. Therefore few
//! instances read the store, in turns by rank, and those on slow links after those on fast links. The others ask
//! peers that are known to be up to date, and each of those transfers its state to a few peers at a time.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::Timestamp;
use crate::direct::watch::WatcherRole;

/// Time after which an instance that has received no state transfer reads the store itself. A peer's answer takes 2
/// ms to 10 ms. After a power loss no peer has the state, and nothing is served while the instance waits.
const READ_DELAY: Duration = Duration::from_millis(15);
/// [`READ_DELAY`] for the first start of the whole fleet, which precedes its callers by seconds. By then its
/// instances know each other, so that one of them reads the store and the others receive the state from it.
const FIRST_START_READ_DELAY: Duration = Duration::from_secs(1);
/// Interval between two requests to peers.
const ASK_PERIOD: Duration = Duration::from_millis(60);
/// Time after the read delay from which any peer is asked, even one that has not announced that it is up to date.
const ASK_ANY_PEER_DELAY: Duration = Duration::from_millis(300);
/// Interval between two attempts to select a peer while there is none to ask.
const PEER_POLL_PERIOD: Duration = Duration::from_millis(10);
/// Minimum delay before the next request after a peer has refused one because it is busy, which it reports at once.
/// The delay is randomized up to twice this value, so that instances that were refused together do not retry
/// together.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(8);
/// Additional time after which an instance reads the store although another one watches it, since its requests to
/// peers have failed.
const READ_FALLBACK_DELAY: Duration = Duration::from_secs(2);
/// Number of instances, of those that know each other, that read the store in the same turn.
const MAX_CONCURRENT_READERS: u32 = 4;
/// Interval between two turns. 3,000 entries take 50 ms over a link of 200 Mbit/s and 1 s over a link of 10 Mbit/s.
/// Until the first instances have them, one more group of readers in each turn keeps the store's link below a tenth
/// of its capacity.
const TURN_PERIOD: Duration = Duration::from_millis(250);
/// Maximum delay of an instance's turn. By then the earlier readers should have transferred the state to it, or are
/// unable to.
const MAX_TURN_DELAY: Duration = Duration::from_secs(2);
/// Bandwidth in Mbit/s below which a link is slow. The fast instances of a mixed fleet have 200 Mbit/s or more.
const SLOW_LINK_MBPS: f64 = 50.0;
/// Additional delay of an instance on a slow link, in favor of those on faster links.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(120);

/// Schedule of an instance's requests to peers and reads of the store until it has the complete state.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap {
    read_after: Timestamp,
    /// Number of instances that read the store in the same turn.
    concurrent_readers: u32,
    ask_any_peer_after: Timestamp,
    slow_link: bool,
    next_ask: Timestamp,
}

impl Bootstrap {
    /// Starts the schedule at time zero. `link_mbps` is the bandwidth of this instance's link in Mbit/s; `jitter`,
    /// between zero and one, spreads instances that start together.
    #[must_use]
    pub fn new(first_start: bool, link_mbps: f64, jitter: f64) -> Self {
        let (read_after, concurrent_readers) =
            if first_start { (FIRST_START_READ_DELAY, 1) } else { (READ_DELAY, MAX_CONCURRENT_READERS) };
        Self {
            read_after: read_after + READ_DELAY.mul_f64(jitter),
            concurrent_readers,
            ask_any_peer_after: read_after + ASK_ANY_PEER_DELAY,
            slow_link: link_mbps < SLOW_LINK_MBPS,
            next_ask: Timestamp::ZERO,
        }
    }

    /// Returns the time at which the next peer is to be asked, or, with `may_read`, the store may have to be read,
    /// whichever is earlier. The read time is that of an instance in the first turn.
    #[must_use]
    pub fn next_due(&self, may_read: bool) -> Timestamp {
        if may_read { self.next_ask.min(self.read_after) } else { self.next_ask }
    }

    /// Makes the next request due now, since an up-to-date peer has become known.
    pub fn ask_now(&mut self, now: Timestamp) {
        self.next_ask = self.next_ask.min(now);
    }

    /// Handles the refusal of a peer that is busy with other state transfers; `jitter` lies between zero and one.
    pub fn handle_refusal(&mut self, now: Timestamp, jitter: f64) {
        self.next_ask = now + REFUSAL_RETRY_DELAY.mul_f64(1.0 + jitter);
    }

    /// Returns whether a request to a peer is due.
    #[must_use]
    pub fn is_ask_due(&self, now: Timestamp) -> bool {
        now >= self.next_ask
    }

    /// Returns whether the instance that reads first would read the store now.
    #[must_use]
    pub fn may_read_store(&self, now: Timestamp) -> bool {
        now >= self.read_after
    }

    /// Returns the peer to ask now, if a request is due: a random one of `up_to_date`, or else, once any peer may
    /// be asked, a random one of `others`.
    pub fn ask(
        &mut self,
        now: Timestamp,
        up_to_date: &[SocketAddr],
        others: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        if !self.is_ask_due(now) {
            return None;
        }
        let fallback_peers = if now < self.ask_any_peer_after { &[] } else { others };
        let peer = up_to_date.choose(rng).or_else(|| fallback_peers.choose(rng)).copied();
        self.next_ask = now + if peer.is_some() { ASK_PERIOD } else { PEER_POLL_PERIOD };
        peer
    }

    /// Returns whether to read the store now. `rank` is the number of known instances that read before this one.
    pub fn should_read_store(&mut self, now: Timestamp, rank: u32, role: &WatcherRole) -> bool {
        let turn_delay = (TURN_PERIOD * (rank / self.concurrent_readers)).min(MAX_TURN_DELAY);
        let slow_link_delay = if rank > 0 && self.slow_link { SLOW_LINK_DELAY } else { Duration::ZERO };
        let due = self.read_after + turn_delay + slow_link_delay;
        let overdue = now >= due + READ_FALLBACK_DELAY && !role.is_watching();
        let reads = overdue || (now >= due && role.should_read());
        if reads {
            self.read_after = now;
        }
        reads
    }
}
