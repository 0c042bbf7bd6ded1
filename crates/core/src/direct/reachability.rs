//! Active checks of targets that do not answer, and which of them are out of reach.
//!
//! A caller on an open flow cannot know that its target has died or lies behind a partition: it repeats its data and
//! waits until its deadline. A reset lets it open another flow at once, but a reset of a flow whose target lives breaks the
//! flow, so silence alone is not enough. A target that owes an answer for longer than its requests usually take is asked
//! for a connection. One that lives accepts it whatever its load, as no slot is taken; only if it does not, and others have
//! answered here meanwhile, does the target count as out of reach.
//!
//! Checks are made on suspicion only, and they become rarer while a target stays out of reach.

use std::time::Duration;

use crate::Timestamp;
use crate::maps::Map;
use hawthornshift_model::TargetId;

/// Time that a connection may take to be accepted: twenty round trips between failure domains.
pub const CHECK_LIMIT: Duration = Duration::from_millis(60);
/// Time beyond the limit after which the outcome of a check says nothing, since this process has stood still meanwhile.
const STALL: Duration = Duration::from_millis(40);
/// Usual times of a request after which a target that has given no sign of life is checked.
const OVERDUE: f64 = 2.5;
/// Shortest and longest time after which it is; the longest is shortly before callers repeat their data.
const OVERDUE_MIN: Duration = Duration::from_millis(80);
const OVERDUE_MAX: Duration = Duration::from_millis(180);
/// Time between two checks of a target that was found to live.
const RECHECK_ALIVE: Duration = Duration::from_millis(500);
/// Time between the first two checks of a target that is out of reach, doubled by each further one.
const RECHECK_FIRST: Duration = Duration::from_millis(300);
/// Longest time between two checks of one that stays out of reach.
const RECHECK_LONGEST: Duration = Duration::from_millis(2_400);
/// Time within which another target must have given a sign of life for a failed check to count: else it is this instance
/// that is cut off, and it cannot judge.
const OWN_REACH: Duration = Duration::from_millis(300);
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

/// Whether a target can be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reachability {
    /// As far as is known.
    Reachable,
    /// It does not answer here. It may still work on what it has received before.
    OutOfReach,
    /// It is gone, and nothing that it was sent will be answered.
    Gone,
}

/// What is known of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// When the first packet was sent that it has not answered.
    owes_since: Option<Timestamp>,
    last_sign: Timestamp,
    check_since: Option<Timestamp>,
    next_check: Timestamp,
    /// Checks in a row that have failed.
    failed: u32,
    gone: bool,
}

/// Targets that have been sent something.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    records: Map<TargetId, Record>,
    last_sign: Timestamp,
}

impl Checks {
    /// Notes that a target was sent something that it has to answer.
    pub fn sent(&mut self, now: Timestamp, target: TargetId) {
        self.records.entry(target).or_default().owes_since.get_or_insert(now);
    }

    /// Notes a sign of life of a target.
    pub fn answered(&mut self, now: Timestamp, target: TargetId) {
        self.last_sign = now;
        if let Some(record) = self.records.get_mut(&target) {
            let Record { check_since, next_check, .. } = *record;
            *record = Record { last_sign: now, check_since, next_check, ..Record::default() };
        }
    }

    /// Gives every target its time anew, after this process has stood still: their answers may not have been read.
    pub fn start_over(&mut self, now: Timestamp) {
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
        }
    }

    /// Returns the targets to be checked now, by the usual time of a request at each, and takes their checks as begun.
    pub fn take_due(&mut self, now: Timestamp, usual: impl Fn(TargetId) -> Duration) -> Vec<TargetId> {
        let under_way = self.records.values().filter(|record| record.check_since.is_some()).count();
        let mut due = Vec::new();
        for (target, record) in &mut self.records {
            let overdue = usual(*target).mul_f64(OVERDUE).clamp(OVERDUE_MIN, OVERDUE_MAX);
            let owes = record.owes_since.is_some_and(|since| now.saturating_sub(since) >= overdue);
            if owes && record.check_since.is_none() && now >= record.next_check && under_way + due.len() < MAX_CHECKS {
                record.check_since = Some(now);
                due.push(*target);
            }
        }
        due
    }

    /// Takes in the outcome of a check; tells whether the target has turned out to be out of reach just now.
    pub fn checked(&mut self, now: Timestamp, target: TargetId, outcome: CheckOutcome) -> bool {
        let Some(record) = self.records.get_mut(&target) else { return false };
        let Some(began) = record.check_since.take() else { return false };
        if outcome == CheckOutcome::Accepted {
            record.next_check = now + RECHECK_ALIVE;
            self.answered(now, target);
            return false;
        }
        // A process that stood still has not read what the target sent meanwhile.
        let stood_still = now.saturating_sub(began) >= CHECK_LIMIT + STALL;
        let cut_off = now.saturating_sub(self.last_sign) >= OWN_REACH;
        if stood_still || cut_off || record.last_sign >= began {
            record.next_check = now + RECHECK_FIRST;
            return false;
        }
        let first = record.failed == 0;
        record.next_check = now + (RECHECK_FIRST * 2_u32.pow(record.failed.min(4))).min(RECHECK_LONGEST);
        record.failed += 1;
        record.gone |= outcome == CheckOutcome::Refused;
        first
    }

    /// Notes that a target is known to be gone without a check, as another one has taken its address over; tells whether
    /// that is new.
    pub fn gone(&mut self, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        let new = !record.gone;
        record.gone = true;
        record.failed = record.failed.max(1);
        new
    }

    /// Tells whether a target can be reached.
    #[must_use]
    pub fn reachability(&self, target: TargetId) -> Reachability {
        match self.records.get(&target) {
            Some(record) if record.gone => Reachability::Gone,
            Some(record) if record.failed > 0 => Reachability::OutOfReach,
            _ => Reachability::Reachable,
        }
    }

    /// Returns how many targets are out of reach or gone.
    #[must_use]
    pub fn count_unreachable(&self) -> usize {
        self.records.values().filter(|record| record.failed > 0).count()
    }

    /// Forgets targets that are no longer known.
    pub fn retain(&mut self, known: impl Fn(TargetId) -> bool) {
        self.records.retain(|id, _| known(*id));
    }
}
