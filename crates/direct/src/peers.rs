//! Messages between instances: `postcard` datagrams over UDP, and handovers, which may be larger, over HTTP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use lz4_flex::block::DecompressError;
use lz4_flex::block::uncompressed_size;
use serde::Serialize;
use strum::EnumCount;
use thiserror::Error;
use tokio::net::UdpSocket;

use hawthornshift_adapters::http_client::Call;
use hawthornshift_adapters::http_client::ExchangeError;
use hawthornshift_core::direct::reports::message::Frame;
use hawthornshift_core::direct::reports::message::FrameKind;
use hawthornshift_core::direct::reports::message::Handover;
use hawthornshift_core::direct::reports::message::MAX_DATAGRAM_BYTES;
use hawthornshift_core::direct::store::parts::PartMismatch;
use hawthornshift_core::direct::store::parts::PartPosition;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_model::Revision;

/// Protocol version of the datagrams. Other versions are dropped, so that no instance misreads one during a rolling upgrade.
const PROTOCOL_VERSION: u8 = 6;
/// Maximum encoded size of a delta that is pushed, in bytes. It leaves room in the datagram for the sender's identity and
/// the recipients to forward to. Larger deltas are only announced, and instances that lack them pull them.
const MAX_PUSH_BYTES: usize = 1_100;
/// Maximum size of a handover, or of one part of it, in bytes. The largest part has a configuration and a target's entry, each
/// as large as a value of the store may be (1 MiB), and the open requests and flow bindings.
const MAX_HANDOVER_BYTES: usize = 4 << 20;
/// Size of a part in bytes from which on no further entry is added. A link of 20 Mbit/s carries it in 0.2 s.
pub const MAX_PART_BYTES: usize = 512 << 10;
/// Header of a request for a handover in parts: the position behind which the part begins. Instances of earlier versions
/// ignore it and send everything at once.
pub const PART_HEADER: HeaderName = HeaderName::from_static("handover-after");
/// Header of a request for a handover: the requester's address for messages between instances.
pub const REQUESTER_HEADER: HeaderName = HeaderName::from_static("handover-requester");
/// HTTP path of the handover; contains the protocol version.
pub const HANDOVER_PATH: &str = "/peer/v6/handover";

/// Counters of the messages between instances.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerCounts {
    /// Datagrams sent, indexed by [`FrameKind`].
    pub sent: [u64; FrameKind::COUNT],
    /// Bytes sent, indexed by [`FrameKind`].
    pub sent_bytes: [u64; FrameKind::COUNT],
    /// Datagrams that the operating system rejected.
    pub unsent: u64,
    /// Datagrams received.
    pub received: u64,
    /// Datagrams received that could not be decoded.
    pub malformed: u64,
}

/// Error of a handover request.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The HTTP exchange failed or timed out.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The instance refused; it serves only a few handovers at a time.
    #[error("the instance answered {0}")]
    Refused(StatusCode),
    /// The answer cannot be decoded.
    #[error("the handover cannot be decoded: {0}")]
    Malformed(#[from] postcard::Error),
    /// The answer cannot be decompressed.
    #[error("the handover cannot be decompressed: {0}")]
    Decompression(#[from] DecompressError),
    /// The decompressed size that the answer declares exceeds the maximum.
    #[error("the declared size of the handover exceeds the maximum")]
    TooLarge,
    /// A further part does not belong to the handover.
    #[error("the parts of the handover do not fit together: {0}")]
    PartMismatch(#[from] PartMismatch),
}

/// UDP socket for messages between instances.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    buf: Box<[u8; MAX_DATAGRAM_BYTES]>,
    out: Vec<u8>,
    counts: PeerCounts,
}

impl PeerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let counts = PeerCounts::default();
        Ok(Self { socket, buf: Box::new([0; MAX_DATAGRAM_BYTES]), out: Vec::new(), counts })
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> &PeerCounts {
        &self.counts
    }

    /// Waits until the socket is readable.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket is no longer usable.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Receives the next message, skipping malformed datagrams. Returns `None` if none is queued.
    pub fn read(&mut self) -> Option<Frame> {
        loop {
            let len = match self.socket.try_recv(&mut self.buf[..]) {
                Ok(len) => len,
                // Reports an earlier send to a peer that no longer listens; the socket stays usable.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(_) => return None,
            };
            self.counts.received += 1;
            match decode(&self.buf[..len]) {
                Some(frame) => return Some(frame),
                None => self.counts.malformed += 1,
            }
        }
    }

    /// Sends a message to several instances. Returns whether it fits in a datagram; otherwise nothing is sent.
    pub fn send(&mut self, to: &[SocketAddr], frame: &Frame) -> bool {
        let mut out = std::mem::take(&mut self.out);
        out.clear();
        out.push(PROTOCOL_VERSION);
        let Ok(encoded) = postcard::to_extend(frame, out) else { return false };
        let fits = encoded.len() <= MAX_DATAGRAM_BYTES;
        let kind = frame.kind() as usize;
        for address in to.iter().filter(|_| fits) {
            match self.socket.try_send_to(&encoded, *address) {
                Ok(bytes) => {
                    self.counts.sent[kind] += 1;
                    self.counts.sent_bytes[kind] += bytes as u64;
                }
                Err(_) => self.counts.unsent += 1,
            }
        }
        self.out = encoded;
        fits
    }
}

/// Returns whether a delta is small enough to be pushed in a datagram.
#[must_use]
pub fn fits_push(delta: &Delta) -> bool {
    postcard::experimental::serialized_size(delta).is_ok_and(|bytes| bytes <= MAX_PUSH_BYTES)
}

fn decode(datagram: &[u8]) -> Option<Frame> {
    let (version, rest) = datagram.split_first()?;
    (*version == PROTOCOL_VERSION).then(|| postcard::from_bytes(rest).ok()).flatten()
}

/// Requests all entries newer than revision `since` from an instance, part by part. `me` is the address of this instance, and
/// `limit` the timeout of each part.
///
/// # Errors
///
/// Returns an error if the instance refuses, does not answer in time, or its answers cannot be decoded.
pub async fn pull(
    from: SocketAddr,
    me: SocketAddr,
    since: Revision,
    limit: Duration,
) -> Result<Handover, HandoverError> {
    let mut call = Call::get(from, format!("{HANDOVER_PATH}?since={since}"), limit, MAX_HANDOVER_BYTES);
    call.headers.insert(REQUESTER_HEADER, header_value(&me)?);
    let mut handover = pull_part(call.clone(), PartPosition::START).await?;
    while let Some(after) = handover.next {
        handover.append(pull_part(call.clone(), after).await?)?;
    }
    Ok(handover)
}

fn header_value(value: &impl ToString) -> Result<HeaderValue, ExchangeError> {
    HeaderValue::try_from(value.to_string()).map_err(|error| ExchangeError::Malformed(error.into()))
}

async fn pull_part(mut call: Call, after: PartPosition) -> Result<Handover, HandoverError> {
    call.headers.insert(PART_HEADER, header_value(&after)?);
    let response = call.send().await?;
    if response.status != StatusCode::OK {
        return Err(HandoverError::Refused(response.status));
    }
    decode_handover(&response.body)
}

/// Encodes and compresses a handover.
///
/// Each target repeats the names of its service and failure domain, and an uncompressed snapshot takes 30 ms over a link of
/// 20 Mbit/s.
///
/// # Errors
///
/// Returns an error if the handover cannot be encoded.
pub fn encode_handover(handover: &Handover) -> Result<Vec<u8>, postcard::Error> {
    let encoded = postcard::to_extend(handover, Vec::new())?;
    let encoded = postcard::to_extend(&handover.flow_bindings, encoded)?;
    let encoded = postcard::to_extend(&handover.next, encoded)?;
    Ok(lz4_flex::compress_prepend_size(&encoded))
}

/// Decodes the output of [`encode_handover`].
///
/// # Errors
///
/// Returns an error if the bytes are not a valid handover or declare a size above the maximum.
pub fn decode_handover(compressed: &[u8]) -> Result<Handover, HandoverError> {
    // Checked first, because decompression allocates the declared size before it reads the data.
    let (size, _) = uncompressed_size(compressed)?;
    if size > MAX_HANDOVER_BYTES {
        return Err(HandoverError::TooLarge);
    }
    let decompressed = lz4_flex::decompress_size_prepended(compressed)?;
    let (handover, rest) = postcard::take_from_bytes::<Handover>(&decompressed)?;
    // Instances of earlier versions send no bindings, or no position.
    let (flow_bindings, rest) = if rest.is_empty() { Default::default() } else { postcard::take_from_bytes(rest)? };
    let next = if rest.is_empty() { None } else { postcard::from_bytes(rest)? };
    Ok(Handover { flow_bindings, next, ..handover })
}
