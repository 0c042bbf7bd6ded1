//! Who serves: the platform's lagging list, refined by heartbeats.
//!
//! Each period an instance pings one other, in an order shuffled anew each round, so that the cost a node does not
//! grow with the fleet and a silent one is found within about two periods whatever the size. A ping that is not
//! answered is tried through two others, since a single broken path must not take an instance out of everybody's
//! view. Only then is it suspected, and only when the suspicion time passes without it refuting that does it count as
//! dead. News rides on heartbeats.
//!
//! - `failure_detector` pings, suspects and buries.
//! - `dissemination` passes news on, a piece at a time on heartbeats.
//! - `anti_entropy` compares whole views and brings what a peer lacks.
//!
//! A life is told by its incarnation: a restart under the same id and address has a higher one, and everything said
//! of the former life is void. Within a life only the instance itself raises its version, to refute.

mod anti_entropy;
mod dissemination;
mod failure_detector;

use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use self::anti_entropy::ViewDigest;
pub use self::dissemination::PeerView;
use crate::Timestamp;
use crate::event::InstanceList;
use crate::event::ListedInstance;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use crate::message::Sequence;
use crate::tuning::Tuning;
use crate::view::ServingInstance;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;

/// Who this process is; from its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Number of the instance.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Where it takes messages.
    pub control: SocketAddr,
    /// Where it takes forwarded packets.
    pub forward: SocketAddr,
}

/// What is known of one other instance.
#[derive(Clone, Debug)]
struct Member {
    update: MemberUpdate,
    /// When it came to its present state.
    since: Timestamp,
    /// Whether the platform's latest list names it.
    listed: bool,
    /// Heartbeats that the latest news still rides on.
    sends_left: u32,
}

/// A ping that is waited for.
#[derive(Clone, Debug)]
struct Probe {
    subject: InstanceId,
    sent: Timestamp,
    indirect: bool,
    /// For whom the ping was sent, with that instance's number for it.
    on_behalf: Option<(InstanceId, Sequence)>,
}

/// What membership wants sent; the node adds what rides on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeMessage {
    /// A ping.
    Ping {
        /// To whom.
        to: InstanceId,
        /// Its number.
        sequence: Sequence,
    },
    /// A request to ping another.
    IndirectPing {
        /// To whom.
        to: InstanceId,
        /// Its number.
        sequence: Sequence,
        /// Whom to ping.
        subject: InstanceId,
    },
    /// Word that another has answered.
    IndirectAck {
        /// To whom.
        to: InstanceId,
        /// The asker's number.
        sequence: Sequence,
        /// Who has answered.
        subject: InstanceId,
    },
}

/// Everything known of the other instances.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberUpdate,
    tuning: Tuning,
    members: BTreeMap<InstanceId, Member>,
    round: Vec<InstanceId>,
    probes: BTreeMap<Sequence, Probe>,
    next_sequence: Sequence,
    next_ping: Timestamp,
    last_contact: Option<Timestamp>,
    list_version: u64,
    changes: Vec<(InstanceId, MemberState)>,
    superseded: bool,
    /// Highest incarnation of this instance's id that a peer has named.
    known_incarnation: Incarnation,
    buried: bool,
}

impl Membership {
    /// Starts with nobody known.
    #[must_use]
    pub fn new(identity: Identity, tuning: Tuning) -> Self {
        let me = MemberUpdate {
            id: identity.id,
            incarnation: identity.incarnation,
            version: 0,
            state: MemberState::Alive,
            failure_domain: identity.failure_domain,
            control: identity.control,
            forward: identity.forward,
        };
        Self {
            me,
            tuning,
            members: BTreeMap::new(),
            round: Vec::new(),
            probes: BTreeMap::new(),
            next_sequence: 1,
            next_ping: Timestamp::ZERO,
            last_contact: None,
            list_version: 0,
            changes: Vec::new(),
            superseded: false,
            known_incarnation: 0,
            buried: false,
        }
    }

    /// Returns this instance as it presents itself.
    #[must_use]
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Returns what is known of another instance.
    #[must_use]
    pub fn member(&self, id: InstanceId) -> Option<&MemberUpdate> {
        self.members.get(&id).map(|member| &member.update)
    }

    /// Returns what is known of all other instances.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update)
    }

    /// Returns the other instances that can be reached, leaving ones included.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members().filter(|update| update.state.is_reachable())
    }

    /// Returns the version of the platform's list in use.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Tells whether a newer life of this instance's id exists.
    #[must_use]
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Takes an incarnation above the one that others know.
    ///
    /// For an instance that holds nothing a later life could contradict: its clock was set back before it started, and
    /// it would else not be heard until the clock has caught up.
    pub fn outlive(&mut self) {
        self.me.incarnation = self.known_incarnation + 1;
        self.superseded = false;
    }

    /// Tells, once, whether others counted this instance as dead since the last call.
    pub fn take_declared_dead(&mut self) -> bool {
        std::mem::take(&mut self.buried)
    }

    /// Returns and forgets the changes of state since the last call.
    pub fn take_changes(&mut self) -> Vec<(InstanceId, MemberState)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the instances that serve, this one included, with their failure domains.
    pub fn serving(&self) -> impl Iterator<Item = (ServingInstance, &str)> {
        let serves = |update: &&MemberUpdate| matches!(update.state, MemberState::Alive | MemberState::Suspect);
        let all = std::iter::once(&self.me).chain(self.members());
        all.filter(serves).map(|update| {
            (ServingInstance { id: update.id, incarnation: update.incarnation }, update.failure_domain.as_str())
        })
    }

    /// Tells whether word from a peer is fresh enough to trust the view, or no peer is believed to live.
    #[must_use]
    pub fn has_recent_contact(&self, now: Timestamp) -> bool {
        let alone = !self.members().any(|update| matches!(update.state, MemberState::Alive | MemberState::Suspect));
        alone || self.last_contact.is_some_and(|at| now.saturating_sub(at) < self.tuning.lease)
    }

    /// Declares this instance to be leaving.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.me.version += 1;
    }

    /// Declares this instance to be gone; said to peers just before the process ends.
    pub fn depart(&mut self) {
        self.me.state = MemberState::Dead;
        self.me.version += 1;
    }

    /// Takes over the platform's list.
    ///
    /// The list lags, so it adds candidates to ping and marks who may be forgotten; it makes nobody alive and nobody
    /// dead. An entry marked as leaving is believed, since the platform says so before the instance itself does.
    pub fn apply_instance_list(&mut self, now: Timestamp, list: &InstanceList) {
        if list.version < self.list_version {
            return;
        }
        self.list_version = list.version;
        self.members.values_mut().for_each(|member| member.listed = false);
        let me = self.me.id;
        for entry in list.instances.iter().filter(|entry| entry.id != me) {
            self.list_entry(now, entry);
        }
    }

    fn list_entry(&mut self, now: Timestamp, entry: &ListedInstance) {
        let unheard = MemberUpdate {
            id: entry.id,
            incarnation: 0,
            version: 0,
            state: MemberState::Listed,
            failure_domain: entry.failure_domain.clone(),
            control: entry.control,
            forward: entry.forward,
        };
        let member =
            self.members.entry(entry.id).or_insert(Member { update: unheard, since: now, listed: true, sends_left: 0 });
        member.listed = true;
        if entry.leaving && member.update.state == MemberState::Alive {
            member.update.state = MemberState::Leaving;
            member.since = now;
            self.changes.push((entry.id, MemberState::Leaving));
        }
    }

    /// Notes that a message came from an instance, which introduces itself on each.
    pub fn message_received(&mut self, now: Timestamp, sender: &MemberUpdate) {
        self.last_contact = Some(now);
        self.merge_update(now, sender);
        // A direct word ends a suspicion of our own; the subject refutes the rumour itself when it hears of it.
        if let Some(member) = self.members.get_mut(&sender.id) {
            let current = member.update.incarnation == sender.incarnation;
            if current && member.update.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Takes over news of several instances.
    pub fn merge_updates(&mut self, now: Timestamp, updates: &[MemberUpdate]) {
        for update in updates {
            self.merge_update(now, update);
        }
    }

    /// Takes over news of an instance if it is newer than what is known.
    pub fn merge_update(&mut self, now: Timestamp, update: &MemberUpdate) {
        if update.id == self.me.id {
            self.hear_of_myself(update);
            return;
        }
        if update.state == MemberState::Listed {
            return;
        }
        let sends = self.sends();
        match self.members.get_mut(&update.id) {
            None => {
                let member = Member { update: update.clone(), since: now, listed: false, sends_left: sends };
                self.members.insert(update.id, member);
                self.changes.push((update.id, update.state));
            }
            Some(member) if update.rank() > member.update.rank() => {
                if member.update.state != update.state || member.update.incarnation != update.incarnation {
                    self.changes.push((update.id, update.state));
                    member.since = now;
                }
                member.update = update.clone();
                member.sends_left = sends;
            }
            Some(_) => {}
        }
    }

    /// Refutes what is said of this instance, or learns that a later life of it exists.
    fn hear_of_myself(&mut self, update: &MemberUpdate) {
        if update.incarnation > self.me.incarnation {
            self.superseded = true;
            self.known_incarnation = update.incarnation;
            return;
        }
        if update.incarnation == self.me.incarnation && update.rank() > self.me.rank() {
            self.me.version = update.version + 1;
            self.buried |= update.state == MemberState::Dead;
        }
    }
}
