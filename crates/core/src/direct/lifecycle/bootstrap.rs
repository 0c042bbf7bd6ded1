//! Bootstrap of an instance: it fetches its initial state from a peer or from the store.
//!
//! The schedule limits the load when all instances of a large fleet restart at once after a power loss, whatever their
//! number. If dozens of instances read thousands of entries from the store together, they share its link and none is done
//! for a second. If all pull from the first instance that has the state, that one answers nobody.
//!
//! Therefore few instances read the store, in turns by rank, and those on slow links after those on fast links. In the
//! first moments an instance knows too few others to tell its rank, so it estimates it from the number of instances that
//! the seeds report, since all starting instances contact these first. The others wait for an invitation: an instance that
//! has the state sends it to as many peers as it serves at a time, which then invite others, so the number of sources grows
//! by a factor with each round. An announcement, which reaches all instances at once, only makes them ask its sender after
//! a delay that grows with the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::Timestamp;
use crate::direct::store::watch::WatcherRole;

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
/// Interval between two requests to peers that may not be up to date, for each known instance, so that a starting fleet of
/// any size sends one such request in this time.
const ASK_ANY_PERIOD_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Maximum delay of the request to the sender of an announcement, for each known instance, so that the sender receives one
/// request in this time, however many instances the announcement has reached.
const ANNOUNCED_DELAY_PER_INSTANCE: Duration = Duration::from_millis(2);
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
/// Interval between two turns of instances on fast links that do not know all others yet. Few links may be fast, so the
/// first of them may have a high rank; one that reads is done before three more turns have begun.
const FAST_LINK_TURN_PERIOD: Duration = Duration::from_millis(40);
/// Maximum delay of an instance's turn. By then the earlier readers should have transferred the state to it, or are
/// unable to.
const MAX_TURN_DELAY: Duration = Duration::from_secs(2);
/// Bandwidth in Mbit/s below which a link is slow. The fast instances of a mixed fleet have 200 Mbit/s or more.
const SLOW_LINK_MBPS: f64 = 50.0;
/// Additional delay while no seed has responded. When all instances lose power, the seeds start some time after the first
/// of the others, which would all read the store if they took themselves for alone.
const SEED_WAIT: Duration = Duration::from_millis(100);
/// Additional delay of an instance on a slow link, in favor of those on faster links.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(120);
/// The same delay for each instance that peers report, while an instance does not know all of them yet. The larger the fleet, the longer
/// its state takes over a slow link, and the sooner handovers that follow a read over a fast one are done.
const SLOW_LINK_DELAY_PER_INSTANCE: Duration = Duration::from_millis(1);

/// What an instance knows of the others that may read the store.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// Number of known live instances that precede this one in the ranking for the watcher role.
    pub rank: u32,
    /// Position of this instance in the ranking for the watcher role among all possible ids, from 0.0, first, to 1.0.
    pub position: f64,
    /// Number of known live instances, including this one.
    pub known: u32,
    /// Largest number of live instances that a peer has reported.
    pub reported: u32,
    /// Whether there are seeds and none of them, nor any other peer, has responded yet.
    pub awaits_seeds: bool,
}

impl Discovery {
    /// Returns whether this instance knows all others as far as its peers report.
    fn is_complete(&self) -> bool {
        self.known >= self.reported
    }

    /// Returns the rank that this instance probably has.
    fn probable_rank(&self) -> u32 {
        if self.is_complete() {
            return self.rank;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between zero and the fleet's size"
        )]
        let rank = (self.position * f64::from(self.reported)) as u32;
        rank.max(self.rank)
    }
}

/// Peers that an instance may ask for its state.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sources<'a> {
    /// Peers whose heartbeats to this instance state that they are up to date.
    pub up_to_date: &'a [SocketAddr],
    /// The latest sender of an announcement to all instances.
    pub announced: Option<SocketAddr>,
    /// All known peers.
    pub others: &'a [SocketAddr],
}

/// Schedule of an instance's requests to peers and reads of the store until it has the complete state.
#[derive(Clone, Copy, Debug)]
pub struct Bootstrap {
    read_after: Timestamp,
    /// Number of instances that read the store in the same turn.
    concurrent_readers: u32,
    ask_any_peer_after: Timestamp,
    slow_link: bool,
    next_ask: Timestamp,
    /// When the sender of an announcement is to be asked; `None` before the first announcement.
    ask_announced_at: Option<Timestamp>,
    /// Fixed random number between zero and one that spreads instances which start together.
    jitter: f64,
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
            ask_announced_at: None,
            jitter,
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

    /// Returns the peer to ask now, if a request is due: a random one of those that are up to date, the sender of an
    /// announcement once its delay is over, or, once any peer may be asked, a random one of the others.
    pub fn ask(&mut self, now: Timestamp, sources: &Sources<'_>, rng: &mut impl Rng) -> Option<SocketAddr> {
        if !self.is_ask_due(now) {
            return None;
        }
        let known = u32::try_from(sources.others.len()).unwrap_or(u32::MAX);
        let mut peer = sources.up_to_date.choose(rng).copied();
        if let Some(announced) = sources.announced.filter(|_| peer.is_none()) {
            let delay = (ANNOUNCED_DELAY_PER_INSTANCE * known).mul_f64(self.jitter);
            if now >= *self.ask_announced_at.get_or_insert(now + delay) {
                peer = Some(announced);
            }
        }
        let spread = (ASK_ANY_PERIOD_PER_INSTANCE * known).mul_f64(self.jitter);
        if peer.is_none() && now >= self.ask_any_peer_after + spread {
            peer = sources.others.choose(rng).copied();
            self.ask_any_peer_after = now + ASK_PERIOD.max(ASK_ANY_PERIOD_PER_INSTANCE * known);
        }
        self.next_ask = now + if peer.is_some() { ASK_PERIOD } else { PEER_POLL_PERIOD };
        peer
    }

    /// Returns whether to read the store now.
    pub fn should_read_store(&mut self, now: Timestamp, discovery: &Discovery, role: &WatcherRole) -> bool {
        let rank = discovery.probable_rank();
        let is_fast_among_unknown = !self.slow_link && !discovery.is_complete();
        let turn_period = if is_fast_among_unknown { FAST_LINK_TURN_PERIOD } else { TURN_PERIOD };
        let turn_delay = (turn_period * (rank / self.concurrent_readers)).min(MAX_TURN_DELAY);
        let slow_link_delay = match (self.slow_link && rank > 0, discovery.is_complete()) {
            (false, _) => Duration::ZERO,
            (true, true) => SLOW_LINK_DELAY,
            (true, false) => SLOW_LINK_DELAY.max(SLOW_LINK_DELAY_PER_INSTANCE * discovery.reported).min(MAX_TURN_DELAY),
        };
        let seed_wait = if discovery.awaits_seeds { SEED_WAIT } else { Duration::ZERO };
        let due = self.read_after + turn_delay + slow_link_delay + seed_wait;
        let overdue = now >= due + READ_FALLBACK_DELAY && !role.is_watching();
        let reads = overdue || (now >= due && role.should_read());
        if reads {
            self.read_after = now;
        }
        reads
    }
}
