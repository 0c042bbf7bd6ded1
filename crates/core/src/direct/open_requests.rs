//! Requests that targets are believed to work on, and how fast each target gets through them.
//!
//! An instance sees the start and the end of the flows whose packets pass through it, and hears of the others in its
//! group from the instances that see those. A target's own word of its load does not exist on this path: it answers
//! callers directly.
//!
//! Most requests are answered before another instance's choice could depend on them, and to report each of them at its
//! start and at its end takes two thirds of a process's time. So a request is reported only when it is notable: it stays
//! open for longer than usual, as all do at a target that is slow, or it goes to a target whose slots are full.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::direct::segment::FlowHash;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Time after which work of which nothing is heard any more counts as ended.
///
/// The instance that would have told its end may have been killed, or its callers' packets go elsewhere now. Whoever
/// follows a flow says every [`REFRESH`] that it is still open, so one lost word does no harm.
const LOST: Duration = Duration::from_millis(500);
/// Time between two words on work that goes on.
const REFRESH: Duration = Duration::from_millis(200);
/// Usual times of a request after which it is reported to the other instances. About one in twelve takes longer at a target
/// that is neither slow nor full.
const NOTABLE_AGE: f64 = 1.5;
/// Usual times of a request for which one that nothing has come of is believed to go on by whoever follows it. The
/// slowest of a thousand requests takes six times the usual.
const SILENCE_LIMIT: f64 = 1.8;
/// Longest of these times.
const LONGEST_SILENCE: Duration = Duration::from_millis(1_500);
/// Weight of one more sample in a target's mean time: about eight samples decide, a third of a second at 25 a second.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Time in which half of what was learned of a target's slowness is forgotten when it gets no work; after that it is
/// tried again.
const FORGET_HALF: Duration = Duration::from_millis(1_500);
/// Ratio to the usual below which a target counts as no slower than others: single requests differ as much.
const NOTABLE: f64 = 1.8;
/// Highest ratio that counts, so that one long request does not shut a target out for long.
const SLOWEST: f64 = 8.0;
/// Weight of one more sample in the usual time.
const USUAL_WEIGHT: f64 = 0.01;
/// Usual time before any request has been answered: work of some 30 ms and the way there and back.
const ASSUMED_REQUEST: Duration = Duration::from_millis(45);
/// Multiple of the usual time above which a sample counts as this multiple. The first answers after an outage waited
/// for seconds, and would else be taken for the usual.
const USUAL_CAP: f64 = 4.0;

/// A piece of work that has not ended.
#[derive(Clone, Copy, Debug)]
struct Open {
    target: TargetId,
    since: Timestamp,
    /// When it was last said to be open.
    heard: Timestamp,
    /// Whether the other instances have been told of it, or have told of it.
    reported: bool,
    /// Whether its packets pass through this instance.
    own: bool,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// Its target.
    pub target: TargetId,
    /// How long it was open.
    pub took: Duration,
    /// Whether the other instances know of it.
    pub reported: bool,
}

/// A target's mean time for a request.
#[derive(Clone, Copy, Debug)]
struct Pace {
    seconds: f64,
    at: Timestamp,
}

/// Open work of all targets.
#[derive(Clone, Debug)]
pub struct OpenRequests {
    flows: Map<FlowHash, Open>,
    counts: Map<TargetId, u32>,
    /// The part of these whose packets pass through this instance.
    own_counts: Map<TargetId, u32>,
    paces: Map<TargetId, Pace>,
    /// Requests that each target has answered since the last report on it and that were never reported.
    unreported: Map<TargetId, u16>,
    usual: f64,
    due: VecDeque<(Timestamp, FlowHash)>,
}

/// Takes one off a target's count.
fn decrease(counts: &mut Map<TargetId, u32>, target: TargetId) {
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
            flows: Map::default(),
            counts: Map::default(),
            own_counts: Map::default(),
            paces: Map::default(),
            unreported: Map::default(),
            usual: ASSUMED_REQUEST.as_secs_f64(),
            due: VecDeque::new(),
        }
    }
}

impl OpenRequests {
    /// Returns how many requests a target is believed to hold.
    #[must_use]
    pub fn count(&self, target: TargetId) -> u32 {
        self.counts.get(&target).copied().unwrap_or(0)
    }

    /// Returns how many requests all targets are believed to hold.
    #[must_use]
    pub fn total(&self) -> usize {
        self.flows.len()
    }

    /// Tells whether a flow's work is believed to be open.
    #[must_use]
    pub fn is_open(&self, flow: FlowHash) -> bool {
        self.flows.contains_key(&flow)
    }

    /// Returns since when a flow's request has been open.
    #[must_use]
    pub fn opened_at(&self, flow: FlowHash) -> Option<Timestamp> {
        self.flows.get(&flow).map(|open| open.since)
    }

    /// Tells whether the other instances know of a flow's request.
    #[must_use]
    pub fn is_reported(&self, flow: FlowHash) -> bool {
        self.flows.get(&flow).is_some_and(|open| open.reported)
    }

    /// Notes that a target has been given a request, or works on it still; a flow that was open at another target moves.
    pub fn start(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        self.open_since(now, now, flow, target, true);
    }

    /// Notes that a request goes on.
    pub fn keep(&mut self, now: Timestamp, flow: FlowHash) {
        if let Some(open) = self.flows.get_mut(&flow) {
            open.heard = now;
        }
    }

    /// Returns the targets of open requests whose packets pass through this instance, and how many each has.
    pub fn own(&self) -> impl Iterator<Item = (TargetId, u32)> {
        self.own_counts.iter().map(|(target, count)| (*target, *count))
    }

    /// Leaves a request out of those returned by [`own`](Self::own): its packets pass through another instance now.
    fn disown(&mut self, flow: FlowHash) {
        if let Some(open) = self.flows.get_mut(&flow).filter(|open| open.own) {
            open.own = false;
            decrease(&mut self.own_counts, open.target);
        }
    }

    /// Notes that another instance has reported an open request of some age.
    pub fn record_reported(&mut self, now: Timestamp, flow: FlowHash, target: TargetId, age: Duration) {
        self.open_since(now, now.saturating_sub(age), flow, target, false);
        self.mark_reported(flow);
    }

    fn open_since(&mut self, now: Timestamp, since: Timestamp, flow: FlowHash, target: TargetId, own: bool) {
        if let Some(open) = self.flows.get_mut(&flow).filter(|open| open.target == target) {
            open.heard = now;
            if open.own && !own {
                self.disown(flow);
            }
            return;
        }
        if let Some(former) = self.flows.insert(flow, Open { target, since, heard: now, reported: false, own }) {
            self.release(former);
        }
        *self.counts.entry(target).or_insert(0) += 1;
        if own {
            *self.own_counts.entry(target).or_insert(0) += 1;
        }
        self.due.push_back((now + LOST, flow));
    }

    /// Notes that the other instances know of a request; returns since when it has been open.
    pub fn mark_reported(&mut self, flow: FlowHash) -> Option<Timestamp> {
        let open = self.flows.get_mut(&flow)?;
        open.reported = true;
        Some(open.since)
    }

    /// Takes the number of requests that a target has answered since the last call and that were never reported.
    pub fn take_unreported(&mut self, target: TargetId) -> u16 {
        self.unreported.remove(&target).unwrap_or(0)
    }

    /// Returns how long a request that a target was given is believed to go on without a sign of it.
    #[must_use]
    pub fn silence_limit(&self, now: Timestamp, target: TargetId) -> Duration {
        Duration::from_secs_f64(self.usual * SILENCE_LIMIT * self.slowness(now, target)).min(LONGEST_SILENCE)
    }

    /// Tells whether the other instances should hear of a flow's request: it has become notable, or nobody has said for a
    /// while that it is still open.
    #[must_use]
    pub fn needs_report(&self, now: Timestamp, flow: FlowHash) -> bool {
        let Some(open) = self.flows.get(&flow) else { return false };
        if open.reported {
            return now.saturating_sub(open.heard) >= REFRESH;
        }
        now.saturating_sub(open.since).as_secs_f64() >= self.usual * NOTABLE_AGE
    }

    /// Notes that a request has been answered whose packets pass through this instance.
    pub fn finish(&mut self, now: Timestamp, flow: FlowHash) -> Option<Ended> {
        let open = self.cancel(flow)?;
        let took = now.saturating_sub(open.since);
        self.learn(now, open.target, took);
        if !open.reported {
            let unreported = self.unreported.entry(open.target).or_insert(0);
            *unreported = unreported.saturating_add(1);
        }
        Some(Ended { target: open.target, took, reported: open.reported })
    }

    /// Learns from the time that a request took whose packets pass through this instance, also when it was no longer
    /// believed to be open: those that take longest would else be left out.
    pub fn learn(&mut self, now: Timestamp, target: TargetId, took: Duration) {
        let capped = took.as_secs_f64().min(self.usual * USUAL_CAP);
        self.usual += (capped - self.usual) * USUAL_WEIGHT;
        self.sample(now, target, took);
    }

    /// Notes that another instance has reported the end of a request, after so many that were never reported.
    ///
    /// Only notable requests are reported, which are the slow ones. So they say nothing of what is usual, and those that
    /// were not reported count as usual ones of their target.
    pub fn record_reported_end(&mut self, now: Timestamp, flow: FlowHash, unreported: u16) -> Option<Ended> {
        let open = self.cancel(flow)?;
        let took = now.saturating_sub(open.since);
        let usual = self.usual;
        if let Some(pace) = self.paces.get_mut(&open.target) {
            let kept = (1.0 - SAMPLE_WEIGHT).powi(i32::from(unreported));
            pace.seconds = usual + (pace.seconds - usual) * kept;
        }
        self.sample(now, open.target, took);
        Some(Ended { target: open.target, took, reported: true })
    }

    /// Notes that a request has ended without an answer, from which nothing is learned of the target's pace.
    ///
    /// Returns whether the other instances know of it, if it was open.
    pub fn abandon(&mut self, flow: FlowHash) -> Option<bool> {
        self.cancel(flow).map(|open| open.reported)
    }

    fn cancel(&mut self, flow: FlowHash) -> Option<Open> {
        let open = self.flows.remove(&flow)?;
        self.release(open);
        Some(open)
    }

    fn release(&mut self, open: Open) {
        decrease(&mut self.counts, open.target);
        if open.own {
            decrease(&mut self.own_counts, open.target);
        }
    }

    fn sample(&mut self, now: Timestamp, target: TargetId, took: Duration) {
        let took = took.as_secs_f64();
        let start = Pace { seconds: self.usual, at: now };
        let pace = self.paces.entry(target).or_insert(start);
        pace.seconds += (took - pace.seconds) * SAMPLE_WEIGHT;
        pace.at = now;
    }

    /// Returns the usual time of a request.
    #[must_use]
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.usual)
    }

    /// Returns how many times slower than usual a target is; one when it is not notably slow.
    #[must_use]
    pub fn slowness(&self, now: Timestamp, target: TargetId) -> f64 {
        let Some(pace) = self.paces.get(&target) else { return 1.0 };
        let idle = now.saturating_sub(pace.at).as_secs_f64();
        let kept = 0.5_f64.powf(idle / FORGET_HALF.as_secs_f64());
        let ratio = 1.0 + (pace.seconds / self.usual - 1.0) * kept;
        if ratio < NOTABLE { 1.0 } else { ratio.min(SLOWEST) }
    }

    /// Tells whether a target was notably slow when it was last used, though that may be forgotten by now.
    ///
    /// All instances forget it at about the same time. Unless the first that tries the target again tells the others at once,
    /// each of them gives it a request, and each of these is late.
    #[must_use]
    pub fn has_been_slow(&self, target: TargetId) -> bool {
        self.paces.get(&target).is_some_and(|pace| pace.seconds >= self.usual * NOTABLE)
    }

    /// Gives up work whose end should have been told by now.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((_, flow)) = self.due.pop_front_if(|(due, _)| *due <= now) {
            let Some(open) = self.flows.get(&flow).copied() else { continue };
            let due = open.heard + LOST;
            if due <= now {
                self.cancel(flow);
            } else {
                self.due.push_back((due, flow));
            }
        }
    }

    /// Returns the open work with its age, for an instance that has just started.
    pub fn open(&self, now: Timestamp) -> impl Iterator<Item = (FlowHash, TargetId, Duration)> {
        self.flows.iter().map(move |(flow, open)| (*flow, open.target, now.saturating_sub(open.since)))
    }
}
