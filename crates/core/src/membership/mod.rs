//! Cluster membership: the platform's instance list, which lags, refined by a SWIM-style failure detector.
//!
//! In each period an instance pings one other, in an order that is reshuffled every round. The load per instance
//! therefore does not grow with the fleet, and an unresponsive instance is found within about two periods at any fleet
//! size. A ping without an ack is retried through two other instances, since a single broken path must not remove an
//! instance from every view. Only then is the instance suspected, and it is declared dead only if it does not refute
//! the suspicion before the timeout. Updates are piggybacked on heartbeats.
//!
//! - `failure_detector` pings members, suspects them and declares them dead.
//! - `dissemination` piggybacks member updates on heartbeats.
//! - `anti_entropy` compares whole views and transfers what a peer lacks.
//!
//! Each start of an instance has its own incarnation. A restart under the same id and address has a higher one, which
//! invalidates all updates about the previous incarnation. Within an incarnation only the instance itself increments
//! its version, to refute an update.

mod anti_entropy;
mod dissemination;
mod failure_detector;
mod table;

use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use self::anti_entropy::ViewDigest;
pub use self::dissemination::PeerView;
use self::table::MemberTable;
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

/// Identity of this process, from its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of this start of the instance.
    pub incarnation: Incarnation,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Address that receives messages between instances.
    pub control: SocketAddr,
    /// Address that receives forwarded packets.
    pub forward: SocketAddr,
}

/// What is known of another instance.
#[derive(Clone, Debug)]
struct Member {
    update: MemberUpdate,
    /// When it entered its current state or, for a suspected member, when its suspicion timeout was last restarted.
    since: Timestamp,
    /// Whether the platform's latest list contains it.
    listed: bool,
    /// Number of heartbeats that its latest update will still be piggybacked on.
    transmits_left: u32,
}

/// A ping whose ack is pending.
#[derive(Clone, Debug)]
struct Probe {
    subject: InstanceId,
    sent: Timestamp,
    indirect: bool,
    /// The instance that requested an indirect ping, and its sequence number for it.
    requested_by: Option<(InstanceId, Sequence)>,
}

/// A probe message to send; the node adds the piggybacked contents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeMessage {
    /// A ping.
    Ping {
        /// The recipient.
        to: InstanceId,
        /// The ping's sequence number.
        sequence: Sequence,
    },
    /// A request to ping another instance.
    IndirectPing {
        /// The recipient.
        to: InstanceId,
        /// The sequence number of the unanswered ping.
        sequence: Sequence,
        /// The instance to ping.
        subject: InstanceId,
    },
    /// The ack to an indirect ping.
    IndirectAck {
        /// The recipient.
        to: InstanceId,
        /// The requester's sequence number.
        sequence: Sequence,
        /// The instance that responded.
        subject: InstanceId,
    },
}

/// This instance's view of all other instances.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberUpdate,
    tuning: Tuning,
    members: MemberTable,
    probe_round: Vec<InstanceId>,
    probes: BTreeMap<Sequence, Probe>,
    next_sequence: Sequence,
    next_ping: Timestamp,
    next_removal: Timestamp,
    last_contact: Option<Timestamp>,
    list_version: u64,
    changes: Vec<(InstanceId, MemberState)>,
    superseded: bool,
    /// Incarnation in the latest update that named a newer incarnation of this instance's id.
    reported_incarnation: Incarnation,
    declared_dead: bool,
}

impl Membership {
    /// Creates a view without any other instance.
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
            members: MemberTable::default(),
            probe_round: Vec::new(),
            probes: BTreeMap::new(),
            next_sequence: 1,
            next_ping: Timestamp::ZERO,
            next_removal: Timestamp::ZERO,
            last_contact: None,
            list_version: 0,
            changes: Vec::new(),
            superseded: false,
            reported_incarnation: 0,
            declared_dead: false,
        }
    }

    /// Returns this instance as it describes itself to peers.
    #[must_use]
    pub fn me(&self) -> &MemberUpdate {
        &self.me
    }

    /// Returns what is known of another instance.
    #[must_use]
    pub fn member(&self, id: InstanceId) -> Option<&MemberUpdate> {
        self.members.get(id).map(|member| &member.update)
    }

    /// Returns what is known of all other instances.
    pub fn members(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members.values().map(|member| &member.update)
    }

    /// Returns the other instances that are considered reachable, including leaving ones.
    pub fn reachable(&self) -> impl Iterator<Item = &MemberUpdate> {
        self.members().filter(|update| update.state.is_reachable())
    }

    /// Returns the version of the platform's list in use.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns whether a newer incarnation of this instance's id exists.
    #[must_use]
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Raises this instance's incarnation above the newer one that a peer reported.
    ///
    /// Only for an instance that holds no state which a later incarnation could contradict. If its clock was set back
    /// before it started, peers would otherwise ignore it until the clock has caught up.
    pub fn raise_incarnation(&mut self) {
        self.me.incarnation = self.reported_incarnation + 1;
        self.superseded = false;
    }

    /// Returns whether peers declared this instance dead since the last call, and resets the flag.
    pub fn take_declared_dead(&mut self) -> bool {
        std::mem::take(&mut self.declared_dead)
    }

    /// Returns and clears the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(InstanceId, MemberState)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the serving instances, including this one, with their failure domains.
    pub fn serving(&self) -> impl Iterator<Item = (ServingInstance, &str)> {
        let serves = |update: &&MemberUpdate| matches!(update.state, MemberState::Alive | MemberState::Suspect);
        let all = std::iter::once(&self.me).chain(self.members());
        all.filter(serves).map(|update| {
            (ServingInstance { id: update.id, incarnation: update.incarnation }, update.failure_domain.as_str())
        })
    }

    /// Returns the number of serving instances, including this one if it serves.
    #[must_use]
    pub fn serving_count(&self) -> usize {
        self.members.serving() + usize::from(matches!(self.me.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Returns whether a message from a peer arrived within the lease, so that the view can be trusted, or no other
    /// instance is considered alive.
    #[must_use]
    pub fn has_recent_contact(&self, now: Timestamp) -> bool {
        let alone = self.members.serving() == 0;
        alone || self.last_contact.is_some_and(|at| now.saturating_sub(at) < self.tuning.lease)
    }

    /// Marks this instance as leaving.
    pub fn leave(&mut self) {
        self.me.state = MemberState::Leaving;
        self.me.version += 1;
    }

    /// Marks this instance as dead, for the messages sent to peers just before the process exits.
    pub fn depart(&mut self) {
        self.me.state = MemberState::Dead;
        self.me.version += 1;
    }

    /// Applies the platform's instance list.
    ///
    /// The list lags, so it only adds candidates to ping and determines which members may be removed; it never marks a
    /// member alive or dead. A leaving mark is applied, because the platform sets it before the instance reports it
    /// itself.
    pub fn apply_instance_list(&mut self, now: Timestamp, list: &InstanceList) {
        if list.version < self.list_version {
            return;
        }
        self.list_version = list.version;
        let ids: Vec<InstanceId> = self.members.ids().collect();
        for id in ids {
            self.members.modify(id, |member| member.listed = false);
        }
        let me = self.me.id;
        for entry in list.instances.iter().filter(|entry| entry.id != me) {
            self.apply_list_entry(now, entry);
        }
    }

    fn apply_list_entry(&mut self, now: Timestamp, entry: &ListedInstance) {
        let placeholder = MemberUpdate {
            id: entry.id,
            incarnation: 0,
            version: 0,
            state: MemberState::Listed,
            failure_domain: entry.failure_domain.clone(),
            control: entry.control,
            forward: entry.forward,
        };
        if self.member(entry.id).is_none() {
            self.members.insert(Member { update: placeholder, since: now, listed: true, transmits_left: 0 });
        }
        let starts_leaving = self.members.modify(entry.id, |member| {
            member.listed = true;
            let starts_leaving = entry.leaving && member.update.state == MemberState::Alive;
            if starts_leaving {
                member.update.state = MemberState::Leaving;
                member.since = now;
            }
            starts_leaving
        });
        if starts_leaving == Some(true) {
            self.changes.push((entry.id, MemberState::Leaving));
        }
    }

    /// Records that a message arrived from an instance, which describes itself in each message.
    pub fn message_received(&mut self, now: Timestamp, sender: &MemberUpdate) {
        self.last_contact = Some(now);
        self.merge_update(now, sender);
        // A message from the subject restarts a local suspicion's timeout. The subject refutes the suspicion itself
        // once it learns of it.
        if self.member(sender.id).is_some_and(|update| update.incarnation == sender.incarnation) {
            self.restart_suspicion(now, sender.id);
        }
    }

    /// Merges the updates of several instances.
    pub fn merge_updates(&mut self, now: Timestamp, updates: &[MemberUpdate]) {
        for update in updates {
            self.merge_update(now, update);
        }
    }

    /// Merges the update of an instance if it is newer than the known state.
    pub fn merge_update(&mut self, now: Timestamp, update: &MemberUpdate) {
        if update.id == self.me.id {
            self.handle_self_update(update);
            return;
        }
        if update.state == MemberState::Listed {
            return;
        }
        let transmits_left = self.transmit_limit();
        let Some(member) = self.members.get(update.id) else {
            self.members.insert(Member { update: update.clone(), since: now, listed: false, transmits_left });
            self.changes.push((update.id, update.state));
            return;
        };
        let known = &member.update;
        if update.rank() <= known.rank() {
            return;
        }
        let changed = known.state != update.state || known.incarnation != update.incarnation;
        let (since, listed) = (if changed { now } else { member.since }, member.listed);
        self.members.insert(Member { update: update.clone(), since, listed, transmits_left });
        if changed {
            self.changes.push((update.id, update.state));
        }
    }

    /// Refutes an update about this instance, or records that a newer incarnation of it exists.
    fn handle_self_update(&mut self, update: &MemberUpdate) {
        if update.incarnation > self.me.incarnation {
            self.superseded = true;
            self.reported_incarnation = update.incarnation;
            return;
        }
        if update.incarnation == self.me.incarnation && update.rank() > self.me.rank() {
            self.me.version = update.version + 1;
            self.declared_dead |= update.state == MemberState::Dead;
        }
    }
}
