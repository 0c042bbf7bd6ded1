//! Messages between instances: datagrams in `postcard`, and larger answers over HTTP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use lz4_flex::block::DecompressError;
use lz4_flex::block::uncompressed_size;
use serde::Serialize;
use strum::EnumCount;
use thiserror::Error;
use tokio::net::UdpSocket;

use hawthornshift_adapters::http_client::Call;
use hawthornshift_adapters::http_client::ExchangeError;
use hawthornshift_core::direct::message::Frame;
use hawthornshift_core::direct::message::FrameKind;
use hawthornshift_core::direct::message::Handover;
use hawthornshift_core::direct::message::MAX_DATAGRAM_BYTES;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_model::Revision;

/// Version of the messages; others are dropped, so that a rolling upgrade never misreads one.
const VERSION: u8 = 6;
/// Most bytes of news that is pushed: it fits a datagram with its introductions and those to whom it is passed on. Larger
/// news is announced and pulled.
const MAX_PUSH_BYTES: usize = 1_100;
/// Most bytes of a handover: 4,800 targets of 100 bytes and 5,000 routes of 60, twice over.
const MAX_HANDOVER_BYTES: usize = 2 << 20;
/// Path of the handover, with the version of the messages.
pub const HANDOVER_PATH: &str = "/peer/v6/handover";

/// Counts of messages.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PeerCounts {
    /// Datagrams sent, by kind.
    pub sent: [u64; FrameKind::COUNT],
    /// Bytes sent, by kind.
    pub sent_bytes: [u64; FrameKind::COUNT],
    /// Datagrams that were not sent: too large, or not taken by the system.
    pub unsent: u64,
    /// Datagrams received.
    pub received: u64,
    /// Datagrams received that cannot be read.
    pub malformed: u64,
}

/// A handover that failed.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// There was no whole answer.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The instance did not hand over; it does so for a few at a time.
    #[error("the instance answered {0}")]
    Refused(StatusCode),
    /// The answer cannot be read.
    #[error("the handover cannot be read: {0}")]
    Malformed(#[from] postcard::Error),
    /// The answer cannot be unpacked.
    #[error("the handover cannot be unpacked: {0}")]
    Packed(#[from] DecompressError),
    /// The answer says that it is larger than any handover.
    #[error("the handover is too large")]
    TooLarge,
}

/// The socket for datagrams of other instances.
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
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let counts = PeerCounts::default();
        Ok(Self { socket, buf: Box::new([0; MAX_DATAGRAM_BYTES]), out: Vec::new(), counts })
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> &PeerCounts {
        &self.counts
    }

    /// Waits until a datagram may be read.
    ///
    /// # Errors
    ///
    /// Fails when the socket is no longer usable.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads the next message; `None` when there is none.
    pub fn read(&mut self) -> Option<Frame> {
        loop {
            let len = match self.socket.try_recv(&mut self.buf[..]) {
                Ok(len) => len,
                // A peer that has just ended refuses what was sent to it; the socket itself goes on working.
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

    /// Sends one message to several instances; tells whether it fits a datagram.
    pub fn send(&mut self, to: &[SocketAddr], frame: &Frame) -> bool {
        let mut out = std::mem::take(&mut self.out);
        out.clear();
        out.push(VERSION);
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

/// Tells whether news is small enough to be pushed.
#[must_use]
pub fn fits_push(delta: &Delta) -> bool {
    postcard::experimental::serialized_size(delta).is_ok_and(|bytes| bytes <= MAX_PUSH_BYTES)
}

fn decode(datagram: &[u8]) -> Option<Frame> {
    let (version, rest) = datagram.split_first()?;
    (*version == VERSION).then(|| postcard::from_bytes(rest).ok()).flatten()
}

/// Asks an instance for everything newer than a revision.
///
/// # Errors
///
/// Fails when the instance does not answer in time or its answer cannot be read.
pub async fn pull(from: SocketAddr, since: Revision, limit: Duration) -> Result<Handover, HandoverError> {
    let call = Call::get(from, format!("{HANDOVER_PATH}?since={since}"), limit, MAX_HANDOVER_BYTES);
    let response = call.send().await?;
    if response.status != StatusCode::OK {
        return Err(HandoverError::Refused(response.status));
    }
    decode_handover(&response.body)
}

/// Encodes and compresses a handover: names of services and failure domains stand in it once for each target, and a whole one
/// takes 30 ms over a link of 20 Mbit/s as it is.
///
/// # Errors
///
/// Fails when the handover cannot be encoded.
pub fn encode_handover(handover: &Handover) -> Result<Vec<u8>, postcard::Error> {
    Ok(lz4_flex::compress_prepend_size(&postcard::to_stdvec(handover)?))
}

/// Decodes what [`encode_handover`] made.
///
/// # Errors
///
/// Fails when the bytes are no handover, or claim to be larger than any is.
pub fn decode_handover(packed: &[u8]) -> Result<Handover, HandoverError> {
    // Checked first: the size that the bytes claim is allocated at once.
    let (size, _) = uncompressed_size(packed)?;
    if size > MAX_HANDOVER_BYTES {
        return Err(HandoverError::TooLarge);
    }
    Ok(postcard::from_bytes(&lz4_flex::decompress_size_prepended(packed)?)?)
}
