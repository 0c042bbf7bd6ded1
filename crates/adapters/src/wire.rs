//! Forwarded packets on the wire: a version byte, the head in `postcard`, and the caller's payload as it came.

use thiserror::Error;

use hawthornshift_core::message::ForwardedPacketHeader;

/// Version of the format; a receiver drops others, so that a rolling upgrade never misreads a packet.
const FORMAT_VERSION: u8 = 1;
/// Most bytes that a version byte and a head take.
pub const MAX_HEADER_BYTES: usize = 64;
/// Most bytes of a UDP payload over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A packet that could not be written or read.
#[derive(Debug, Error, Eq, PartialEq)]
pub enum WireError {
    /// It is empty or of another version.
    #[error("not of version {FORMAT_VERSION}")]
    Version,
    /// Its head is cut short or damaged.
    #[error("the head cannot be read")]
    Header,
    /// With a head it would be larger than a datagram can be.
    #[error("{0} bytes are too many to forward")]
    TooLarge(usize),
}

/// Writes a packet into `buf`, whose former content is dropped.
///
/// # Errors
///
/// Fails when the payload is so large that the head no longer fits.
pub fn encode(header: &ForwardedPacketHeader, payload: &[u8], buf: &mut Vec<u8>) -> Result<(), WireError> {
    buf.clear();
    buf.push(FORMAT_VERSION);
    let encoded = postcard::to_extend(header, std::mem::take(buf)).map_err(|_| WireError::Header)?;
    *buf = encoded;
    buf.extend_from_slice(payload);
    if buf.len() > MAX_DATAGRAM_BYTES { Err(WireError::TooLarge(buf.len())) } else { Ok(()) }
}

/// Reads a packet into its head and payload.
///
/// # Errors
///
/// Fails on anything that [`encode`] has not written.
pub fn decode(packet: &[u8]) -> Result<(ForwardedPacketHeader, &[u8]), WireError> {
    let (version, rest) = packet.split_first().ok_or(WireError::Version)?;
    if *version != FORMAT_VERSION {
        return Err(WireError::Version);
    }
    postcard::take_from_bytes(rest).map_err(|_| WireError::Header)
}
