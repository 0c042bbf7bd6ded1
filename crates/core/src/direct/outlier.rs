//! Passive outlier detection: which targets seem not to answer, from what callers' packets show.
//!
//! A target that has died in silence stays listed until its heartbeats have been missed for seconds. Its callers'
//! packets tell within tens of milliseconds: the handshake is not finished. Health checks would cost the targets slots
//! and may lie in both directions; handshakes are the requests' own.
//!
//! A suspicion is never certain, so it ages, and a target that answers is cleared. One that answers again after a
//! silence in which it may have been restarted is cold until proved otherwise: its entry tells of it only once the store
//! and the watch have passed it on, and full load in between would make it fall over again.

use std::time::Duration;

use crate::Timestamp;
use crate::backoff;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Time for which a target is avoided after the first handshake that was not finished; one packet in a hundred may be
/// lost on a bad link, so it is short.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(150);
/// Time for which a target is avoided after the second in a row; doubled by each further one.
const AVOIDANCE: Duration = Duration::from_millis(600);
/// Longest time for which a target is avoided before one flow tries it again.
const LONGEST_AVOIDANCE: Duration = Duration::from_millis(2_400);
/// Time for which an answer seen here outweighs what peers say of a target.
const OWN_EVIDENCE: Duration = Duration::from_millis(300);
/// Handshakes in a row that must fail before peers are told: one may be a lost packet.
const TELL_AFTER: u32 = 2;
/// Silence, in all that this instance sees and hears, after which a suspected target may have been restarted. A process
/// takes longer than that to start; a target that lives ends some request every 40 ms at the usual load.
const SILENCE: Duration = Duration::from_millis(700);
/// Time after the end of an avoidance from which on not only the one whose task it is may try a target: it may be on the
/// other side of a partition.
const ANYBODY: Duration = Duration::from_millis(2_500);

/// Time after a suspicion in which signs of life of its target are told to the others.
const WATCHED: Duration = Duration::from_secs(5);
/// Age up to which a sign of life speaks against a suspicion that was just heard of.
const REFUTES: Duration = Duration::from_millis(100);
/// Time between two such signs that are told: shorter than the silence after which the target may have been restarted.
const TELL_ALIVE: Duration = Duration::from_millis(300);
/// Time between two flows that are given to a silent target when no other is left.
const LAST_RESORT: Duration = Duration::from_millis(250);

/// What is known of one target's handshakes.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    unfinished: u32,
    last_answer: Option<Timestamp>,
    /// When it last gave any sign of life, here or to a peer.
    last_sign: Timestamp,
    avoid_until: Timestamp,
    /// SYN whose fate decides when the avoidance is over; until then no other is risked.
    trial: Option<Timestamp>,
    returning_until: Timestamp,
    /// Until when others are told of its signs of life.
    watched_until: Timestamp,
    /// When they were last told.
    told_alive: Option<Timestamp>,
}

impl Record {
    fn is_suspected(&self) -> bool {
        self.unfinished >= TELL_AFTER
    }

    /// Ends a suspicion by a sign of life.
    fn clear(&mut self, now: Timestamp) {
        self.unfinished = 0;
        self.avoid_until = Timestamp::ZERO;
        self.trial = None;
        self.last_sign = now;
    }

    /// Tells whether a sign of life should be told now, and takes it as told if so.
    fn owes_sign(&mut self, now: Timestamp) -> bool {
        let told = self.told_alive.is_some_and(|at| now.saturating_sub(at) < TELL_ALIVE);
        let owes = now < self.watched_until && !told;
        if owes {
            self.told_alive = Some(now);
        }
        owes
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        self.is_suspected() && now.saturating_sub(self.last_sign) >= SILENCE
    }
}

/// How far a target may be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// Like any other.
    Available,
    /// Only when no other has room: a handshake was not finished, which may mean nothing.
    Suspected,
    /// Only by a trial: it has been silent for long.
    Unresponsive,
}

/// Targets that seem not to answer.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    records: Map<TargetId, Record>,
}

impl Outliers {
    /// Notes that a target has finished a handshake. Tells whether it was silent for so long before that it may have
    /// been restarted.
    pub fn answered(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        let back = record.is_silent(now);
        record.clear(now);
        record.last_answer = Some(now);
        back
    }

    /// Tells whether a target has finished a handshake here within a span.
    #[must_use]
    pub fn answered_within(&self, now: Timestamp, target: TargetId, span: Duration) -> bool {
        let last = self.records.get(&target).and_then(|record| record.last_answer);
        last.is_some_and(|at| now.saturating_sub(at) < span)
    }

    /// Notes a sign of life of a target that a peer tells of.
    pub fn record_liveness(&mut self, now: Timestamp, target: TargetId) {
        self.records.entry(target).or_default().last_sign = now;
    }

    /// Ends a suspicion by the word of a peer that has been answered.
    pub fn clear(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.clear(now);
        }
    }

    /// Counts a target as cold for a while.
    pub fn mark_cold(&mut self, now: Timestamp, target: TargetId, cold_time: Duration) {
        let record = self.records.entry(target).or_default();
        record.clear(now);
        record.returning_until = record.returning_until.max(now + cold_time);
    }

    /// Notes that a target has answered here; tells whether the others should hear of it, since somebody suspects it.
    ///
    /// Without this an instance that has few flows at a target could not tell one that is reached by others from one that
    /// was restarted, and would hold a target that lost two packets for cold.
    pub fn answers(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        record.last_sign = now;
        record.owes_sign(now)
    }

    /// Tells whether a suspicion that was just heard of is to be answered by a sign of life that was seen here.
    pub fn refutes(&mut self, now: Timestamp, target: TargetId) -> bool {
        let Some(record) = self.records.get_mut(&target) else { return false };
        now.saturating_sub(record.last_sign) < REFUTES && record.owes_sign(now)
    }

    /// Tells whether a target has come back so lately that it counts as cold.
    #[must_use]
    pub fn is_returning(&self, now: Timestamp, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(|record| now < record.returning_until)
    }

    /// Notes that a target has not finished the handshake of a SYN sent at `sent`.
    ///
    /// Returns for how long to avoid the target if peers should hear of it.
    pub fn unanswered(&mut self, now: Timestamp, target: TargetId, sent: Timestamp) -> Option<Duration> {
        let record = self.records.entry(target).or_default();
        if record.last_answer.is_some_and(|at| at > sent) {
            // It has answered a later SYN: this one was lost on the way.
            return None;
        }
        record.unfinished += 1;
        let doublings = record.unfinished.saturating_sub(TELL_AFTER);
        let avoidance = match record.unfinished {
            1 => FIRST_AVOIDANCE,
            _ => backoff::doubled(AVOIDANCE, doublings, LONGEST_AVOIDANCE),
        };
        record.avoid_until = record.avoid_until.max(now + avoidance);
        if record.is_suspected() {
            record.watched_until = now + WATCHED;
        }
        record.is_suspected().then_some(avoidance)
    }

    /// Notes that a check has found a target to be out of reach; returns for how long to avoid it, as peers should hear.
    pub fn out_of_reach(&mut self, now: Timestamp, target: TargetId) -> Duration {
        let record = self.records.entry(target).or_default();
        record.unfinished = record.unfinished.max(TELL_AFTER);
        record.avoid_until = record.avoid_until.max(now + AVOIDANCE);
        record.watched_until = now + WATCHED;
        AVOIDANCE
    }

    /// Takes over a peer's suspicion unless this instance has just seen the target answer.
    pub fn apply_suspicion(&mut self, now: Timestamp, target: TargetId, avoidance: Duration) {
        let record = self.records.entry(target).or_default();
        record.watched_until = now + WATCHED;
        if record.last_answer.is_none_or(|at| now.saturating_sub(at) > OWN_EVIDENCE) {
            let avoidance = avoidance.min(LONGEST_AVOIDANCE);
            record.avoid_until = record.avoid_until.max(now + avoidance);
            record.unfinished = record.unfinished.max(TELL_AFTER);
        }
    }

    /// Tells whether a target is suspected, here or by a peer, and has not answered here since.
    #[must_use]
    pub fn is_suspected(&self, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(Record::is_suspected)
    }

    /// Notes that a SYN goes to a target; if the target is suspected, that SYN is its trial.
    pub fn tried(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target).filter(|record| record.unfinished > 0) {
            record.trial = Some(now);
        }
    }

    /// Tells how far a target may be used, by an instance whose task it is to try it again or not; `mine` is asked only
    /// about a silent target, since the answer ranks all instances of the group.
    ///
    /// A handshake takes up to `handshake_timeout`; a trial is decided after two.
    #[must_use]
    pub fn availability(
        &self,
        now: Timestamp,
        target: TargetId,
        handshake_timeout: Duration,
        mine: impl FnOnce() -> bool,
    ) -> Availability {
        let Some(record) = self.records.get(&target) else { return Availability::Available };
        let on_trial = record.trial.is_some_and(|at| now.saturating_sub(at) < handshake_timeout * 2);
        if record.is_silent(now) {
            let anybody = now >= record.avoid_until + ANYBODY;
            let may_try = now >= record.avoid_until && !on_trial && (anybody || mine());
            return if may_try { Availability::Available } else { Availability::Unresponsive };
        }
        if now < record.avoid_until || on_trial { Availability::Suspected } else { Availability::Available }
    }

    /// Tells whether a silent target may be tried though others have just been: where nothing else is left, at a rate
    /// that does no harm to one that has been restarted cold.
    #[must_use]
    pub fn may_try_last(&self, now: Timestamp, target: TargetId) -> bool {
        let trial = self.records.get(&target).and_then(|record| record.trial);
        trial.is_none_or(|at| now.saturating_sub(at) >= LAST_RESORT)
    }

    /// Returns the targets that are avoided and for how much longer, for an instance that has just started.
    pub fn avoided(&self, now: Timestamp) -> impl Iterator<Item = (TargetId, Duration)> {
        let left = move |record: &Record| record.avoid_until.saturating_sub(now);
        self.records.iter().map(move |(id, record)| (*id, left(record))).filter(|(_, left)| !left.is_zero())
    }

    /// Forgets targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(TargetId) -> bool) {
        self.records.retain(|id, _| known(*id));
    }
}
