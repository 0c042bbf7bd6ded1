//! Active checks of targets that do not answer, and which of them are out of reach.
//!
//! A caller on an open flow cannot know that its target has died or lies behind a partition: it repeats its data and
//! waits until its deadline. A reset lets it open another flow at once, but a reset of a flow whose target lives breaks the
//! flow, so silence alone is not enough. A target that owes an answer for longer than its requests usually take is asked
//! for a connection. One that lives accepts it whatever its load, as no slot is taken.
//!
//! A check can fail because of this instance: its link is full, or it waits for its share of a processor. So a target that
//! has just answered is checked beside it, and the failure counts only if that one accepts; and other instances are asked to
//! check the target too, as in SWIM (Das, Gupta and Motivala, 2002). The target is out of reach when one of them fails as
//! well and none succeeds. An instance that knows no other one needs two failures of its own.
//!
//! Checks are made on suspicion only, and they become rarer while a target stays out of reach.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::Timestamp;
use crate::backoff;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Time that a connection may take to be accepted: twenty round trips between failure domains.
pub const CHECK_LIMIT: Duration = Duration::from_millis(40);
/// Time beyond the limit after which the outcome of a check says nothing, since this process was paused meanwhile.
const STALL: Duration = Duration::from_millis(40);
/// Usual times of a request after which a target that has given no sign of life is checked.
const OVERDUE: f64 = 2.5;
/// Shortest and longest time after which it is. The longest is for targets that are known to be slow; callers have then
/// repeated their data once.
const OVERDUE_MIN: Duration = Duration::from_millis(80);
const OVERDUE_MAX: Duration = Duration::from_millis(400);
/// Time between two checks of a target that was found to live, unless there is evidence of another kind: one that is slow
/// owes answers all the time.
const RECHECK_ALIVE: Duration = Duration::from_secs(3);
/// Time between the first two checks of a target that is out of reach, doubled by each further one.
const RECHECK_FIRST: Duration = Duration::from_millis(300);
/// Longest time between two checks of one that stays out of reach.
const RECHECK_LONGEST: Duration = Duration::from_millis(2_400);
/// Age up to which a sign of life makes a target fit to be checked beside another one.
const REFERENCE_AGE: Duration = Duration::from_secs(1);
/// Time for which a failure to reach a target counts, one of its own or another instance's. Both must be of the same trouble.
const VALID: Duration = Duration::from_secs(5);
/// Failed checks of its own that an instance needs if there is no other to ask.
const ALONE: u32 = 2;
/// Most checks that are under way at once.
const MAX_CHECKS: usize = 16;

/// What came of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckOutcome {
    /// The target accepted a connection.
    Accepted,
    /// Nobody listens at the target's address.
    Refused,
    /// There was no answer within the limit.
    TimedOut,
}

/// What follows from the outcome of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The target lives.
    Alive,
    /// Nothing: this instance may be to blame.
    Inconclusive,
    /// The target was not reached; others have to find the same.
    Failed,
    /// The target has turned out to be out of reach just now.
    OutOfReach,
    /// It still is.
    StillOutOfReach,
}

/// Whether a target can be reached.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Reachability {
    /// As far as is known.
    Reachable,
    /// It does not answer here. It may still work on what it has received before.
    OutOfReach,
    /// It is gone, and nothing that it was sent will be answered.
    Gone,
}

/// A target that has turned out to be out of reach, or to be reached again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachabilityChange {
    /// The target.
    pub target: TargetId,
    /// What it is now.
    pub reachability: Reachability,
    /// Checks of this instance that had failed in a row.
    pub failed: u32,
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// When the first packet was sent that it has not answered.
    owes_since: Option<Timestamp>,
    last_sign: Timestamp,
    check_since: Option<Timestamp>,
    next_check: Timestamp,
    /// Checks in a row that have failed, and when the last one did.
    failed: u32,
    failed_at: Timestamp,
    /// When another instance last failed to reach it.
    confirmed: Option<Timestamp>,
    /// Whether another instance has asked for a check.
    asked: bool,
    out_of_reach: bool,
    gone: bool,
}

impl Record {
    /// Counts the target as out of reach if there is evidence enough; tells whether that is new.
    fn conclude(&mut self, now: Timestamp, alone: bool) -> bool {
        let confirmed = self.confirmed.is_some_and(|at| now.saturating_sub(at) < VALID);
        let failed = if now.saturating_sub(self.failed_at) < VALID { self.failed } else { 0 };
        let enough = failed >= 1 && confirmed || failed >= ALONE && alone;
        let new = enough && !self.out_of_reach;
        self.out_of_reach |= enough;
        if new {
            self.next_check = now + RECHECK_FIRST;
        }
        new
    }
}

/// Targets that have been sent something.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityChecks {
    records: Map<TargetId, Record>,
    /// When the latest check began that was accepted.
    accepted: Option<Timestamp>,
    changes: Vec<ReachabilityChange>,
}

impl ReachabilityChecks {
    /// Notes that a target was sent something that it has to answer.
    pub fn sent(&mut self, now: Timestamp, target: TargetId) {
        self.records.entry(target).or_default().owes_since.get_or_insert(now);
    }

    /// Notes a sign of life of a target.
    pub fn answered(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            let Record { check_since, next_check, failed, out_of_reach, .. } = *record;
            if out_of_reach {
                self.changes.push(ReachabilityChange { target, reachability: Reachability::Reachable, failed });
            }
            *record = Record { last_sign: now, check_since, next_check, ..Record::default() };
        }
    }

    /// Notes that another instance has seen a target live.
    pub fn refuted(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target).filter(|record| !record.gone) {
            if record.out_of_reach {
                let failed = record.failed;
                self.changes.push(ReachabilityChange { target, reachability: Reachability::Reachable, failed });
            }
            record.failed = 0;
            record.confirmed = None;
            record.out_of_reach = false;
            record.next_check = record.next_check.max(now + RECHECK_FIRST);
        }
    }

    /// Notes that another instance has failed to reach a target; tells whether it has turned out to be out of reach.
    pub fn confirmed(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        record.confirmed = Some(now);
        let (new, failed) = (record.conclude(now, false), record.failed);
        if new {
            self.changes.push(ReachabilityChange { target, reachability: Reachability::OutOfReach, failed });
        }
        new
    }

    /// Takes what has changed since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<ReachabilityChange> {
        std::mem::take(&mut self.changes)
    }

    /// Tells whether another instance has asked for a check of a target that is not over.
    #[must_use]
    pub fn is_asked(&self, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(|record| record.asked)
    }

    /// Gives up a check that cannot be made.
    pub fn skip(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.check_since = None;
            record.asked = false;
            record.next_check = now + RECHECK_ALIVE;
        }
    }

    /// Notes that another instance asks for a check of a target.
    pub fn asked(&mut self, target: TargetId) {
        self.records.entry(target).or_default().asked = true;
    }

    /// Gives every target its time anew, after this process was paused: their answers may not have been read.
    pub fn restart_deadlines(&mut self, now: Timestamp) {
        for record in self.records.values_mut().filter(|record| record.owes_since.is_some()) {
            record.owes_since = Some(now);
        }
    }

    /// Notes evidence of another kind that a target does not answer: it is checked as soon as it may be.
    pub fn suspect(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target)
            && let Some(since) = &mut record.owes_since
        {
            *since = (*since).min(now.saturating_sub(OVERDUE_MAX));
            if !record.out_of_reach {
                record.next_check = record.next_check.min(now.max(record.last_sign + RECHECK_FIRST));
            }
        }
    }

    /// Returns the targets to be checked now, by the usual time of a request at each, and takes their checks as begun.
    pub fn take_due(&mut self, now: Timestamp, usual: impl Fn(TargetId) -> Duration) -> Vec<TargetId> {
        let under_way = self.records.values().filter(|record| record.check_since.is_some()).count();
        let mut due = Vec::new();
        for (target, record) in &mut self.records {
            let overdue = usual(*target).mul_f64(OVERDUE).clamp(OVERDUE_MIN, OVERDUE_MAX);
            let owes = record.owes_since.is_some_and(|since| now.saturating_sub(since) >= overdue);
            let wanted = record.asked || (owes && now >= record.next_check);
            if wanted && record.check_since.is_none() && under_way + due.len() < MAX_CHECKS {
                record.check_since = Some(now);
                due.push(*target);
            }
        }
        if !due.is_empty() {
            due.extend(self.begin_reference_check(now, &due));
        }
        due
    }

    /// Begins a check of the target that has answered last, if that was of late.
    fn begin_reference_check(&mut self, now: Timestamp, due: &[TargetId]) -> Option<TargetId> {
        let free = |id: &TargetId, record: &Record| record.check_since.is_none() && !due.contains(id);
        let lately = |record: &Record| record.failed == 0 && now.saturating_sub(record.last_sign) < REFERENCE_AGE;
        let fit = self.records.iter_mut().filter(|(id, record)| free(id, record) && lately(record));
        let (target, record) = fit.max_by_key(|(id, record)| (record.last_sign, **id))?;
        record.check_since = Some(now);
        Some(*target)
    }

    /// Takes in the outcome of a check, by an instance that knows others or is alone.
    pub fn check_finished(&mut self, now: Timestamp, target: TargetId, outcome: CheckOutcome, alone: bool) -> Finding {
        let Some(record) = self.records.get_mut(&target) else { return Finding::Inconclusive };
        let Some(began) = record.check_since.take() else { return Finding::Inconclusive };
        record.asked = false;
        if outcome == CheckOutcome::Accepted {
            record.next_check = now + RECHECK_ALIVE;
            self.accepted = self.accepted.max(Some(began));
            self.answered(now, target);
            return Finding::Alive;
        }
        // A process that was paused has not read what the target sent meanwhile.
        let paused = now.saturating_sub(began) >= CHECK_LIMIT + STALL;
        let reference_failed = self.accepted.is_none_or(|at| at < began);
        if paused || reference_failed || record.last_sign >= began {
            record.next_check = now + RECHECK_FIRST;
            return Finding::Inconclusive;
        }
        record.failed += 1;
        record.failed_at = now;
        if record.conclude(now, alone) {
            let failed = record.failed;
            self.changes.push(ReachabilityChange { target, reachability: Reachability::OutOfReach, failed });
            return Finding::OutOfReach;
        }
        // The second check follows at once; after that others have answered, or cannot be reached either.
        let pause = backoff::doubled(RECHECK_FIRST, record.failed.saturating_sub(ALONE), RECHECK_LONGEST);
        record.next_check = if record.failed < ALONE { now } else { now + pause };
        if record.out_of_reach { Finding::StillOutOfReach } else { Finding::Failed }
    }

    /// Notes that a target is known to be gone without a check, as another one has taken its address over; tells whether
    /// that is new.
    pub fn gone(&mut self, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        let new = !record.gone;
        record.gone = true;
        record.out_of_reach = true;
        if new {
            self.changes.push(ReachabilityChange { target, reachability: Reachability::Gone, failed: record.failed });
        }
        new
    }

    /// Tells whether a target can be reached.
    #[must_use]
    pub fn reachability(&self, target: TargetId) -> Reachability {
        match self.records.get(&target) {
            Some(record) if record.gone => Reachability::Gone,
            Some(record) if record.out_of_reach => Reachability::OutOfReach,
            _ => Reachability::Reachable,
        }
    }

    /// Returns how many targets are out of reach or gone.
    #[must_use]
    pub fn count_unreachable(&self) -> usize {
        self.records.values().filter(|record| record.out_of_reach).count()
    }

    /// Forgets targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(TargetId) -> bool) {
        self.records.retain(|id, _| known(*id));
    }
}
