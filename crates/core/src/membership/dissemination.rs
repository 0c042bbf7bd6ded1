//! Dissemination: which news of members rides on a heartbeat.
//!
//! Each piece is sent a few times more than the logarithm of the fleet's size, which reaches everybody with high
//! probability. What was sent least goes first: an order by number would hold back the news of high numbers until that of
//! low ones is done, for seconds in a large fleet that starts.

use std::cmp::Reverse;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use super::Membership;
use crate::message::MemberState;
use crate::message::MemberUpdate;
use hawthornshift_model::InstanceId;

/// How often each piece of news is passed on, beyond the logarithm of the fleet's size.
const EXTRA_SENDS: u32 = 2;
/// Room for news on one heartbeat, in bytes: with its introduction and its other fields it then fits a datagram.
const NEWS_ROOM: usize = 1_100;
/// Most members on one heartbeat to a peer whose view differs, where views are not compared in another way.
const MAX_CATCH_UP: usize = 16;

/// How a peer's view compares to the one here, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerView {
    /// Nothing is known of it.
    Unknown,
    /// It is the same.
    Same,
    /// It differs.
    Differs,
}

impl Membership {
    /// Returns how often a piece of news is passed on.
    pub(super) fn sends(&self) -> u32 {
        let fleet = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        fleet.ilog2() + EXTRA_SENDS
    }

    /// Returns the news that the next heartbeat to `to` carries: what was sent least, as much as fits.
    ///
    /// What is believed of the peer itself goes first unless it is that it lives. Only the peer can refute, and it has
    /// to hear of a suspicion well before the suspicion time is over; by chance it would hear too late now and then,
    /// and an instance that works would be buried.
    ///
    /// A peer with the same view needs nothing. That it has everything counts as one send of each piece, so that the news of
    /// a whole fleet's start does not go on for long after everybody has it.
    pub fn piggyback_updates(&mut self, to: InstanceId, view: PeerView) -> Vec<MemberUpdate> {
        let believed = self.member(to).filter(|update| update.state > MemberState::Alive);
        let mut news: Vec<MemberUpdate> = believed.cloned().into_iter().collect();
        if view == PeerView::Same {
            let others = self.members.iter_mut().filter(|(id, _)| **id != to);
            others.for_each(|(_, member)| member.sends_left = member.sends_left.saturating_sub(1));
            return news;
        }
        let mut room = NEWS_ROOM.saturating_sub(news.iter().map(MemberUpdate::max_encoded_len).sum());
        let mut pending: Vec<(Reverse<u32>, InstanceId)> = self
            .members
            .iter()
            .filter(|(id, member)| member.sends_left > 0 && **id != to)
            .map(|(id, member)| (Reverse(member.sends_left), *id))
            .collect();
        pending.sort_unstable();
        for (_, id) in pending {
            let Some(member) = self.members.get_mut(&id) else { continue };
            let bytes = member.update.max_encoded_len();
            if bytes > room {
                break;
            }
            room -= bytes;
            member.sends_left -= 1;
            news.push(member.update.clone());
        }
        news
    }

    /// Adds some members at random to the news for a peer whose view differs, which may lack any of them.
    pub fn add_random_updates(&self, rng: &mut SmallRng, news: &mut Vec<MemberUpdate>) {
        let known = self.members.values().filter(|member| member.update.state != MemberState::Listed);
        let more = known.map(|member| &member.update).filter(|update| !news.contains(update));
        let more = more.choose_multiple(rng, MAX_CATCH_UP.saturating_sub(news.len()));
        let more: Vec<MemberUpdate> = more.into_iter().cloned().collect();
        news.extend(more);
    }
}
