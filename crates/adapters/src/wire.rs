//! The encoding of forwarded packets: a version byte, the header in `postcard` and the unchanged payload.

use thiserror::Error;

use hawthornshift_core::message::ForwardedPacketHeader;

/// Version of the format; a receiver drops packets of other versions, so that no packet is misread during a rolling
/// upgrade.
const FORMAT_VERSION: u8 = 1;
/// Maximum size of the version byte and the header, in bytes.
pub const MAX_HEADER_BYTES: usize = 64;
/// Maximum size of a UDP payload over IPv4, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Error of encoding or decoding a packet.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum WireError {
    /// The packet is empty or has another format version.
    #[error("not of format version {FORMAT_VERSION}")]
    Version,
    /// The header is truncated or invalid.
    #[error("invalid packet header")]
    Header,
    /// The packet with its header exceeds [`MAX_DATAGRAM_BYTES`]; the field is its size in bytes.
    #[error("packet of {0} bytes exceeds the maximum datagram size")]
    TooLarge(usize),
}

/// Encodes a packet into `buf` and replaces its previous content.
///
/// # Errors
///
/// Fails when the packet with its header exceeds [`MAX_DATAGRAM_BYTES`].
pub fn encode(header: &ForwardedPacketHeader, payload: &[u8], buf: &mut Vec<u8>) -> Result<(), WireError> {
    buf.clear();
    buf.push(FORMAT_VERSION);
    let encoded = postcard::to_extend(header, std::mem::take(buf)).map_err(|_| WireError::Header)?;
    *buf = encoded;
    buf.extend_from_slice(payload);
    if buf.len() > MAX_DATAGRAM_BYTES { Err(WireError::TooLarge(buf.len())) } else { Ok(()) }
}

/// Decodes a packet into its header and payload.
///
/// # Errors
///
/// Fails when the packet is empty, has another format version or has a truncated or invalid header.
pub fn decode(packet: &[u8]) -> Result<(ForwardedPacketHeader, &[u8]), WireError> {
    let (version, rest) = packet.split_first().ok_or(WireError::Version)?;
    if *version != FORMAT_VERSION {
        return Err(WireError::Version);
    }
    postcard::take_from_bytes(rest).map_err(|_| WireError::Header)
}
