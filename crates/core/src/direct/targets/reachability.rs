//! Active health checks of targets that do not answer, which determine the targets that are out of reach.
//!
//! A caller with an open flow cannot detect that its target has died or is behind a network partition: it retransmits
//! its data and waits until its deadline. A reset lets it open another flow at once, but resetting a flow whose
//! target is alive breaks the flow, so a missing answer alone is not sufficient. A target that has not answered for
//! longer than its requests usually take is therefore checked by opening a TCP connection to it. A target that is
//! alive accepts the connection whatever its load, since no slot is taken.
//!
//! A check can fail because of this instance, if its link is saturated or its process waits for CPU time. So a target
//! that has answered recently is checked at the same time as a reference, and the failure counts only if the
//! reference accepts its connection. Other instances are asked to check the target too, as in SWIM (Das, Gupta and
//! Motivala, 2002). The target is out of reach when at least one of them fails as well and none succeeds. An instance
//! that knows no other instance requires two failed checks of its own.
//!
//! Targets are checked only on suspicion. A target that is out of reach is checked again at a doubled interval, whether
//! answers are awaited or not. The finding keeps new flows away until the next of these checks is due, and justifies
//! resets for the shortest interval only. It handles the case that a failure domain is cut off for seconds, and instances with few
//! requests for each of its targets keep the findings afterwards. A finding without an age would reset flows of targets
//! that can be reached again.

use std::time::Duration;

use strum::IntoStaticStr;

use crate::Timestamp;
use crate::backoff;
use crate::maps::FixedHashMap;
use crate::maps::FixedHashSet;
use hawthornshift_model::TargetId;

/// Timeout for a connection to be accepted, which is twenty round trips between failure domains.
pub const CHECK_LIMIT: Duration = Duration::from_millis(40);
/// Time beyond the timeout after which the outcome of a check is ignored, because this process was paused in the
/// meantime.
const STALL_MARGIN: Duration = Duration::from_millis(40);
/// Ratio to the usual request time after which a target that has sent nothing is checked.
const OVERDUE_RATIO: f64 = 2.5;
/// Lower and upper bound of the time after which such a target is checked. The upper bound applies to targets that
/// are known to be slow. Callers have retransmitted their data once by then.
const OVERDUE_MIN: Duration = Duration::from_millis(80);
const OVERDUE_MAX: Duration = Duration::from_millis(400);
/// Interval between two checks of a target that was found to be alive, unless there is evidence of another kind. A
/// slow target always has overdue answers.
const RECHECK_ALIVE: Duration = Duration::from_secs(3);
/// Interval between the first two checks of a target that is out of reach. It doubles with each further check.
const RECHECK_FIRST: Duration = Duration::from_millis(300);
/// Age of the newest failed check up to which it justifies resets. It is the shortest interval between two checks: after
/// a partition, a finding as old as the longest interval would break flows of targets that can be reached again.
const RESET_MAX_AGE: Duration = RECHECK_FIRST;
/// Longest interval between two checks of a target that remains out of reach. It is also the longest time for which a
/// finding excludes the target from placement without a newer failed check.
const RECHECK_MAX: Duration = Duration::from_millis(2_400);
/// Time since the last response of a target up to which it can serve as the reference of a check.
const REFERENCE_MAX_AGE: Duration = Duration::from_secs(1);
/// Time for which a failure of this instance or another one to reach a target is valid. Both failures must have the
/// same cause.
const FAILURE_VALIDITY: Duration = Duration::from_secs(5);
/// Number of failed checks that an instance needs if there is no other instance to ask.
const FAILED_CHECKS_WHEN_ALONE: u32 = 2;
/// Time after a pause of this process during which failures reported by peers are ignored. The reports may have waited
/// in the socket for as long as the pause.
const PEER_FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of concurrent checks.
const MAX_CHECKS: usize = 16;

/// Outcome of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckOutcome {
    /// The target accepted a connection.
    Accepted,
    /// The target's address refused the connection, since no process listens on it.
    Refused,
    /// There was no response within the timeout.
    TimedOut,
}

/// Conclusion from the outcome of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The target is alive.
    Alive,
    /// The target is alive and counted as out of reach before.
    AliveAgain,
    /// The check is inconclusive, because this instance may be at fault.
    Inconclusive,
    /// The target was not reached. Other instances have to confirm this.
    Failed,
    /// The target has just been found to be out of reach.
    OutOfReach,
    /// The target is still out of reach.
    StillOutOfReach,
}

/// Whether a target can be reached.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Reachability {
    /// The target can be reached as far as is known.
    Reachable,
    /// The target does not respond to this instance. It may still process requests that it has received before.
    OutOfReach,
    /// The target no longer exists, and nothing that was sent to it will be answered.
    Gone,
}

/// A change of a target's reachability.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachabilityChange {
    /// The target.
    pub target: TargetId,
    /// The new reachability.
    pub reachability: Reachability,
    /// Number of checks by this instance that had failed in a row.
    pub failed: u32,
    /// Age of the newest failed check, by this instance or a peer. Zero if there was none.
    pub evidence_age: Duration,
}

/// The finding that a target is out of reach.
#[derive(Clone, Copy, Debug)]
struct UnreachableFinding {
    /// Time of the newest failed check, by this instance or a peer.
    renewed_at: Timestamp,
    /// Interval after `renewed_at` at which the target is checked again and the finding is no longer valid.
    interval: Duration,
    /// Number of checks by this instance since the target was found to be out of reach.
    rechecks: u32,
}

impl UnreachableFinding {
    fn is_valid(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.renewed_at) < self.interval
    }

    fn justifies_reset(&self, now: Timestamp) -> bool {
        now.saturating_sub(self.renewed_at) < RESET_MAX_AGE
    }
}

/// State of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// When the first packet that the target has not answered was sent.
    unanswered_since: Option<Timestamp>,
    last_alive: Timestamp,
    check_started_at: Option<Timestamp>,
    next_check: Timestamp,
    /// Number of checks that have failed in a row, and the time of the last failure.
    failed: u32,
    failed_at: Timestamp,
    /// When another instance last failed to reach the target.
    peer_failed_at: Option<Timestamp>,
    /// Whether another instance has requested a check.
    check_requested: bool,
    /// Present while the target counts as out of reach and is checked again.
    finding: Option<UnreachableFinding>,
    /// When another target was found to have taken over the address.
    gone_at: Option<Timestamp>,
}

impl Record {
    /// Marks the target as out of reach if there is sufficient evidence. Returns whether it was not marked before.
    fn conclude(&mut self, now: Timestamp, alone: bool) -> bool {
        let confirmed = self.peer_failed_at.is_some_and(|at| now.saturating_sub(at) < FAILURE_VALIDITY);
        let failed = if now.saturating_sub(self.failed_at) < FAILURE_VALIDITY { self.failed } else { 0 };
        let sufficient = failed >= 1 && confirmed || failed >= FAILED_CHECKS_WHEN_ALONE && alone;
        if self.finding.is_some() || !sufficient {
            return false;
        }
        self.finding = Some(UnreachableFinding { renewed_at: now, interval: RECHECK_FIRST, rechecks: 0 });
        self.next_check = now + RECHECK_FIRST;
        true
    }

    /// Returns whether there may be a reason to check the target, now or later, or a check is under way.
    fn may_need_check(&self) -> bool {
        let Self { unanswered_since, check_started_at, check_requested, finding, .. } = self;
        unanswered_since.is_some() || check_started_at.is_some() || *check_requested || finding.is_some()
    }

    /// Schedules the next check of a target that is out of reach, after one that did not succeed. Only a conclusive
    /// failure renews the finding.
    fn recheck_later(&mut self, now: Timestamp, conclusive: bool) {
        if let Some(finding) = &mut self.finding {
            finding.rechecks = finding.rechecks.saturating_add(1);
            let interval = backoff::exponential_backoff(RECHECK_FIRST, finding.rechecks, RECHECK_MAX);
            if conclusive {
                (finding.renewed_at, finding.interval) = (now, interval);
            }
            self.next_check = now + interval;
        }
    }

    fn reachability(&self, now: Timestamp) -> Reachability {
        match self.finding {
            _ if self.gone_at.is_some() => Reachability::Gone,
            Some(finding) if finding.is_valid(now) => Reachability::OutOfReach,
            _ => Reachability::Reachable,
        }
    }

    /// Returns the change to a new reachability, with the age of its evidence.
    fn change(&self, now: Timestamp, target: TargetId, reachability: Reachability) -> ReachabilityChange {
        let newest_failure = self.peer_failed_at.max((self.failed > 0).then_some(self.failed_at));
        let evidence_age = newest_failure.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        ReachabilityChange { target, reachability, failed: self.failed, evidence_age }
    }

    /// Ends the finding that the target is out of reach. Returns the change if there was such a finding.
    fn end_finding(&mut self, now: Timestamp, target: TargetId) -> Option<ReachabilityChange> {
        let change = self.change(now, target, Reachability::Reachable);
        self.finding.take()?;
        self.failed = 0;
        self.peer_failed_at = None;
        Some(change)
    }
}

/// Reachability checks of all targets to which packets have been sent.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityChecks {
    records: FixedHashMap<TargetId, Record>,
    /// Targets that are gone or have a finding, valid or not. It is empty nearly always, which keeps placement fast.
    marked: FixedHashSet<TargetId>,
    /// Targets that may have a reason for a check: an outstanding answer, a request of a peer or a finding.
    watched: FixedHashSet<TargetId>,
    /// Whether findings never expire, for an experiment.
    keep_findings: bool,
    /// Start of the latest check whose connection was accepted.
    latest_accepted_start: Option<Timestamp>,
    /// Until when failures reported by peers are ignored.
    ignore_peer_failures_until: Timestamp,
    changes: Vec<ReachabilityChange>,
}

impl ReachabilityChecks {
    /// Returns checks without records. `findings_expire` is false only in an experiment.
    #[must_use]
    pub fn new(findings_expire: bool) -> Self {
        Self { keep_findings: !findings_expire, ..Self::default() }
    }

    /// Records that a packet that a target has to answer was sent to it.
    pub fn sent(&mut self, now: Timestamp, target: TargetId) {
        self.records.entry(target).or_default().unanswered_since.get_or_insert(now);
        self.watched.insert(target);
    }

    /// Returns whether any target may have a reason for a check, as of the last call of [`Self::take_due`].
    #[must_use]
    pub fn is_active(&self) -> bool {
        !self.watched.is_empty()
    }

    /// Records a response of a target. Returns whether the target counted as out of reach.
    pub fn answered(&mut self, now: Timestamp, target: TargetId) -> bool {
        let Some(record) = self.records.get_mut(&target).filter(|record| record.gone_at.is_none()) else {
            return false;
        };
        let change = record.end_finding(now, target);
        if change.is_some() {
            self.marked.remove(&target);
        }
        let Record { check_started_at, next_check, .. } = *record;
        *record = Record { last_alive: now, check_started_at, next_check, ..Record::default() };
        self.changes.extend(change);
        change.is_some()
    }

    /// Records that another instance has found a target to be alive.
    pub fn refuted(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target).filter(|record| record.gone_at.is_none()) {
            if let Some(change) = record.end_finding(now, target) {
                self.marked.remove(&target);
                self.changes.push(change);
            }
            record.failed = 0;
            record.peer_failed_at = None;
            record.next_check = record.next_check.max(now + RECHECK_FIRST);
        }
    }

    /// Records that another instance has failed to reach a target. Returns whether the target has become out of
    /// reach.
    pub fn record_peer_failure(&mut self, now: Timestamp, target: TargetId) -> bool {
        if now < self.ignore_peer_failures_until {
            return false;
        }
        let record = self.records.entry(target).or_default();
        record.peer_failed_at = Some(now);
        if let Some(finding) = &mut record.finding {
            finding.renewed_at = now;
        }
        let new = record.conclude(now, false);
        if new {
            self.marked.insert(target);
            self.watched.insert(target);
            self.changes.push(record.change(now, target, Reachability::OutOfReach));
        }
        new
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<ReachabilityChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether another instance has requested a check of a target and the check has not finished.
    #[must_use]
    pub fn is_check_requested(&self, target: TargetId) -> bool {
        self.records.get(&target).is_some_and(|record| record.check_requested)
    }

    /// Discards a check that cannot be performed or whose outcome is unreliable.
    pub fn skip(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target) {
            record.check_started_at = None;
            record.check_requested = false;
            record.next_check = now + RECHECK_ALIVE;
        }
    }

    /// Records that another instance requests a check of a target.
    pub fn request_check(&mut self, target: TargetId) {
        self.records.entry(target).or_default().check_requested = true;
        self.watched.insert(target);
    }

    /// Restarts the answer deadline of each target, after this process was paused. Answers may have arrived that have
    /// not been read, and the reports of peers that are read next may be as old as the pause.
    pub fn process_paused(&mut self, now: Timestamp) {
        self.ignore_peer_failures_until = now + PEER_FAILURE_PAUSE;
        for record in self.records.values_mut().filter(|record| record.unanswered_since.is_some()) {
            record.unanswered_since = Some(now);
        }
    }

    /// Records evidence of another kind that a target does not answer. The target is checked as soon as the minimum
    /// interval since its last response allows.
    pub fn suspect(&mut self, now: Timestamp, target: TargetId) {
        if let Some(record) = self.records.get_mut(&target)
            && let Some(since) = &mut record.unanswered_since
        {
            *since = (*since).min(now.saturating_sub(OVERDUE_MAX));
            if !record.finding.is_some_and(|finding| finding.justifies_reset(now)) {
                record.next_check = record.next_check.min(now.max(record.last_alive + RECHECK_FIRST));
            }
        }
    }

    /// Returns the targets to be checked now and marks their checks as started. `usual` returns the usual request
    /// time of a target. Targets with overdue answers are checked before those that are only checked again.
    pub fn take_due(&mut self, now: Timestamp, usual: impl Fn(TargetId) -> Duration) -> Vec<TargetId> {
        self.expire_findings(now);
        let records = &mut self.records;
        self.watched.retain(|target| records.get(target).is_some_and(Record::may_need_check));
        let is_under_way = |target: &&TargetId| records.get(*target).is_some_and(|it| it.check_started_at.is_some());
        let mut under_way = self.watched.iter().filter(is_under_way).count();
        let mut due = Vec::new();
        for recheck in [false, true] {
            for target in &self.watched {
                let Some(record) = records.get_mut(target) else { continue };
                let overdue = usual(*target).mul_f64(OVERDUE_RATIO).clamp(OVERDUE_MIN, OVERDUE_MAX);
                let is_overdue = record.unanswered_since.is_some_and(|since| now.saturating_sub(since) >= overdue);
                let is_recheck = recheck && record.finding.is_some() && !self.keep_findings;
                let has_reason = if recheck { is_recheck } else { is_overdue };
                let wanted = record.check_requested || (has_reason && now >= record.next_check);
                if wanted && record.check_started_at.is_none() && under_way < MAX_CHECKS {
                    record.check_started_at = Some(now);
                    under_way += 1;
                    due.push(*target);
                }
            }
        }
        if !due.is_empty() {
            due.extend(self.begin_reference_check(now, &due));
        }
        due
    }

    /// Ends the findings that no failed check has renewed for [`FAILURE_VALIDITY`], because the checks were
    /// inconclusive or could not be performed. A new one requires two instances again.
    fn expire_findings(&mut self, now: Timestamp) {
        if self.keep_findings || self.marked.is_empty() {
            return;
        }
        for target in self.marked.iter().copied().collect::<Vec<_>>() {
            let Some(record) = self.records.get_mut(&target) else { continue };
            let renewed_at = record.finding.map(|finding| finding.renewed_at);
            if renewed_at.is_some_and(|at| now.saturating_sub(at) >= FAILURE_VALIDITY) && record.gone_at.is_none() {
                self.marked.remove(&target);
                self.changes.extend(record.end_finding(now, target));
            }
        }
    }

    /// Starts a check of the target that has responded last, if it has responded recently.
    fn begin_reference_check(&mut self, now: Timestamp, due: &[TargetId]) -> Option<TargetId> {
        let is_unchecked = |id: &TargetId, record: &Record| record.check_started_at.is_none() && !due.contains(id);
        let responded_recently =
            |record: &Record| record.failed == 0 && now.saturating_sub(record.last_alive) < REFERENCE_MAX_AGE;
        let candidates =
            self.records.iter_mut().filter(|(id, record)| is_unchecked(id, record) && responded_recently(record));
        let (target, record) = candidates.max_by_key(|(id, record)| (record.last_alive, **id))?;
        record.check_started_at = Some(now);
        Some(*target)
    }

    /// Records the outcome of a check. `alone` states whether this instance knows no other instance.
    pub fn check_finished(&mut self, now: Timestamp, target: TargetId, outcome: CheckOutcome, alone: bool) -> Finding {
        let Some(record) = self.records.get_mut(&target) else { return Finding::Inconclusive };
        let Some(began) = record.check_started_at.take() else { return Finding::Inconclusive };
        record.check_requested = false;
        if outcome == CheckOutcome::Accepted {
            record.next_check = now + RECHECK_ALIVE;
            self.latest_accepted_start = self.latest_accepted_start.max(Some(began));
            return if self.answered(now, target) { Finding::AliveAgain } else { Finding::Alive };
        }
        // A process that was paused has not read what the target sent in the meantime.
        let paused = now.saturating_sub(began) >= CHECK_LIMIT + STALL_MARGIN;
        let reference_failed = self.latest_accepted_start.is_none_or(|at| at < began);
        if paused || reference_failed || record.last_alive >= began {
            record.next_check = now + RECHECK_FIRST;
            record.recheck_later(now, false);
            return Finding::Inconclusive;
        }
        record.failed += 1;
        record.failed_at = now;
        if record.conclude(now, alone) {
            self.marked.insert(target);
            self.watched.insert(target);
            self.changes.push(record.change(now, target, Reachability::OutOfReach));
            return Finding::OutOfReach;
        }
        if record.finding.is_some() {
            record.recheck_later(now, true);
            return Finding::StillOutOfReach;
        }
        // The second check follows immediately. After that, other instances have responded or cannot be reached
        // either.
        let delay = backoff::exponential_backoff(
            RECHECK_FIRST,
            record.failed.saturating_sub(FAILED_CHECKS_WHEN_ALONE),
            RECHECK_MAX,
        );
        record.next_check = if record.failed < FAILED_CHECKS_WHEN_ALONE { now } else { now + delay };
        Finding::Failed
    }

    /// Records that a target no longer exists, because another target has taken over its address. Returns whether
    /// this was not known before.
    pub fn gone(&mut self, now: Timestamp, target: TargetId) -> bool {
        let record = self.records.entry(target).or_default();
        let new = record.gone_at.is_none();
        if new {
            record.gone_at = Some(now);
            self.marked.insert(target);
            self.changes.push(record.change(now, target, Reachability::Gone));
        }
        new
    }

    /// Returns whether a target can be reached, which decides whether it may get new flows. Resets require
    /// [`Self::reset_reason`] in addition, so that no flow is placed on a target whose flows are reset.
    #[must_use]
    pub fn reachability(&self, now: Timestamp, target: TargetId) -> Reachability {
        if !self.marked.contains(&target) {
            return Reachability::Reachable;
        }
        let now = if self.keep_findings { Timestamp::ZERO } else { now };
        self.records.get(&target).map_or(Reachability::Reachable, |record| record.reachability(now))
    }

    /// Returns whether a target counts as out of reach by a finding that is no longer valid. It has to be checked again
    /// and ranks behind others until then.
    #[must_use]
    pub fn is_lapsed(&self, now: Timestamp, target: TargetId) -> bool {
        self.marked.contains(&target) && self.reachability(now, target) == Reachability::Reachable
    }

    /// Returns why open flows of a target may be reset, if they may.
    #[must_use]
    pub fn reset_reason(&self, now: Timestamp, target: TargetId) -> Option<Reachability> {
        let record = self.records.get(&target).filter(|_| self.marked.contains(&target))?;
        let justified = |finding: UnreachableFinding| self.keep_findings || finding.justifies_reset(now);
        match record.finding {
            _ if record.gone_at.is_some() => Some(Reachability::Gone),
            Some(finding) if justified(finding) => Some(Reachability::OutOfReach),
            _ => None,
        }
    }

    /// Returns whether a target counts as out of reach by a finding that is too old to reset flows, so that it has to be
    /// checked first.
    #[must_use]
    pub fn needs_check(&self, now: Timestamp, target: TargetId) -> bool {
        self.marked.contains(&target) && self.reset_reason(now, target).is_none()
    }

    /// Returns the number of targets that are out of reach or gone.
    #[must_use]
    pub fn count_unreachable(&self, now: Timestamp) -> usize {
        self.marked.iter().filter(|target| self.reachability(now, **target) != Reachability::Reachable).count()
    }

    /// Removes the targets for which `known_since` returns `None`, and the findings about earlier starts of the others:
    /// `known_since` returns when this instance learned of the present start of a target.
    pub fn retain(&mut self, now: Timestamp, known_since: impl Fn(TargetId) -> Option<Timestamp>) {
        self.records.retain(|id, _| known_since(*id).is_some());
        for target in self.marked.iter().copied().collect::<Vec<_>>() {
            let Some((record, started)) = self.records.get_mut(&target).zip(known_since(target)) else {
                self.marked.remove(&target);
                continue;
            };
            let found_at = record.gone_at.max(record.finding.map(|finding| finding.renewed_at));
            if found_at.is_some_and(|at| at < started) {
                self.changes.push(record.change(now, target, Reachability::Reachable));
                *record = Record::default();
                self.marked.remove(&target);
            }
        }
    }
}
