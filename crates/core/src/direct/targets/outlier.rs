//! Passive outlier detection: finds unresponsive targets from the handshakes of callers' connections.
//!
//! A target that has died without a notice stays listed for seconds, until its heartbeats have been missed. Its
//! callers' packets show the failure within tens of milliseconds, because handshakes are not completed. Health checks
//! would take up slots of the targets and can be wrong in both directions, whereas the handshakes observed here
//! belong to the requests themselves.
//!
//! A suspicion is never certain, so it expires, and a target that responds is cleared. A target that responds again
//! after it was unresponsive for so long that it may have been restarted counts as cold until shown otherwise. Its
//! entry states that it is cold only once the store and the watch have delivered it, and full load in the meantime
//! would overload the target again.

use std::time::Duration;

use crate::Timestamp;
use crate::backoff;
use crate::maps::FixedHashMap;
use crate::maps::FixedHashSet;
use hawthornshift_model::TargetId;

/// Time for which a target is avoided after the first handshake that was not completed. It is short, because one
/// packet in a hundred may be lost on a bad link.
const SINGLE_FAILURE_AVOIDANCE: Duration = Duration::from_millis(150);
/// Time for which a target is avoided after the second handshake in a row that was not completed. It doubles with
/// each further one.
const BASE_AVOIDANCE: Duration = Duration::from_millis(600);
/// Longest time for which a target is avoided before one flow tries it again.
const MAX_AVOIDANCE: Duration = Duration::from_millis(2_400);
/// Time for which a handshake completed through this instance overrides suspicions reported by peers.
const LOCAL_EVIDENCE_VALIDITY: Duration = Duration::from_millis(300);
/// Number of failed handshakes in a row from which peers are notified, since a single one may be a lost packet.
const SUSPECT_AFTER_FAILURES: u32 = 2;
/// Time without any sign that a suspected target is alive, observed here or reported by a peer, after which it may
/// have been restarted. A process takes longer than that to start, and a target that is alive completes some request
/// every 40 ms at the usual load.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);
/// Time after the end of an avoidance from which any instance may try a target. The instance that is responsible for
/// it may be on the other side of a network partition.
const ANY_INSTANCE_RETRY_DELAY: Duration = Duration::from_millis(2_500);

/// Time after the end of an avoidance after which a suspicion without newer evidence is dropped. The entry of a target
/// that was restarted in the meantime has long arrived by then, and states itself that the target is cold.
const SUSPICION_VALIDITY: Duration = Duration::from_secs(30);

/// Time after a suspicion during which peers are notified when its target responds.
const LIVENESS_REPORT_WINDOW: Duration = Duration::from_secs(5);
/// Age up to which a response refutes a suspicion that has just been received.
const REFUTATION_MAX_AGE: Duration = Duration::from_millis(100);
/// Interval between two such notifications. It is shorter than the time after which the target may have been
/// restarted.
const LIVENESS_REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two flows that are placed on an unresponsive target when no other target is left.
const LAST_RESORT_INTERVAL: Duration = Duration::from_millis(250);

/// Handshake history of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failed_handshakes: u32,
    last_handshake: Option<Timestamp>,
    /// When it was last known to be alive, from this instance or a peer.
    last_alive: Timestamp,
    avoid_until: Timestamp,
    /// When the SYN was sent whose handshake decides whether the avoidance ends. No other SYN is sent there until
    /// then.
    trial_sent_at: Option<Timestamp>,
    cold_until: Timestamp,
    /// Time until which peers are notified when the target responds.
    report_liveness_until: Timestamp,
    /// When peers were last notified that the target responds.
    liveness_reported_at: Option<Timestamp>,
}

impl Record {
    fn is_suspected(&self) -> bool {
        self.failed_handshakes >= SUSPECT_AFTER_FAILURES
    }

    /// Ends a suspicion, because the target is alive.
    fn clear(&mut self, now: Timestamp) {
        self.failed_handshakes = 0;
        self.avoid_until = Timestamp::ZERO;
        self.trial_sent_at = None;
        self.last_alive = now;
    }

    /// Returns whether peers should now be notified that the target responds, and records the notification if so.
    fn take_liveness_report(&mut self, now: Timestamp) -> bool {
        let recently_reported =
            self.liveness_reported_at.is_some_and(|at| now.saturating_sub(at) < LIVENESS_REPORT_INTERVAL);
        let report_due = now < self.report_liveness_until && !recently_reported;
        if report_due {
            self.liveness_reported_at = Some(now);
        }
        report_due
    }

    fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.is_suspected() && now.saturating_sub(self.last_alive) >= UNRESPONSIVE_AFTER
    }
}

/// Whether a target may receive flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// Like any other target.
    Available,
    /// Only when no other target has room. A handshake was not completed, which may have no significance.
    Suspected,
    /// Only for a trial. The target has been unresponsive for long.
    Unresponsive,
}

/// Outlier detection for all targets.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    records: FixedHashMap<TargetId, Record>,
    /// Targets that were marked as cold and may still be so.
    returning: FixedHashSet<TargetId>,
}

impl Outliers {
    /// Records that a target has completed a handshake. Returns whether it was unresponsive before for so long that
    /// it may have been restarted.
    pub fn handshake_completed(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        let may_have_restarted = record.is_unresponsive(now);
        record.clear(now);
        record.last_handshake = Some(now);
        may_have_restarted
    }

    /// Returns whether a target has completed a handshake through this instance within `span`.
    #[must_use]
    pub fn answered_within(&self, now: Timestamp, target: TargetId, span: Duration) -> bool {
        let last = self.records.get(&target).and_then(|record| record.last_handshake);
        last.is_some_and(|at| now.saturating_sub(at) < span)
    }

    /// Records that a peer reports a target to be alive.
    pub fn record_liveness(&mut self, now: Timestamp, target: TargetId) {
        self.records.entry(target).or_default().last_alive = now;
    }

    /// Ends a suspicion, because a peer reports that the target has responded.
    pub fn clear(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.clear(now);
        }
    }

    /// Treats a target as cold for `cold_time`.
    pub fn mark_cold(&mut self, now: Timestamp, target: TargetId, cold_time: Duration) {
        let record = self.records.entry(target).or_default();
        record.clear(now);
        record.cold_until = record.cold_until.max(now.saturating_add(cold_time));
        self.returning.insert(target);
    }

    /// Records a response of a target. Returns whether peers should be notified, because an instance suspects the
    /// target.
    ///
    /// Without this notification, an instance with few flows at a target could not distinguish a target that others
    /// reach from a restarted one, and would treat a target that lost two packets as cold.
    pub fn record_response(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        record.last_alive = now;
        record.take_liveness_report(now)
    }

    /// Returns whether a suspicion that has just been received should be refuted, because the target has responded
    /// here recently.
    pub fn refutes(&mut self, now: Timestamp, target: TargetId) -> bool {
        let Some(record) = self.records.get_mut(&target) else { return false };
        now.saturating_sub(record.last_alive) < REFUTATION_MAX_AGE && record.take_liveness_report(now)
    }

    /// Returns whether a target counts as cold because it has recently returned.
    #[must_use]
    pub fn is_returning(&self, now: Timestamp, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(|record| now < record.cold_until)
    }

    /// Returns the targets that count as cold because they have recently returned.
    pub fn returning(&self, now: Timestamp) -> impl Iterator<Item = TargetId> {
        self.returning.iter().copied().filter(move |target| self.is_returning(now, *target))
    }

    /// Records that a target has not completed the handshake of a SYN sent at `sent`.
    ///
    /// Returns the time for which to avoid the target if peers should be notified.
    pub fn handshake_failed(&mut self, now: Timestamp, target: TargetId, sent: Timestamp) -> Option<Duration> {
        let record = self.records.entry(target).or_default();
        if record.last_handshake.is_some_and(|at| at > sent) {
            // It has completed the handshake of a later SYN, so this one was lost on the way.
            return None;
        }
        record.failed_handshakes += 1;
        let doublings = record.failed_handshakes.saturating_sub(SUSPECT_AFTER_FAILURES);
        let avoidance = match record.failed_handshakes {
            1 => SINGLE_FAILURE_AVOIDANCE,
            _ => backoff::exponential_backoff(BASE_AVOIDANCE, doublings, MAX_AVOIDANCE),
        };
        record.avoid_until = record.avoid_until.max(now + avoidance);
        if record.is_suspected() {
            record.report_liveness_until = now + LIVENESS_REPORT_WINDOW;
        }
        record.is_suspected().then_some(avoidance)
    }

    /// Records that a check has found a target to be out of reach. Returns the time for which to avoid it, which
    /// peers should be notified of.
    pub fn out_of_reach(&mut self, now: Timestamp, target: TargetId) -> Duration {
        let record = self.records.entry(target).or_default();
        record.failed_handshakes = record.failed_handshakes.max(SUSPECT_AFTER_FAILURES);
        record.avoid_until = record.avoid_until.max(now + BASE_AVOIDANCE);
        record.report_liveness_until = now + LIVENESS_REPORT_WINDOW;
        BASE_AVOIDANCE
    }

    /// Applies a suspicion reported by a peer, unless the target has just completed a handshake through this
    /// instance.
    pub fn apply_suspicion(&mut self, now: Timestamp, target: TargetId, avoidance: Duration) {
        let record = self.records.entry(target).or_default();
        record.report_liveness_until = now + LIVENESS_REPORT_WINDOW;
        if record.last_handshake.is_none_or(|at| now.saturating_sub(at) > LOCAL_EVIDENCE_VALIDITY) {
            let avoidance = avoidance.min(MAX_AVOIDANCE);
            record.avoid_until = record.avoid_until.max(now + avoidance);
            record.failed_handshakes = record.failed_handshakes.max(SUSPECT_AFTER_FAILURES);
        }
    }

    /// Returns whether a target is suspected, by this instance or a peer, and has not responded here since.
    #[must_use]
    pub fn is_suspected(&self, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(Record::is_suspected)
    }

    /// Records that a SYN is sent to a target. If the target is suspected, the SYN is its trial.
    pub fn tried(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target).filter(|record| record.failed_handshakes > 0) {
            record.trial_sent_at = Some(now);
        }
    }

    /// Returns whether a target may receive flows. `is_retry_owner` returns whether this instance is responsible for
    /// trying the target again. It is called only for an unresponsive target, because it ranks all instances of the
    /// group.
    ///
    /// A handshake takes up to `handshake_timeout`. A trial is decided after twice that time.
    #[must_use]
    pub fn availability(
        &self,
        now: Timestamp,
        target: TargetId,
        handshake_timeout: Duration,
        is_retry_owner: impl FnOnce() -> bool,
    ) -> Availability {
        let Some(record) = self.records.get(&target) else { return Availability::Available };
        let on_trial = record.trial_sent_at.is_some_and(|at| now.saturating_sub(at) < handshake_timeout * 2);
        if record.is_unresponsive(now) {
            let any_instance = now >= record.avoid_until + ANY_INSTANCE_RETRY_DELAY;
            let may_try = now >= record.avoid_until && !on_trial && (any_instance || is_retry_owner());
            return if may_try { Availability::Available } else { Availability::Unresponsive };
        }
        if now < record.avoid_until || on_trial { Availability::Suspected } else { Availability::Available }
    }

    /// Returns whether an unresponsive target may be tried although it has been tried before, because no other target
    /// is left. The rate of these trials is low enough for a target that has been restarted and is cold.
    #[must_use]
    pub fn may_try_as_last_resort(&self, now: Timestamp, target: TargetId) -> bool {
        let trial_sent_at = self.records.get(&target).and_then(|record| record.trial_sent_at);
        trial_sent_at.is_none_or(|at| now.saturating_sub(at) >= LAST_RESORT_INTERVAL)
    }

    /// Returns the avoided targets and the remaining time of each avoidance, for an instance that has just started.
    pub fn avoided(&self, now: Timestamp) -> impl Iterator<Item = (TargetId, Duration)> {
        let left = move |record: &Record| record.avoid_until.saturating_sub(now);
        self.records.iter().map(move |(id, record)| (*id, left(record))).filter(|(_, left)| !left.is_zero())
    }

    /// Forgets the targets that are no longer cold.
    pub fn expire_returning(&mut self, now: Timestamp) {
        let records = &self.records;
        self.returning.retain(|target| records.get(target).is_some_and(|record| now < record.cold_until));
    }

    /// Drops the suspicions that no failed handshake and no report has renewed for long.
    pub fn expire(&mut self, now: Timestamp) {
        for record in self.records.values_mut().filter(|record| record.failed_handshakes > 0) {
            if now >= record.avoid_until + SUSPICION_VALIDITY {
                record.failed_handshakes = 0;
                record.trial_sent_at = None;
            }
        }
    }

    /// Removes the targets for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(TargetId) -> bool) {
        self.records.retain(|id, _| known(*id));
        self.returning.retain(|id| known(*id));
    }
}
