//! Dissemination: which member updates are piggybacked on a heartbeat.
//!
//! As in SWIM, each update is sent a few times more than the logarithm of the fleet size, which reaches every member
//! with high probability. The updates sent least often go first: an order by instance id would delay the updates of
//! high ids until those of low ids are done, which takes seconds when a large fleet starts.

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::Membership;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use hawthornshift_model::InstanceId;

/// Number of times that each update is sent in addition to the logarithm of the fleet size.
const EXTRA_TRANSMITS: u32 = 2;
/// Maximum size of the updates on one heartbeat, in bytes; together with the sender's description and the other fields
/// they fit in a datagram.
const MAX_PIGGYBACK_BYTES: usize = 1_100;
/// Maximum number of members on one heartbeat to a peer whose view differs, on paths that have no other way to compare
/// views.
const MAX_RANDOM_UPDATES: usize = 16;

/// How a peer's view compares to the local one, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerView {
    /// The peer's view is not known.
    Unknown,
    /// The views are equal.
    Same,
    /// The views differ.
    Differs,
}

impl Membership {
    /// Returns the number of times that an update is sent.
    pub(super) fn transmit_limit(&self) -> u32 {
        let fleet_size = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        fleet_size.ilog2() + EXTRA_TRANSMITS
    }

    /// Returns the updates to piggyback on the next heartbeat to `to`: those sent least often, as many as fit.
    ///
    /// The state recorded for the recipient itself goes first, unless it is alive. Only the recipient can refute a
    /// suspicion, and it must learn of it well before the suspicion timeout. If the update were included only by
    /// chance, it would sometimes arrive too late, and a working instance would be declared dead.
    ///
    /// A peer with the same view needs no updates. It has them all, so each update counts as sent once; otherwise the
    /// updates of a fleet's start would continue long after every member has received them.
    pub fn piggyback_updates(&mut self, to: InstanceId, view: PeerView) -> Vec<MemberUpdate> {
        let recipient_state = self.member(to).filter(|update| update.state > MemberState::Alive);
        let mut updates: Vec<MemberUpdate> = recipient_state.cloned().into_iter().collect();
        if view == PeerView::Same {
            let pending: Vec<InstanceId> = self.members.pending().filter(|id| *id != to).collect();
            for id in pending {
                self.count_transmit(id);
            }
            return updates;
        }
        let mut remaining_bytes =
            MAX_PIGGYBACK_BYTES.saturating_sub(updates.iter().map(MemberUpdate::max_encoded_len).sum());
        let mut sent = Vec::new();
        for id in self.members.pending().filter(|id| *id != to) {
            let Some(update) = self.member(id) else { continue };
            let bytes = update.max_encoded_len();
            if bytes > remaining_bytes {
                break;
            }
            remaining_bytes -= bytes;
            updates.push(update.clone());
            sent.push(id);
        }
        for id in sent {
            self.count_transmit(id);
        }
        updates
    }

    /// Counts a member's latest update as sent once more.
    fn count_transmit(&mut self, id: InstanceId) {
        self.members.modify(id, |member| member.transmits_left = member.transmits_left.saturating_sub(1));
    }

    /// Adds random members to the updates for a peer whose view differs, since it may lack any of them.
    pub fn add_random_updates(&self, rng: &mut SmallRng, updates: &mut Vec<MemberUpdate>) {
        let known = self.members.values().filter(|member| member.update.state != MemberState::Listed);
        let more = known.map(|member| &member.update).filter(|update| !updates.contains(update));
        let more = more.choose_multiple(rng, MAX_RANDOM_UPDATES.saturating_sub(updates.len()));
        let more: Vec<MemberUpdate> = more.into_iter().cloned().collect();
        updates.extend(more);
    }
}
