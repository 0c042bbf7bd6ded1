//! Encoding of the packets of callers and targets.
//!
//! A keyed checksum over the header fields, except the cookie, and the data lets each end detect a packet that was
//! modified on the way.

use std::hash::Hasher as _;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use hawthornshift_platform::packet::HEADER_BYTES;

/// Flag: closes a flow.
pub const FIN: u8 = 1;
/// Flag: opens a flow.
pub const SYN: u8 = 4;
/// Flag: resets a flow.
pub const RST: u8 = 8;
/// Flag: carries an acknowledgement.
pub const ACK: u8 = 32;

/// A packet of a caller or a target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Address of the sender.
    pub from: SocketAddrV4,
    /// Address of the receiver.
    pub to: SocketAddrV4,
    /// Bitwise OR of the flags [`FIN`], [`SYN`], [`RST`] and [`ACK`].
    pub flags: u8,
    /// Sequence number of the first data byte.
    pub sequence: u32,
    /// Sequence number of the byte expected next; on a caller's SYN, the number of copies sent before.
    pub acknowledged: u32,
    /// Cookie, which instances write and both ends return.
    pub cookie: u32,
    /// Data, in addition to the header.
    pub data: Vec<u8>,
}

/// Offset of the sequence number in an encoded packet, in bytes.
pub const SEQUENCE_OFFSET: usize = 24;

impl Packet {
    /// Returns whether any of the flags in `flag` is set.
    #[must_use]
    pub fn has_flag(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Returns the encoded packet with the checksum and the cookie set to 0, which is what the checksum covers.
    fn encode_without_checksum(&self) -> Vec<u8> {
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

    /// Returns the encoded packet.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = self.encode_without_checksum();
        let checksum = checksum(&buf);
        buf[..4].copy_from_slice(&checksum.to_le_bytes());
        buf[32..36].copy_from_slice(&self.cookie.to_le_bytes());
        buf
    }

    /// Decodes a packet; the second value is whether its checksum is correct. Returns `None` if the header is incomplete.
    #[must_use]
    pub fn decode(buf: &[u8]) -> Option<(Self, bool)> {
        if buf.len() < HEADER_BYTES {
            return None;
        }
        let u16_at = |offset: usize| u16::from_le_bytes([buf[offset], buf[offset + 1]]);
        let u32_at =
            |offset: usize| u32::from_le_bytes([buf[offset], buf[offset + 1], buf[offset + 2], buf[offset + 3]]);
        let packet = Self {
            from: SocketAddrV4::new(Ipv4Addr::from(u32_at(12)), u16_at(20)),
            to: SocketAddrV4::new(Ipv4Addr::from(u32_at(16)), u16_at(10)),
            flags: buf[4],
            sequence: u32_at(24),
            acknowledged: u32_at(28),
            cookie: u32_at(32),
            data: buf[HEADER_BYTES..].to_vec(),
        };
        let intact = u32_at(0) == checksum(&packet.encode_without_checksum());
        Some((packet, intact))
    }
}

/// Key of the checksum; instances do not have it.
const CHECKSUM_KEY: u64 = 0x5EED_0F50;

fn checksum(body: &[u8]) -> u32 {
    #[expect(
        deprecated,
        reason = "its result is the same in every build, which the standard library guarantees for no other hasher"
    )]
    let mut hasher = std::hash::SipHasher::new_with_keys(CHECKSUM_KEY, 0);
    hasher.write(&body[4..]);
    u32::try_from(hasher.finish() >> 32).unwrap_or(u32::MAX)
}
