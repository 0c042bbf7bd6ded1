//! Failure detection: direct ping, indirect ping, suspicion, declaration of death.
//!
//! A suspicion stays local to the instance that has it and to its subject, which is notified immediately and refutes
//! it. Suspicions are not disseminated: many instances that pause briefly would fill all heartbeats with suspicions and
//! their refutations, and some refutations would arrive too late. A death is disseminated, and its subject can refute
//! it.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::Member;
use super::Membership;
use super::Probe;
use super::ProbeMessage;
use crate::Timestamp;
use crate::message::MemberState;
use crate::message::Sequence;
use hawthornshift_model::InstanceId;

/// Number of instances that are asked to ping an unresponsive one.
const INDIRECT_PINGS: usize = 2;
/// Time after which a dead instance that the platform no longer lists is removed.
const DEAD_RETENTION: Duration = Duration::from_mins(1);
/// Interval between two removals of such instances.
const REMOVAL_PERIOD: Duration = Duration::from_secs(1);

impl Membership {
    /// Performs the periodic work: sends pings and expires probes, suspicions and dead members.
    pub fn tick(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<ProbeMessage> {
        let mut messages = self.expire_probes(now, rng);
        self.expire_members(now);
        if now >= self.next_ping {
            let jitter = self.tuning.ping_period.mul_f64(rng.random_range(0.0..0.2));
            self.next_ping = now + self.tuning.ping_period.mul_f64(0.9) + jitter;
            let subjects = self.next_subjects(rng);
            messages.extend(subjects.into_iter().map(|subject| self.ping(now, subject, None)));
        }
        messages
    }

    /// Returns the time of the next ping or of the next timeout of one, whichever is earlier. Suspicions may be expired
    /// somewhat later than they end.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let timeout = self.tuning.ping_timeout;
        let timeouts = self.probes.values().map(|probe| {
            let retried = probe.indirect || probe.requested_by.is_some();
            probe.sent + if retried { timeout * 2 } else { timeout }
        });
        timeouts.fold(self.next_ping, Timestamp::min)
    }

    /// Pings several random members at once, to refresh a view that may be outdated.
    pub fn refresh(&mut self, now: Timestamp, rng: &mut SmallRng, count: usize) -> Vec<ProbeMessage> {
        let candidates = self.members().filter(|update| update.state != MemberState::Dead);
        let subjects = candidates.map(|update| update.id).choose_multiple(rng, count);
        subjects.into_iter().map(|subject| self.ping(now, subject, None)).collect()
    }

    /// Returns the sequence number of the next ping.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next_sequence
    }

    fn ping(
        &mut self,
        now: Timestamp,
        subject: InstanceId,
        requested_by: Option<(InstanceId, Sequence)>,
    ) -> ProbeMessage {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.probes.insert(sequence, Probe { subject, sent: now, indirect: false, requested_by });
        ProbeMessage::Ping { to: subject, sequence }
    }

    fn next_subjects(&mut self, rng: &mut SmallRng) -> Vec<InstanceId> {
        let mut subjects = Vec::new();
        while let Some(subject) = self.probe_round.pop() {
            if self.member(subject).is_some_and(|update| update.state != MemberState::Dead) {
                subjects.push(subject);
                break;
            }
        }
        if self.probe_round.is_empty() {
            self.probe_round = self.members.ids().collect();
            self.probe_round.shuffle(rng);
        }
        // A dead member is pinged too; otherwise the two sides of a healed partition would never rediscover each other.
        subjects.extend(self.members.dead().iter().choose(rng));
        // A suspected member is pinged too, so that it learns of the suspicion immediately and can refute it.
        subjects.extend(self.members.suspected().iter().choose(rng));
        subjects
    }

    /// Retries unanswered pings through other instances, then suspects their subjects.
    fn expire_probes(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<ProbeMessage> {
        let mut messages = Vec::new();
        let late = |probe: &Probe, limit: Duration| now.saturating_sub(probe.sent) >= limit;
        let timeout = self.tuning.ping_timeout;
        let overdue: Vec<Sequence> =
            self.probes.iter().filter(|(_, probe)| late(probe, timeout)).map(|(sequence, _)| *sequence).collect();
        for sequence in overdue {
            let Some(probe) = self.probes.get_mut(&sequence) else { continue };
            if !probe.indirect && probe.requested_by.is_none() {
                probe.indirect = true;
                let subject = probe.subject;
                messages.extend(self.indirect_pings(sequence, subject, rng));
            } else if late(probe, timeout * 2) {
                let probe = self.probes.remove(&sequence);
                if let Some(probe) = probe.filter(|probe| probe.requested_by.is_none()) {
                    self.suspect(now, probe.subject);
                }
            }
        }
        messages
    }

    fn indirect_pings(&self, sequence: Sequence, subject: InstanceId, rng: &mut SmallRng) -> Vec<ProbeMessage> {
        let others = self.reachable().filter(|update| update.id != subject).map(|update| update.id);
        let others = others.choose_multiple(rng, INDIRECT_PINGS);
        others.into_iter().map(|to| ProbeMessage::IndirectPing { to, sequence, subject }).collect()
    }

    fn suspect(&mut self, now: Timestamp, subject: InstanceId) {
        let transmit_limit = self.transmit_limit();
        // A leaving member serves nothing any more, so declaring it dead without a suspicion timeout loses nothing.
        let state = match self.member(subject).map(|update| update.state) {
            Some(MemberState::Alive) => MemberState::Suspect,
            Some(MemberState::Leaving) => MemberState::Dead,
            _ => return,
        };
        let transmits_left = if state == MemberState::Suspect { 0 } else { transmit_limit };
        self.enter_state(now, subject, state, transmits_left);
    }

    fn enter_state(&mut self, now: Timestamp, subject: InstanceId, state: MemberState, transmits_left: u32) {
        self.members.modify(subject, |member| {
            member.update.state = state;
            member.since = now;
            member.transmits_left = transmits_left;
        });
        self.changes.push((subject, state));
    }

    /// Declares members dead whose suspicion timed out, and removes those that have been dead for long enough.
    fn expire_members(&mut self, now: Timestamp) {
        let transmit_limit = self.transmit_limit();
        for id in self.members_since(now, self.members.suspected(), self.tuning.suspicion) {
            self.enter_state(now, id, MemberState::Dead, transmit_limit);
        }
        if now >= self.next_removal {
            self.next_removal = now + REMOVAL_PERIOD;
            for id in self.members_since(now, self.members.removable(), DEAD_RETENTION) {
                self.members.remove(id);
            }
        }
    }

    /// Returns those of `ids` that have been in their state for at least `span`.
    fn members_since(&self, now: Timestamp, ids: &BTreeSet<InstanceId>, span: Duration) -> Vec<InstanceId> {
        let overdue = |member: &Member| now.saturating_sub(member.since) >= span;
        ids.iter().copied().filter(|id| self.members.get(*id).is_some_and(overdue)).collect()
    }

    /// Records that an instance could not be reached at all, so that its pings time out immediately.
    pub fn unreachable(&mut self, now: Timestamp, subject: InstanceId) {
        for probe in self.probes.values_mut().filter(|probe| probe.subject == subject && !probe.indirect) {
            probe.sent = now.saturating_sub(self.tuning.ping_timeout);
        }
    }

    /// Handles the ack of a ping, and returns the indirect ack if the ping was sent for another instance.
    pub fn acknowledged(&mut self, now: Timestamp, sequence: Sequence, from: InstanceId) -> Option<ProbeMessage> {
        let probe = self.probes.get(&sequence).filter(|probe| probe.subject == from)?;
        let requested_by = probe.requested_by;
        self.probes.remove(&sequence);
        self.restart_suspicion(now, from);
        requested_by.map(|(to, sequence)| ProbeMessage::IndirectAck { to, sequence, subject: from })
    }

    /// Handles an indirect ack: another instance received an ack from `subject`.
    pub fn acknowledged_indirectly(&mut self, now: Timestamp, sequence: Sequence, subject: InstanceId) {
        if self.probes.get(&sequence).is_some_and(|probe| probe.subject == subject) {
            self.probes.remove(&sequence);
            self.restart_suspicion(now, subject);
        }
    }

    /// Restarts the suspicion timeout of a member that has just responded; it refutes the suspicion itself.
    pub(super) fn restart_suspicion(&mut self, now: Timestamp, subject: InstanceId) {
        if self.members.suspected().contains(&subject) {
            self.members.modify(subject, |member| member.since = now);
        }
    }

    /// Pings an instance on behalf of another one that received no ack.
    pub fn ping_for(
        &mut self,
        now: Timestamp,
        subject: InstanceId,
        requester: InstanceId,
        sequence: Sequence,
    ) -> Option<ProbeMessage> {
        self.member(subject).is_some().then(|| self.ping(now, subject, Some((requester, sequence))))
    }
}
