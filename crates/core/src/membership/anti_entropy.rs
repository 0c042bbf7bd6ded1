//! Anti-entropy: two instances compare their views and exchange the differences.
//!
//! Piggybacked updates alone converge slowly when a whole fleet starts: there are more of them than heartbeats can
//! carry, and an update that reached its transmission limit may still have missed some members. A hash on each
//! heartbeat shows whether two views differ. One of the two instances then sends a digest of its view, with one hash
//! per bucket of instance ids, and receives the members of the buckets that differ.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use super::Membership;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use crate::rendezvous;
use hawthornshift_model::InstanceId;

/// Number of hash buckets of a view. With 430 instances, one member that differs causes 13 others to be sent along.
const BUCKETS: usize = 32;
/// Key of the hash that assigns instances to buckets.
const BUCKET_KEY: u64 = 0x62_75_63_6b_65_74;
/// Maximum size of the members in one message, in bytes; together with the sender's description it fits in a datagram.
const MAX_PART_BYTES: usize = 1_250;

/// Hashes of the members that an instance considers alive or leaving, one per bucket of instance ids.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ViewDigest([u32; BUCKETS]);

impl ViewDigest {
    /// Returns a single hash of the whole view.
    #[must_use]
    pub fn combined_hash(&self) -> u64 {
        self.0.iter().fold(0, |hash, bucket| rendezvous::score(hash, u64::from(*bucket)))
    }

    /// Adds a member to the digest, or removes it.
    pub(super) fn toggle(&mut self, update: &MemberUpdate) {
        let reported_state = match update.state {
            MemberState::Listed | MemberState::Dead => return,
            MemberState::Alive | MemberState::Suspect => MemberState::Alive as u64,
            MemberState::Leaving => MemberState::Leaving as u64,
        };
        let incarnation_hash = rendezvous::score(u64::from(update.id), update.incarnation);
        let hash = rendezvous::score(incarnation_hash, reported_state);
        self.0[bucket(update.id)] ^= u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    }
}

/// Returns a member's state as sent to peers. Suspicions are local, so a suspected member is reported as alive.
fn without_suspicion(update: &MemberUpdate) -> MemberUpdate {
    let state = if update.state == MemberState::Suspect { MemberState::Alive } else { update.state };
    MemberUpdate { state, ..update.clone() }
}

fn bucket(id: InstanceId) -> usize {
    usize::try_from(rendezvous::score(BUCKET_KEY, u64::from(id)) % BUCKETS as u64).unwrap_or(0)
}

impl Membership {
    /// Returns all known instances other than those that are only listed by the platform, for a peer that has just
    /// started.
    #[must_use]
    pub fn handover(&self) -> Vec<MemberUpdate> {
        self.members().filter(|update| update.state != MemberState::Listed).map(without_suspicion).collect()
    }

    /// Returns the digest of the local view, including this instance.
    #[must_use]
    pub fn digest(&self) -> ViewDigest {
        let mut digest = self.members.digest().clone();
        digest.toggle(&self.me);
        digest
    }

    /// Returns the known members of the buckets in which a peer's digest differs, as at most `max_parts` messages that
    /// each fit in a datagram.
    ///
    /// Dead members are included so that the peer can distinguish an unknown member from one that has died. The first
    /// bucket is chosen at random, because a peer that lacks more than one answer holds also queries other instances.
    #[must_use]
    pub fn missing(&self, rng: &mut SmallRng, theirs: &ViewDigest, max_parts: usize) -> Vec<Vec<MemberUpdate>> {
        let ours = self.digest();
        let mut buckets: [Vec<&MemberUpdate>; BUCKETS] = [const { Vec::new() }; BUCKETS];
        for update in self.members().filter(|update| update.state != MemberState::Listed) {
            let bucket = bucket(update.id);
            if ours.0[bucket] != theirs.0[bucket] {
                buckets[bucket].push(update);
            }
        }
        buckets.rotate_left(rng.random_range(0..BUCKETS));
        let mut parts: Vec<Vec<MemberUpdate>> = Vec::new();
        let mut remaining_bytes = 0;
        for update in buckets.into_iter().flatten() {
            let bytes = update.max_encoded_len();
            if bytes > remaining_bytes {
                if parts.len() == max_parts {
                    break;
                }
                parts.push(Vec::new());
                remaining_bytes = MAX_PART_BYTES;
            }
            remaining_bytes = remaining_bytes.saturating_sub(bytes);
            if let Some(part) = parts.last_mut() {
                part.push(without_suspicion(update));
            }
        }
        parts
    }
}
