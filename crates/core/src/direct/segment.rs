//! What the head of a packet says, in the product's own words.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// The value that an instance writes on a SYN and that both ends of the flow repeat; zero stands for none.
pub type Cookie = u32;

/// Short name of a flow in messages between instances.
///
/// Two open flows with one hash make one of them uncounted for its short life; at 5,000 open flows in a group the
/// chance of any such pair is below 0.3%.
pub type FlowHash = u32;

/// Bytes of two addresses with their ports.
const FLOW_BYTES: usize = 12;

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowId {
    /// The caller's end.
    pub caller: SocketAddrV4,
    /// The address and port of the route that the caller asks for.
    pub service: SocketAddrV4,
}

impl FlowId {
    /// Returns the flow's 64-bit hash, equal on all instances.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        let mut buf = [0_u8; FLOW_BYTES];
        buf[..4].copy_from_slice(&self.caller.ip().octets());
        buf[4..8].copy_from_slice(&self.service.ip().octets());
        buf[8..10].copy_from_slice(&self.caller.port().to_be_bytes());
        buf[10..].copy_from_slice(&self.service.port().to_be_bytes());
        xxh3_64(&buf)
    }

    /// Returns the flow's short name.
    #[must_use]
    pub fn flow_hash(&self) -> FlowHash {
        u32::try_from(self.hash64() >> 32).unwrap_or(FlowHash::MAX)
    }
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// A SYN, with the number of copies sent before it.
    Syn {
        /// Zero for the first; callers repeat a SYN that is not answered.
        retransmissions: u32,
    },
    /// Data or an acknowledgement.
    Ack,
    /// The caller's last bytes.
    Fin,
    /// The caller gives the flow up.
    Rst,
}

/// A packet's head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The flow.
    pub flow: FlowId,
    /// What the packet does to it.
    pub kind: SegmentKind,
    /// Number of the first byte of data.
    pub sequence: u32,
    /// Number of the byte that the caller expects next.
    pub acknowledged: u32,
    /// Bytes of data.
    pub payload_bytes: u16,
    /// The cookie that the packet carries.
    pub cookie: Cookie,
}
