//! Packet headers as the dispatcher uses them, independent of the wire format.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Value that an instance writes into a SYN and that both endpoints repeat in every later packet of the flow. It
/// identifies the target; zero means none.
pub type Cookie = u32;

/// 64-bit hash that identifies a flow where a confusion with another one would misdirect its packets.
pub type FlowKey = u64;

/// 32-bit hash that identifies a flow in messages between instances.
///
/// If two open flows have the same hash, one of them is not counted while it is open. With 5,000 open flows in a
/// group the probability of any such pair is below 0.3%.
pub type FlowHash = u32;

/// Size in bytes of two IPv4 addresses with their ports.
const FLOW_BYTES: usize = 12;

/// The two endpoints of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowId {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Virtual address and port of the route that the caller connects to.
    pub service: SocketAddrV4,
}

impl FlowId {
    /// Returns the flow's 64-bit hash, which is equal on all instances.
    #[must_use]
    pub fn hash64(&self) -> FlowKey {
        let mut buf = [0_u8; FLOW_BYTES];
        buf[..4].copy_from_slice(&self.caller.ip().octets());
        buf[4..8].copy_from_slice(&self.service.ip().octets());
        buf[8..10].copy_from_slice(&self.caller.port().to_be_bytes());
        buf[10..].copy_from_slice(&self.service.port().to_be_bytes());
        xxh3_64(&buf)
    }

    /// Returns the upper 32 bits of [`FlowId::hash64`].
    #[must_use]
    pub fn flow_hash(&self) -> FlowHash {
        flow_hash_of(self.hash64())
    }
}

/// Returns the flow hash of a flow: the upper 32 bits of its key.
#[must_use]
pub fn flow_hash_of(flow: FlowKey) -> FlowHash {
    u32::try_from(flow >> 32).unwrap_or(FlowHash::MAX)
}

/// Kind of a packet, in the terms of TCP.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentKind {
    /// A SYN.
    Syn {
        /// Copies of the SYN that the caller sent before this one. Callers retransmit a SYN that is not answered.
        retransmissions: u32,
    },
    /// Data or an acknowledgement.
    Ack,
    /// The end of the caller's data.
    Fin,
    /// The caller aborts the flow.
    Rst,
}

/// Header of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// The flow.
    pub flow: FlowId,
    /// Kind of the packet.
    pub kind: SegmentKind,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Acknowledgement number: the sequence number of the byte that the caller expects next.
    pub acknowledged: u32,
    /// Length of the data, in bytes.
    pub payload_bytes: u16,
    /// The cookie that the packet carries.
    pub cookie: Cookie,
}
