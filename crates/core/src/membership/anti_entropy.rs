//! Anti-entropy: two instances compare their views and exchange what differs.
//!
//! News alone converges slowly when a whole fleet starts, since there is more of it than heartbeats carry, and a piece that
//! was passed on often enough may still have missed somebody. A digest on each heartbeat shows that two views differ; one
//! of the two then sends hashes of its view by buckets of instance numbers, and gets the members of the buckets that differ.

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde::Serialize;

use super::Membership;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use crate::rendezvous;
use hawthornshift_model::InstanceId;

/// Buckets of a view: with 430 instances one member that differs costs 13 others sent along.
const BUCKETS: usize = 32;
/// Key by which instances fall into buckets.
const BUCKET_KEY: u64 = 0x62_75_63_6b_65_74;
/// Room for members in one message, in bytes: with its introduction it then fits a datagram.
const PART_ROOM: usize = 1_250;

/// Hashes of who an instance believes to live, one for each bucket of instance numbers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct ViewDigest([u32; BUCKETS]);

impl ViewDigest {
    /// Returns one hash for the whole view.
    #[must_use]
    pub fn whole(&self) -> u64 {
        self.0.iter().fold(0, |hash, bucket| rendezvous::score(hash, u64::from(*bucket)))
    }

    fn add(&mut self, update: &MemberUpdate) {
        let class = match update.state {
            MemberState::Listed | MemberState::Dead => return,
            MemberState::Alive | MemberState::Suspect => MemberState::Alive as u64,
            MemberState::Leaving => MemberState::Leaving as u64,
        };
        let life = rendezvous::score(u64::from(update.id), update.incarnation);
        let hash = rendezvous::score(life, class);
        self.0[bucket(update.id)] ^= u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    }
}

/// Returns what others are told of a member: a suspicion is no business of theirs.
fn unsuspected(update: &MemberUpdate) -> MemberUpdate {
    let state = if update.state == MemberState::Suspect { MemberState::Alive } else { update.state };
    MemberUpdate { state, ..update.clone() }
}

fn bucket(id: InstanceId) -> usize {
    usize::try_from(rendezvous::score(BUCKET_KEY, u64::from(id)) % BUCKETS as u64).unwrap_or(0)
}

impl Membership {
    /// Returns all other instances that have been heard of, for one that has just started.
    #[must_use]
    pub fn handover(&self) -> Vec<MemberUpdate> {
        self.members().filter(|update| update.state != MemberState::Listed).map(unsuspected).collect()
    }

    /// Returns the digest of the view here, this instance included.
    #[must_use]
    pub fn digest(&self) -> ViewDigest {
        let mut digest = ViewDigest::default();
        std::iter::once(&self.me).chain(self.members()).for_each(|update| digest.add(update));
        digest
    }

    /// Returns what is known here of the buckets in which a peer's view differs, in messages of a datagram each and at most
    /// `most` of them.
    ///
    /// The dead go along, so that the peer can tell one that it has not heard of from one that it has outlived. Which bucket
    /// comes first is drawn, for a peer that lacks more than it gets asks others as well.
    #[must_use]
    pub fn missing(&self, rng: &mut SmallRng, theirs: &ViewDigest, most: usize) -> Vec<Vec<MemberUpdate>> {
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
        let mut room = 0;
        for update in buckets.into_iter().flatten() {
            let bytes = update.max_encoded_len();
            if bytes > room {
                if parts.len() == most {
                    break;
                }
                parts.push(Vec::new());
                room = PART_ROOM;
            }
            room = room.saturating_sub(bytes);
            if let Some(part) = parts.last_mut() {
                part.push(unsuspected(update));
            }
        }
        parts
    }
}
