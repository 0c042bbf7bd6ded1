//! Detects that the directory of this instance is behind those of its peers.
//!
//! The expected load: uploads fill the link of an instance for seconds. Announcements and heartbeats arrive and state a
//! higher revision, whereas pushed changes and the answers to pulls do not. The instance would go on placing flows on
//! targets that have been draining for longer than the bound. It therefore records since when it has known of a
//! revision that it does not have, and places no new flow once that is too long ago.
//!
//! If the whole fleet is behind, because the store or the watcher is slow, no instance can do better and all go on as
//! usual. Instances report in heartbeats and relayed updates up to which revision they are complete. This instance
//! counts as behind only while most of those that have reported recently have the missing revision.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;
use crate::backoff;
use crate::direct::store::watch::ANNOUNCE_PERIOD;
use crate::maps::FixedHashMap;
use hawthornshift_model::InstanceId;
use hawthornshift_model::Revision;

/// Drain bound if the deployment states none: the shortest of any deployment.
pub const DEFAULT_DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Part of the drain bound for what is not observed here: the watcher learns of the change and two announcements may be
/// lost before this instance hears of it (0.6 s), and a SYN waits in a full link and for a timer (0.6 s).
const UNOBSERVED_DELAY: Duration = Duration::from_millis(1_200);
/// Time for which a peer's report of its revision counts: long enough for a sample of a large fleet. Reports from before
/// a partition must not count for long after it.
const REPORT_VALIDITY: Duration = Duration::from_secs(3);
/// Resolution of the times at which revisions became known. Revisions that become known within it share an entry.
const RESOLUTION: Duration = Duration::from_millis(100);
/// Maximum number of missing revisions whose times are kept: 6.4 s of continuous changes, beyond any drain bound.
const MAX_MISSING: usize = 64;
/// Number of pulls without success that follow each other at the usual pace. Most losses end with one of them.
const USUAL_PULLS: u32 = 3;
/// Interval between the first two pulls after those. It doubles up to [`MAX_PULL_INTERVAL`], since pulls load the link
/// that may be the cause.
const PULL_INTERVAL: Duration = Duration::from_millis(400);
/// Longest interval between two pulls.
const MAX_PULL_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of pulls in progress.
const MAX_CONCURRENT_PULLS: usize = 2;
/// Time after which a pull that has not ended is hedged: another source is asked beside it. A source that freezes or dies
/// leaves it without an answer until it times out.
const PULL_HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of sources whose requests are counted.
const MAX_SOURCES: usize = 16;
/// Time for which most peers must have had a revision that this instance lacks. It exceeds [`MAX_PULL_INTERVAL`]: when a
/// whole fleet catches up, the last instances get the revision by their next pull and must not stop placing before it.
const PEERS_AHEAD_MIN_TIME: Duration = Duration::from_secs(1);

/// A revision that this instance does not have although most of its peers do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingRevision {
    /// The lowest revision known to be missing.
    pub revision: Revision,
    /// When this instance first heard of it.
    pub known_since: Timestamp,
    /// Number of peers that have it, of those that have reported recently.
    pub peers_ahead: usize,
    /// Number of peers that have reported recently and since this instance heard of it.
    pub peers_heard: usize,
}

/// A peer's report of the revision up to which it is complete.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    address: SocketAddr,
    revision: Revision,
    received_at: Timestamp,
}

/// A peer that was asked for the missing revisions.
#[derive(Clone, Copy, Debug)]
struct Source {
    address: SocketAddr,
    /// Number of pulls from it since a missing revision was last received.
    pulls: u32,
    last_pull: Timestamp,
}

/// What this instance knows of revisions that it does not have.
#[derive(Clone, Debug, Default)]
pub struct DirectoryLag {
    /// Position at which the search for a source among equal ones begins, so that not all instances ask the same.
    first_source: usize,
    /// Missing revisions in ascending order, each with the time at which it became known.
    missing: VecDeque<(Revision, Timestamp)>,
    /// Latest report of each peer.
    reports: FixedHashMap<InstanceId, PeerReport>,
    /// Since when most peers have had the lowest missing revision.
    peers_ahead_since: Option<Timestamp>,
    /// Number of pulls since a missing revision was last received.
    pulls: u32,
    next_pull: Timestamp,
    /// Peers that were asked since a missing revision was last received.
    sources: Vec<Source>,
    /// Pulls in progress, each with its source and its start.
    in_progress: Vec<(SocketAddr, Timestamp)>,
}

impl DirectoryLag {
    /// Creates the state of an instance that is complete. `first_source` should differ between instances.
    #[must_use]
    pub fn new(first_source: usize) -> Self {
        Self { first_source, ..Self::default() }
    }

    /// Records that a revision exists in the store; this instance is complete up to `revision`.
    pub fn heard_of(&mut self, now: Timestamp, announced: Revision, revision: Revision) {
        self.caught_up(revision);
        if announced <= self.missing.back().map_or(revision, |(newest, _)| *newest) {
            return;
        }
        let full = self.missing.len() >= MAX_MISSING;
        match self.missing.back_mut() {
            Some((newest, at)) if full || now.saturating_sub(*at) < RESOLUTION => *newest = announced,
            _ => self.missing.push_back((announced, now)),
        }
    }

    /// Records a peer's report of the revision up to which it is complete.
    pub fn record_report(&mut self, now: Timestamp, peer: InstanceId, address: SocketAddr, revision: Revision) {
        self.reports.insert(peer, PeerReport { address, revision, received_at: now });
    }

    /// Reviews the state periodically: this instance is complete up to `revision` and knows `peers` serving peers.
    pub fn review(&mut self, now: Timestamp, revision: Revision, peers: usize) {
        self.caught_up(revision);
        self.reports.retain(|_, report| now.saturating_sub(report.received_at) < REPORT_VALIDITY);
        let most = self.missing.front().is_some_and(|(missing, known_since)| {
            let (ahead, heard) = self.count_reports(*missing, *known_since);
            // The reports are a sample, so a smaller fraction suffices for what has been found before.
            let parts = if self.peers_ahead_since.is_some() { 3 } else { 2 };
            // A single peer may be the watcher whose changes reach no other instance.
            ahead * parts > heard && ahead >= peers.clamp(1, 2)
        });
        self.peers_ahead_since = most.then(|| self.peers_ahead_since.unwrap_or(now));
    }

    /// Returns how many peers have a revision, and how many have reported since it became known. Earlier reports say
    /// nothing about it.
    fn count_reports(&self, revision: Revision, known_since: Timestamp) -> (usize, usize) {
        let since = self.reports.values().filter(|report| report.received_at >= known_since);
        since.fold((0, 0), |(ahead, heard), report| (ahead + usize::from(report.revision >= revision), heard + 1))
    }

    /// Records that this instance is complete up to a revision.
    pub fn caught_up(&mut self, revision: Revision) {
        while self.missing.front().is_some_and(|(missing, _)| *missing <= revision) {
            self.missing.pop_front();
            self.pulls = 0;
            self.sources.clear();
        }
    }

    /// Returns for how long this instance has known of a revision that it does not have, whether its peers have it or
    /// not.
    #[must_use]
    pub fn behind_for(&self, now: Timestamp) -> Duration {
        self.missing.front().map_or(Duration::ZERO, |(_, known_since)| now.saturating_sub(*known_since))
    }

    /// Returns the lowest missing revision if most peers have had it for a while, as of the last review.
    #[must_use]
    pub fn missing_here(&self, now: Timestamp) -> Option<MissingRevision> {
        let (revision, known_since) = *self.missing.front()?;
        let peers_ahead_for = now.saturating_sub(self.peers_ahead_since?);
        let (peers_ahead, peers_heard) = self.count_reports(revision, known_since);
        let missing = MissingRevision { revision, known_since, peers_ahead, peers_heard };
        (peers_ahead_for >= PEERS_AHEAD_MIN_TIME).then_some(missing)
    }

    /// Returns the peer to pull from, or `None` if the next pull is not due yet.
    ///
    /// An announcer is asked first if it has not been asked yet, and otherwise the peer that has the newest known revision
    /// and has been asked least. A peer that does not answer must not be asked again before the others. Pulls without
    /// success become rarer, but for the first one from a peer that is known to have the newest revision.
    pub fn take_pull(&mut self, now: Timestamp, announcer: SocketAddr) -> Option<SocketAddr> {
        if !self.may_pull(now) {
            return None;
        }
        let source = self.next_source(announcer)?;
        let is_paced = self.pulls >= USUAL_PULLS && now < self.next_pull;
        if is_paced && !self.is_untried_and_complete(source) {
            return None;
        }
        self.count_pull(now, source);
        self.pulls = self.pulls.saturating_add(1);
        let doublings = self.pulls.saturating_sub(USUAL_PULLS);
        self.next_pull = now + backoff::exponential_backoff(PULL_INTERVAL, doublings, MAX_PULL_INTERVAL);
        Some(source)
    }

    /// Records that a pull has started.
    pub fn pull_started(&mut self, now: Timestamp, source: SocketAddr) {
        self.in_progress.push((source, now));
    }

    /// Records that a pull has ended, successfully or not.
    pub fn pull_finished(&mut self, source: SocketAddr) {
        if let Some(index) = self.in_progress.iter().position(|(address, _)| *address == source) {
            self.in_progress.remove(index);
        }
    }

    /// Returns whether another pull may start beside those in progress.
    fn may_pull(&self, now: Timestamp) -> bool {
        let is_overdue = |(_, started): &(_, Timestamp)| now.saturating_sub(*started) >= PULL_HEDGE_DELAY;
        self.in_progress.len() < MAX_CONCURRENT_PULLS && self.in_progress.iter().all(is_overdue)
    }

    /// Returns the peers that have reported the newest known revision.
    fn complete_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let newest = self.missing.back().map_or(0, |(newest, _)| *newest);
        self.reports.values().filter(move |report| report.revision >= newest).map(|report| report.address)
    }

    fn is_untried_and_complete(&self, source: SocketAddr) -> bool {
        self.sources.iter().all(|tried| tried.address != source) && self.complete_peers().any(|peer| peer == source)
    }

    fn next_source(&self, announcer: SocketAddr) -> Option<SocketAddr> {
        let mut others: Vec<SocketAddr> = self.complete_peers().filter(|address| *address != announcer).collect();
        others.sort_unstable();
        let first = self.first_source % others.len().max(1);
        others.rotate_left(first);
        let asked = |address: SocketAddr| self.sources.iter().find(|source| source.address == address);
        let rank = |address: &SocketAddr| {
            let (pulls, last_pull) =
                asked(*address).map_or((0, Timestamp::ZERO), |source| (source.pulls, source.last_pull));
            // All instances know the announcer, so the others come before it once it has been asked.
            let is_asked_announcer = *address == announcer && pulls > 0;
            (pulls + u32::from(is_asked_announcer), last_pull)
        };
        let candidates = std::iter::once(announcer).chain(others);
        let idle = candidates.filter(|address| self.in_progress.iter().all(|(source, _)| source != address));
        idle.min_by_key(rank)
    }

    fn count_pull(&mut self, now: Timestamp, address: SocketAddr) {
        if let Some(source) = self.sources.iter_mut().find(|source| source.address == address) {
            source.pulls += 1;
            source.last_pull = now;
            return;
        }
        if self.sources.len() >= MAX_SOURCES {
            self.sources.remove(0);
        }
        self.sources.push(Source { address, pulls: 1, last_pull: now });
    }
}

/// Decides whether this instance may place new flows, given the revision that it lacks.
#[derive(Clone, Copy, Debug)]
pub struct PlacementGate {
    limit: Duration,
    missing: Option<MissingRevision>,
}

impl Default for PlacementGate {
    fn default() -> Self {
        Self::new(DEFAULT_DRAIN_BOUND)
    }
}

impl PlacementGate {
    /// Creates an open gate. `drain_bound` is the time after which a draining target must not get a new flow.
    #[must_use]
    pub fn new(drain_bound: Duration) -> Self {
        Self { limit: drain_bound.saturating_sub(UNOBSERVED_DELAY), missing: None }
    }

    /// Sets the revision that this instance lacks and most of its peers have.
    pub fn set_missing(&mut self, missing: Option<MissingRevision>) {
        self.missing = missing;
    }

    /// Returns the missing revision if the instance, whose directory is complete up to `revision`, has lacked it for
    /// longer than the limit.
    #[must_use]
    pub fn behind(&self, now: Timestamp, revision: Revision) -> Option<MissingRevision> {
        self.missing
            .filter(|missing| missing.revision > revision && now.saturating_sub(missing.known_since) >= self.limit)
    }
}

const _: () = assert!(UNOBSERVED_DELAY.as_millis() >= 2 * ANNOUNCE_PERIOD.as_millis());
