//! Instances that have just received their state from this one.
//!
//! Others learn of a new instance within some 300 ms. What they report or publish meanwhile does not reach it, and it is not
//! in the state that it has received either. The source of that state therefore relays such messages to it for a while.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;

/// Time for which messages are relayed, by which all others know the new instance even if some datagrams are lost.
const RELAY_TIME: Duration = Duration::from_secs(2);
/// Maximum number of instances to relay to. In rolling restarts there are a few. After a loss of power there may be dozens,
/// which hold no flows yet, and messages to all of them would fill a narrow link.
const MAX_STARTING_PEERS: usize = 16;

/// The instances that have just received their state from this one.
#[derive(Clone, Debug, Default)]
pub(super) struct StartingPeers {
    /// Addresses, with the time until which messages are relayed to each, in ascending order.
    peers: Vec<(SocketAddr, Timestamp)>,
}

impl StartingPeers {
    /// Adds an instance that receives the state now.
    pub(super) fn add(&mut self, now: Timestamp, address: SocketAddr) {
        self.peers.retain(|(other, until)| *other != address && now < *until);
        if self.peers.len() >= MAX_STARTING_PEERS {
            self.peers.remove(0);
        }
        self.peers.push((address, now + RELAY_TIME));
    }

    /// Returns the addresses to relay to, except for those in `others`.
    pub(super) fn without(&self, now: Timestamp, others: &[SocketAddr]) -> Vec<SocketAddr> {
        let current = self.peers.iter().filter(|(_, until)| now < *until);
        current.map(|(address, _)| *address).filter(|address| !others.contains(address)).collect()
    }
}
