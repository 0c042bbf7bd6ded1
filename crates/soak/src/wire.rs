//! Packets as callers and targets write them.
//!
//! A keyed sum over the head and the data lets each end notice a packet that the other did not write so.

use std::hash::Hasher as _;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use hawthornshift_platform::packet::HEAD_BYTES;

/// The flags of a packet.
pub const FIN: u8 = 1;
/// Opens a flow.
pub const SYN: u8 = 4;
/// Ends a flow at once.
pub const RST: u8 = 8;
/// Carries an acknowledgement.
pub const ACK: u8 = 32;

/// A packet of either end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Who sends it.
    pub from: SocketAddrV4,
    /// To whom.
    pub to: SocketAddrV4,
    /// What it does.
    pub flags: u8,
    /// Number of its first byte.
    pub sequence: u32,
    /// Number of the byte expected next; on a SYN, the copies sent before.
    pub acknowledged: u32,
    /// What instances write and both ends repeat.
    pub cookie: u32,
    /// Data.
    pub data: Vec<u8>,
}

/// Position of a packet's number in its bytes.
pub const SEQUENCE_AT: usize = 24;

impl Packet {
    /// Tells whether a flag is set.
    #[must_use]
    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    fn body(&self) -> Vec<u8> {
        let mut buf = vec![0; 4];
        buf.push(self.flags);
        buf.extend([0; 5]);
        buf.extend(self.to.port().to_le_bytes());
        buf.extend(u32::from(*self.from.ip()).to_le_bytes());
        buf.extend(u32::from(*self.to.ip()).to_le_bytes());
        buf.extend(self.from.port().to_le_bytes());
        buf.extend(u16::try_from(self.data.len()).unwrap_or(u16::MAX).to_le_bytes());
        buf.extend(self.sequence.to_le_bytes());
        buf.extend(self.acknowledged.to_le_bytes());
        buf.extend([0; 4]);
        buf.extend(&self.data);
        buf
    }

    /// Returns the packet's bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = self.body();
        let sum = sum(&buf);
        buf[..4].copy_from_slice(&sum.to_le_bytes());
        buf[32..36].copy_from_slice(&self.cookie.to_le_bytes());
        buf
    }

    /// Reads a packet; the second value tells whether its sender wrote it so.
    #[must_use]
    pub fn decode(buf: &[u8]) -> Option<(Self, bool)> {
        if buf.len() < HEAD_BYTES {
            return None;
        }
        let u16_at = |at: usize| u16::from_le_bytes([buf[at], buf[at + 1]]);
        let u32_at = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
        let packet = Self {
            from: SocketAddrV4::new(Ipv4Addr::from(u32_at(12)), u16_at(20)),
            to: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(10)),
            flags: buf[4],
            sequence: u32_at(24),
            acknowledged: u32_at(28),
            cookie: u32_at(32),
            data: buf[HEAD_BYTES..].to_vec(),
        };
        let genuine = u32_at(0) == sum(&packet.body());
        Some((packet, genuine))
    }
}

/// Key of the sum; instances do not know it.
const KEY: u64 = 0x5EED_0F50;

fn sum(body: &[u8]) -> u32 {
    #[expect(deprecated, reason = "the same in every build, which the standard library promises of no other hasher")]
    let mut hasher = std::hash::SipHasher::new_with_keys(KEY, 0);
    hasher.write(&body[4..]);
    u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX)
}
