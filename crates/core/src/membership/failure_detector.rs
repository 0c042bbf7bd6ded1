//! Failure detection: a ping, a try through others, a suspicion, a death.
//!
//! A suspicion concerns the one who has it and its subject, which is told at once and refutes it. It is not spread: many
//! instances that pause for a moment would fill all heartbeats with suspicions and their refutations, and some of these
//! would come too late. A death is spread, and refuted by whoever it is said of.

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

/// Instances asked to ping one that does not answer.
const INDIRECT_PINGS: usize = 2;
/// Time after which an instance that is dead and that the platform no longer lists is forgotten.
const FORGET_DEAD: Duration = Duration::from_mins(1);

impl Membership {
    /// Does what is due: pings, suspicions, deaths, forgetting.
    pub fn tick(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<ProbeMessage> {
        let mut signals = self.give_up_probes(now, rng);
        self.bury(now);
        if now >= self.next_ping {
            let jitter = self.tuning.ping_period.mul_f64(rng.random_range(0.0..0.2));
            self.next_ping = now + self.tuning.ping_period.mul_f64(0.9) + jitter;
            let subjects = self.next_subjects(rng);
            signals.extend(subjects.into_iter().map(|subject| self.ping(now, subject, None)));
        }
        signals
    }

    /// Pings several instances at once, to refresh a view that may be old.
    pub fn refresh(&mut self, now: Timestamp, rng: &mut SmallRng, count: usize) -> Vec<ProbeMessage> {
        let candidates = self.members().filter(|update| update.state != MemberState::Dead);
        let subjects = candidates.map(|update| update.id).choose_multiple(rng, count);
        subjects.into_iter().map(|subject| self.ping(now, subject, None)).collect()
    }

    /// Returns the number that the next ping will have.
    #[must_use]
    pub fn next_sequence(&self) -> Sequence {
        self.next_sequence
    }

    fn ping(&mut self, now: Timestamp, subject: InstanceId, on_behalf: Option<(InstanceId, Sequence)>) -> ProbeMessage {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.probes.insert(sequence, Probe { subject, sent: now, indirect: false, on_behalf });
        ProbeMessage::Ping { to: subject, sequence }
    }

    fn next_subjects(&mut self, rng: &mut SmallRng) -> Vec<InstanceId> {
        let mut subjects = Vec::new();
        while let Some(subject) = self.round.pop() {
            if self.members.get(&subject).is_some_and(|member| member.update.state != MemberState::Dead) {
                subjects.push(subject);
                break;
            }
        }
        if self.round.is_empty() {
            self.round = self.members.keys().copied().collect();
            self.round.shuffle(rng);
        }
        // One that counts as dead is asked too, or the two sides of a healed partition would never find each other.
        let dead = self.members.values().filter(|member| member.update.state == MemberState::Dead);
        subjects.extend(dead.map(|member| member.update.id).choose(rng));
        // One that is suspected hears of it at once and can refute.
        let suspected = |member: &&Member| member.update.state == MemberState::Suspect;
        subjects.extend(self.members.values().filter(suspected).map(|member| member.update.id).choose(rng));
        subjects
    }

    /// Tries silent pings through others, then suspects their subjects.
    fn give_up_probes(&mut self, now: Timestamp, rng: &mut SmallRng) -> Vec<ProbeMessage> {
        let mut signals = Vec::new();
        let late = |probe: &Probe, limit: Duration| now.saturating_sub(probe.sent) >= limit;
        let timeout = self.tuning.ping_timeout;
        let overdue: Vec<Sequence> =
            self.probes.iter().filter(|(_, probe)| late(probe, timeout)).map(|(sequence, _)| *sequence).collect();
        for sequence in overdue {
            let Some(probe) = self.probes.get_mut(&sequence) else { continue };
            if !probe.indirect && probe.on_behalf.is_none() {
                probe.indirect = true;
                let subject = probe.subject;
                signals.extend(self.ask_others(sequence, subject, rng));
            } else if late(probe, timeout * 2) {
                let probe = self.probes.remove(&sequence);
                if let Some(probe) = probe.filter(|probe| probe.on_behalf.is_none()) {
                    self.suspect(now, probe.subject);
                }
            }
        }
        signals
    }

    fn ask_others(&self, sequence: Sequence, subject: InstanceId, rng: &mut SmallRng) -> Vec<ProbeMessage> {
        let others = self.reachable().filter(|update| update.id != subject).map(|update| update.id);
        let others = others.choose_multiple(rng, INDIRECT_PINGS);
        others.into_iter().map(|to| ProbeMessage::IndirectPing { to, sequence, subject }).collect()
    }

    fn suspect(&mut self, now: Timestamp, subject: InstanceId) {
        let sends = self.sends();
        let Some(member) = self.members.get_mut(&subject) else { return };
        // One that is leaving serves nothing any more, so nothing is lost by counting it as dead at once.
        let state = match member.update.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            _ => return,
        };
        member.update.state = state;
        member.since = now;
        member.sends_left = if state == MemberState::Suspect { 0 } else { sends };
        self.changes.push((subject, state));
    }

    /// Counts as dead what was suspected for long enough, and forgets what has long been dead.
    fn bury(&mut self, now: Timestamp) {
        let sends = self.sends();
        let suspicion = self.tuning.suspicion;
        for member in self.members.values_mut() {
            let overdue = now.saturating_sub(member.since) >= suspicion;
            if member.update.state == MemberState::Suspect && overdue {
                member.update.state = MemberState::Dead;
                member.since = now;
                member.sends_left = sends;
                self.changes.push((member.update.id, MemberState::Dead));
            }
        }
        let gone = |member: &Member| {
            let dead = matches!(member.update.state, MemberState::Dead | MemberState::Listed);
            dead && !member.listed && now.saturating_sub(member.since) >= FORGET_DEAD
        };
        self.members.retain(|_, member| !gone(member));
    }

    /// Notes that an instance could not be reached at all, which needs no waiting for a timeout.
    pub fn unreachable(&mut self, now: Timestamp, subject: InstanceId) {
        for probe in self.probes.values_mut().filter(|probe| probe.subject == subject && !probe.indirect) {
            probe.sent = now.saturating_sub(self.tuning.ping_timeout);
        }
    }

    /// Notes the answer to a ping and returns word to the one it was sent for.
    pub fn acknowledged(&mut self, now: Timestamp, sequence: Sequence, from: InstanceId) -> Option<ProbeMessage> {
        let probe = self.probes.get(&sequence).filter(|probe| probe.subject == from)?;
        let on_behalf = probe.on_behalf;
        self.probes.remove(&sequence);
        self.settle(now, from);
        on_behalf.map(|(to, sequence)| ProbeMessage::IndirectAck { to, sequence, subject: from })
    }

    /// Notes word from a third instance that one has answered.
    pub fn acknowledged_indirectly(&mut self, now: Timestamp, sequence: Sequence, subject: InstanceId) {
        if self.probes.get(&sequence).is_some_and(|probe| probe.subject == subject) {
            self.probes.remove(&sequence);
            self.settle(now, subject);
        }
    }

    /// Restarts the suspicion time of an instance that has just answered: it will refute the rumour itself.
    fn settle(&mut self, now: Timestamp, subject: InstanceId) {
        if let Some(member) = self.members.get_mut(&subject)
            && member.update.state == MemberState::Suspect
        {
            member.since = now;
        }
    }

    /// Pings an instance for another that got no answer.
    pub fn ping_for(
        &mut self,
        now: Timestamp,
        subject: InstanceId,
        asker: InstanceId,
        sequence: Sequence,
    ) -> Option<ProbeMessage> {
        self.members.contains_key(&subject).then(|| self.ping(now, subject, Some((asker, sequence))))
    }
}
