//! Tracks the open requests of each target and how fast each target answers.
//!
//! An instance observes the start and the end of the flows whose packets pass through it, and receives reports of
//! other flows from the instances in its group that observe those. Targets do not report their load on this path,
//! because they answer callers directly.
//!
//! Most requests are answered before another instance's placement could depend on them, and reporting the start and
//! end of each request takes two thirds of a process's time. So a request is reported only when it is notable: it
//! stays open for longer than usual, as all requests at a slow target do, or it goes to a target whose slots are
//! full.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::segment::FlowHash;
use crate::maps::FixedHashMap;
use hawthornshift_model::TargetId;

/// Time without a report after which a request is considered to have ended.
///
/// The instance that should have reported its end may have been killed, or the caller's packets may now pass through
/// another instance. The instance that observes a flow reports every [`REFRESH_INTERVAL`] that it is still open, so a
/// single lost report has no effect.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two reports of a request that is still open.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Ratio of a request's age to the usual request time from which the request is reported to other instances. About
/// one in twelve requests takes longer than this at a target that is neither slow nor full.
const REPORT_AGE_RATIO: f64 = 1.5;
/// Ratio to the usual request time for which a request without any sign of progress is assumed to be still open by
/// the instance that observes it. The slowest of a thousand requests takes six times the usual time.
const SILENCE_LIMIT_RATIO: f64 = 1.8;
/// Upper bound of the time for which a request without any sign of progress is assumed to be still open.
const MAX_SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Weight of a new sample in the mean request time of a target. About eight samples dominate the mean, which is a
/// third of a second at 25 requests per second.
const TARGET_TIME_WEIGHT: f64 = 0.12;
/// Half-life of a target's slowness while the target gets no requests. It is tried again after that.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Ratio to the usual request time below which a target counts as no slower than others, since single requests vary
/// by as much.
const NOTABLE_SLOWNESS: f64 = 1.8;
/// Upper bound of a target's slowness, so that one long request does not exclude a target for long.
const MAX_SLOWNESS: f64 = 8.0;
/// Weight of a new sample in the usual request time.
const USUAL_TIME_WEIGHT: f64 = 0.01;
/// Usual request time before any request has been answered: about 30 ms of processing plus the network round trip.
const INITIAL_USUAL_TIME: Duration = Duration::from_millis(45);
/// Ratio to the usual request time at which samples of it are capped. The first answers after an outage have waited
/// for seconds and would otherwise distort the usual time.
const USUAL_SAMPLE_CAP_RATIO: f64 = 4.0;

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    target: TargetId,
    since: Timestamp,
    /// When it was last reported or observed to be open.
    last_confirmed: Timestamp,
    /// Whether this instance has reported it to other instances or received a report of it.
    reported: bool,
    /// Whether its packets pass through this instance.
    is_local: bool,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest {
    /// The target of the request.
    pub target: TargetId,
    /// How long the request was open.
    pub took: Duration,
    /// Whether the request has been reported to other instances.
    pub reported: bool,
}

/// Mean request time of a target.
#[derive(Clone, Copy, Debug)]
struct MeanTime {
    seconds: f64,
    updated_at: Timestamp,
}

/// Open requests of all targets.
#[derive(Clone, Debug)]
pub struct OpenRequests {
    flows: FixedHashMap<FlowHash, OpenRequest>,
    /// Number of times that a target had one request fewer than before.
    released: u64,
    counts: FixedHashMap<TargetId, u32>,
    /// The part of `counts` whose packets pass through this instance.
    local_counts: FixedHashMap<TargetId, u32>,
    mean_times: FixedHashMap<TargetId, MeanTime>,
    /// Number of requests answered by each target that were never reported, since the last report about that target.
    unreported: FixedHashMap<TargetId, u16>,
    usual_seconds: f64,
    expiry_queue: VecDeque<(Timestamp, FlowHash)>,
}

/// Decrements the count of a target.
fn decrease(counts: &mut FixedHashMap<TargetId, u32>, target: TargetId) {
    if let Some(count) = counts.get_mut(&target) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&target);
        }
    }
}

impl Default for OpenRequests {
    fn default() -> Self {
        Self {
            flows: FixedHashMap::default(),
            released: 0,
            counts: FixedHashMap::default(),
            local_counts: FixedHashMap::default(),
            mean_times: FixedHashMap::default(),
            unreported: FixedHashMap::default(),
            usual_seconds: INITIAL_USUAL_TIME.as_secs_f64(),
            expiry_queue: VecDeque::new(),
        }
    }
}

impl OpenRequests {
    /// Returns the number of requests that a target is assumed to have open.
    #[must_use]
    pub fn count(&self, target: TargetId) -> u32 {
        self.counts.get(&target).copied().unwrap_or(0)
    }

    /// Returns how many times a target had one request fewer than before, which may have freed a slot.
    #[must_use]
    pub fn released(&self) -> u64 {
        self.released
    }

    /// Returns the number of requests that all targets are assumed to have open.
    #[must_use]
    pub fn total(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether a flow's request is assumed to be open.
    #[must_use]
    pub fn is_open(&self, flow: FlowHash) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Returns whether a flow's request is assumed to be open and its packets pass through this instance.
    #[must_use]
    pub fn is_local(&self, flow: FlowHash) -> bool {
        self.flows.get(&flow).is_some_and(|open| open.is_local)
    }

    /// Returns when a flow's open request started.
    #[must_use]
    pub fn opened_at(&self, flow: FlowHash) -> Option<Timestamp> {
        self.flows.get(&flow).map(|open| open.since)
    }

    /// Returns whether a flow's request has been reported to other instances.
    #[must_use]
    pub fn is_reported(&self, flow: FlowHash) -> bool {
        self.flows.get(&flow).is_some_and(|open| open.reported)
    }

    /// Records that a target has been given a request or still works on it. A flow that was open at another target is
    /// moved.
    pub fn start(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        self.open_since(now, now, flow, target, true);
    }

    /// Records that a request is still open.
    pub fn record_still_open(&mut self, now: Timestamp, flow: FlowHash) {
        if let Some(open) = self.flows.get_mut(&flow) {
            open.last_confirmed = now;
        }
    }

    /// Returns whether any open request's packets pass through this instance.
    #[must_use]
    pub fn has_local(&self) -> bool {
        !self.local_counts.is_empty()
    }

    /// Returns the targets of open requests whose packets pass through this instance, and how many each of them has.
    pub fn local_counts(&self) -> impl Iterator<Item = (TargetId, u32)> {
        self.local_counts.iter().map(|(target, count)| (*target, *count))
    }

    /// Excludes a request from those returned by [`local_counts`](Self::local_counts), because its packets now pass
    /// through another instance.
    fn clear_local(&mut self, flow: FlowHash) {
        if let Some(open) = self.flows.get_mut(&flow).filter(|open| open.is_local) {
            open.is_local = false;
            decrease(&mut self.local_counts, open.target);
        }
    }

    /// Records an open request of the given age that another instance has reported.
    pub fn record_reported(&mut self, now: Timestamp, flow: FlowHash, target: TargetId, age: Duration) {
        self.open_since(now, now.saturating_sub(age), flow, target, false);
        self.mark_reported(flow);
    }

    fn open_since(&mut self, now: Timestamp, since: Timestamp, flow: FlowHash, target: TargetId, is_local: bool) {
        if let Some(open) = self.flows.get_mut(&flow).filter(|open| open.target == target) {
            open.last_confirmed = now;
            if open.is_local && !is_local {
                self.clear_local(flow);
            }
            return;
        }
        if let Some(former) =
            self.flows.insert(flow, OpenRequest { target, since, last_confirmed: now, reported: false, is_local })
        {
            self.decrease_counts(former);
        }
        *self.counts.entry(target).or_insert(0) += 1;
        if is_local {
            *self.local_counts.entry(target).or_insert(0) += 1;
        }
        self.expiry_queue.push_back((now + REPORT_TIMEOUT, flow));
    }

    /// Marks a request as reported to other instances. Returns when it started, or `None` if it is not open.
    pub fn mark_reported(&mut self, flow: FlowHash) -> Option<Timestamp> {
        let open = self.flows.get_mut(&flow)?;
        open.reported = true;
        Some(open.since)
    }

    /// Returns the number of requests that a target has answered since the last call and that were never reported,
    /// and resets that number.
    pub fn take_unreported(&mut self, target: TargetId) -> u16 {
        self.unreported.remove(&target).unwrap_or(0)
    }

    /// Returns for how long a target's request without any sign of progress is assumed to be still open.
    #[must_use]
    pub fn silence_limit(&self, now: Timestamp, target: TargetId) -> Duration {
        Duration::from_secs_f64(self.usual_seconds * SILENCE_LIMIT_RATIO * self.slowness(now, target))
            .min(MAX_SILENCE_LIMIT)
    }

    /// Returns whether a flow's request should be reported to other instances, because it has become notable or
    /// because no report has confirmed it for `REFRESH_INTERVAL`.
    #[must_use]
    pub fn needs_report(&self, now: Timestamp, flow: FlowHash) -> bool {
        let Some(open) = self.flows.get(&flow) else { return false };
        if open.reported {
            return now.saturating_sub(open.last_confirmed) >= REFRESH_INTERVAL;
        }
        now.saturating_sub(open.since).as_secs_f64() >= self.usual_seconds * REPORT_AGE_RATIO
    }

    /// Records the answer to a request whose packets pass through this instance. Returns the request if it was open.
    pub fn finish(&mut self, now: Timestamp, flow: FlowHash) -> Option<EndedRequest> {
        let open = self.remove(flow)?;
        let took = now.saturating_sub(open.since);
        self.record_request_time(now, open.target, took);
        if !open.reported {
            let unreported = self.unreported.entry(open.target).or_insert(0);
            *unreported = unreported.saturating_add(1);
        }
        Some(EndedRequest { target: open.target, took, reported: open.reported })
    }

    /// Updates the request times with a request whose packets pass through this instance. This includes requests that
    /// were no longer assumed to be open, since the longest ones would otherwise be left out.
    pub fn record_request_time(&mut self, now: Timestamp, target: TargetId, took: Duration) {
        let capped = took.as_secs_f64().min(self.usual_seconds * USUAL_SAMPLE_CAP_RATIO);
        self.usual_seconds += (capped - self.usual_seconds) * USUAL_TIME_WEIGHT;
        self.add_sample(now, target, took);
    }

    /// Records the end of a request that another instance has reported, and the number of its target's requests that
    /// ended before and were never reported.
    ///
    /// Only notable requests are reported, which are the slow ones. They therefore do not change the usual request
    /// time, and the unreported requests count as requests of the usual time at their target.
    pub fn record_reported_end(&mut self, now: Timestamp, flow: FlowHash, unreported: u16) -> Option<EndedRequest> {
        let open = self.remove(flow)?;
        let took = now.saturating_sub(open.since);
        let usual = self.usual_seconds;
        if let Some(mean) = self.mean_times.get_mut(&open.target) {
            let decay = (1.0 - TARGET_TIME_WEIGHT).powi(i32::from(unreported));
            mean.seconds = usual + (mean.seconds - usual) * decay;
        }
        self.add_sample(now, open.target, took);
        Some(EndedRequest { target: open.target, took, reported: true })
    }

    /// Records that a request has ended without an answer, which does not change the mean request time of its target.
    ///
    /// Returns whether the request has been reported to other instances, or `None` if it was not open.
    pub fn abandon(&mut self, flow: FlowHash) -> Option<bool> {
        self.remove(flow).map(|open| open.reported)
    }

    fn remove(&mut self, flow: FlowHash) -> Option<OpenRequest> {
        let open = self.flows.remove(&flow)?;
        self.decrease_counts(open);
        Some(open)
    }

    fn decrease_counts(&mut self, open: OpenRequest) {
        self.released += 1;
        decrease(&mut self.counts, open.target);
        if open.is_local {
            decrease(&mut self.local_counts, open.target);
        }
    }

    fn add_sample(&mut self, now: Timestamp, target: TargetId, took: Duration) {
        let took = took.as_secs_f64();
        let start = MeanTime { seconds: self.usual_seconds, updated_at: now };
        let mean = self.mean_times.entry(target).or_insert(start);
        mean.seconds += (took - mean.seconds) * TARGET_TIME_WEIGHT;
        mean.updated_at = now;
    }

    /// Returns the usual request time.
    #[must_use]
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual_seconds)
    }

    /// Returns the ratio of a target's mean request time to the usual one, or 1.0 if the target is not notably slow.
    #[must_use]
    pub fn slowness(&self, now: Timestamp, target: TargetId) -> f64 {
        let Some(mean) = self.mean_times.get(&target) else { return 1.0 };
        let idle = now.saturating_sub(mean.updated_at).as_secs_f64();
        let decay = 0.5_f64.powf(idle / SLOWNESS_HALF_LIFE.as_secs_f64());
        let ratio = 1.0 + (mean.seconds / self.usual_seconds - 1.0) * decay;
        if ratio < NOTABLE_SLOWNESS { 1.0 } else { ratio.min(MAX_SLOWNESS) }
    }

    /// Returns whether a target was notably slow when it was last used, even if its slowness has decayed since.
    ///
    /// The slowness decays at about the same rate at all instances. Unless the first instance that tries the target
    /// again reports this at once, each of them gives it a request, and each of these requests is late.
    #[must_use]
    pub fn has_been_slow(&self, target: TargetId) -> bool {
        self.mean_times.get(&target).is_some_and(|mean| mean.seconds >= self.usual_seconds * NOTABLE_SLOWNESS)
    }

    /// Removes the requests that have not been reported or observed for `REPORT_TIMEOUT`.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((_, flow)) = self.expiry_queue.pop_front_if(|(due, _)| *due <= now) {
            let Some(open) = self.flows.get(&flow).copied() else { continue };
            let due = open.last_confirmed + REPORT_TIMEOUT;
            if due <= now {
                self.remove(flow);
            } else {
                self.expiry_queue.push_back((due, flow));
            }
        }
    }

    /// Returns the open requests and their ages, for an instance that has just started.
    pub fn open(&self, now: Timestamp) -> impl Iterator<Item = (FlowHash, TargetId, Duration)> {
        self.flows.iter().map(move |(flow, open)| (*flow, open.target, now.saturating_sub(open.since)))
    }
}
