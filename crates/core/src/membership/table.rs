//! The table of members and what is derived from it.
//!
//! Every heartbeat states a hash of the view and the number of serving instances, and carries the updates that were sent
//! least often. Computing these from all members for each heartbeat would make the work per message grow with the fleet,
//! so they follow each change of a member instead.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Member;
use super::anti_entropy::ViewDigest;
use crate::message::MemberState;
use hawthornshift_model::InstanceId;

/// All other instances that are known.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<InstanceId, Member>,
    digest: ViewDigest,
    /// Number of members that are considered alive, including suspected ones.
    serving: usize,
    suspected: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    /// Members that are dead or have sent no message yet, and that the platform's latest list does not contain.
    removable: BTreeSet<InstanceId>,
    /// Members whose latest update is still to be sent, those whose update was sent least often first.
    pending: BTreeSet<(Reverse<u32>, InstanceId)>,
}

impl MemberTable {
    /// Returns the number of members, whatever their state.
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns a member.
    pub(super) fn get(&self, id: InstanceId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns the ids of all members in ascending order.
    pub(super) fn ids(&self) -> impl Iterator<Item = InstanceId> {
        self.members.keys().copied()
    }

    /// Returns all members in the order of their ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the digest of all members.
    pub(super) fn digest(&self) -> &ViewDigest {
        &self.digest
    }

    /// Returns the number of members that are considered alive, including suspected ones.
    pub(super) fn serving(&self) -> usize {
        self.serving
    }

    /// Returns the suspected members in the order of their ids.
    pub(super) fn suspected(&self) -> &BTreeSet<InstanceId> {
        &self.suspected
    }

    /// Returns the dead members in the order of their ids.
    pub(super) fn dead(&self) -> &BTreeSet<InstanceId> {
        &self.dead
    }

    /// Returns the members that are dead or have sent no message yet, and that the platform's latest list does not
    /// contain, in the order of their ids.
    pub(super) fn removable(&self) -> &BTreeSet<InstanceId> {
        &self.removable
    }

    /// Returns the members whose latest update is still to be sent, those whose update was sent least often first.
    pub(super) fn pending(&self) -> impl Iterator<Item = InstanceId> {
        self.pending.iter().map(|(_, id)| *id)
    }

    /// Inserts or replaces a member.
    pub(super) fn insert(&mut self, member: Member) {
        self.remove(member.update.id);
        self.derive_added(&member);
        self.members.insert(member.update.id, member);
    }

    /// Removes a member.
    pub(super) fn remove(&mut self, id: InstanceId) -> Option<Member> {
        let member = self.members.remove(&id)?;
        self.derive_removed(&member);
        Some(member)
    }

    /// Changes a member. Returns what `change` returns, or `None` if the member is not known.
    pub(super) fn modify<T>(&mut self, id: InstanceId, change: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let mut member = self.remove(id)?;
        let result = change(&mut member);
        self.insert(member);
        Some(result)
    }

    fn derive_added(&mut self, member: &Member) {
        let id = member.update.id;
        self.digest.toggle(&member.update);
        self.serving += usize::from(is_serving(member));
        match member.update.state {
            MemberState::Suspect => drop(self.suspected.insert(id)),
            MemberState::Dead => drop(self.dead.insert(id)),
            MemberState::Listed | MemberState::Alive | MemberState::Leaving => {}
        }
        if !member.listed && matches!(member.update.state, MemberState::Dead | MemberState::Listed) {
            self.removable.insert(id);
        }
        if member.transmits_left > 0 {
            self.pending.insert((Reverse(member.transmits_left), id));
        }
    }

    fn derive_removed(&mut self, member: &Member) {
        let id = member.update.id;
        self.digest.toggle(&member.update);
        self.serving -= usize::from(is_serving(member));
        self.suspected.remove(&id);
        self.dead.remove(&id);
        self.removable.remove(&id);
        self.pending.remove(&(Reverse(member.transmits_left), id));
    }
}

fn is_serving(member: &Member) -> bool {
    matches!(member.update.state, MemberState::Alive | MemberState::Suspect)
}
