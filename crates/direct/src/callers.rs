//! UDP socket that receives the packets of callers, forwards them to targets and sends resets.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use serde::Serialize;
use tokio::net::UdpSocket;

use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::dispatcher::Packet;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_platform::packet;
use hawthornshift_platform::packet::HEADER_BYTES;
use hawthornshift_platform::packet::MAX_PAYLOAD_BYTES;
use hawthornshift_platform::packet::PacketError;
use hawthornshift_platform::packet::TARGET_ID_BYTES;

/// Size of the receive buffer: the target id, a packet of maximum length, and one byte by which a longer one is detected.
const BUFFER_BYTES: usize = TARGET_ID_BYTES + HEADER_BYTES + MAX_PAYLOAD_BYTES + 1;

/// Counters of the callers' socket.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SocketCounts {
    /// Packets received.
    pub received: u64,
    /// Packets that could not be decoded.
    pub malformed: u64,
    /// Packets discarded because they were queued in the socket while the process was paused.
    pub stale: u64,
    /// Packets sent to targets.
    pub forwarded: u64,
    /// Resets sent to callers.
    pub resets: u64,
    /// Packets and resets that the operating system rejected or reported as refused.
    pub unsent: u64,
}

/// The callers' socket and its receive buffer.
#[derive(Debug)]
pub struct CallerSocket {
    socket: UdpSocket,
    /// Callers receive packets on the same port number as instances.
    caller_port: u16,
    buf: Box<[u8; BUFFER_BYTES]>,
    len: usize,
    counts: SocketCounts,
}

impl CallerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let caller_port = socket.local_addr()?.port();
        Ok(Self { socket, caller_port, buf: Box::new([0; BUFFER_BYTES]), len: 0, counts: SocketCounts::default() })
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> &SocketCounts {
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

    /// Receives and decodes the next packet of a caller. Returns `None` if none is queued.
    pub fn read(&mut self) -> Option<Result<Segment, PacketError>> {
        // `ConnectionRefused` reports an earlier send that its destination refused; the socket stays usable.
        let len = loop {
            match self.socket.try_recv(&mut self.buf[TARGET_ID_BYTES..]) {
                Ok(len) => break len,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => self.counts.unsent += 1,
                Err(_) => return None,
            }
        };
        self.len = len;
        self.counts.received += 1;
        let decoded = packet::decode(self.packet());
        self.counts.malformed += u64::from(decoded.is_err());
        Some(decoded)
    }

    /// Discards the packets that were queued in the socket while the process was paused.
    ///
    /// Their callers have retransmitted them since, or opened other flows. Placing the queued SYNs now, possibly a hundred
    /// at once, would choose targets by state from before the pause. Queued data is lost as well; callers that still wait
    /// for an answer retransmit it.
    pub fn discard_queued(&mut self) {
        while self.read().is_some() {
            self.counts.stale += 1;
        }
    }

    /// Returns the bytes of the packet that was received last.
    #[must_use]
    pub fn packet(&self) -> &[u8] {
        &self.buf[TARGET_ID_BYTES..TARGET_ID_BYTES + self.len]
    }

    /// Performs an effect: sends a packet to a target or a reset to a caller.
    pub fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Forward { packet: Packet::Current, to, target, cookie } => {
                self.buf[..TARGET_ID_BYTES].copy_from_slice(&packet::target_id_prefix(target));
                let end = TARGET_ID_BYTES + self.len;
                if let Some(cookie) = cookie {
                    packet::write_cookie(&mut self.buf[TARGET_ID_BYTES..end], cookie);
                }
                let sent = self.socket.try_send_to(&self.buf[..end], SocketAddr::V4(to));
                self.count_sent(sent.is_ok(), true);
            }
            Effect::Forward { packet: Packet::Buffered(packet_bytes), to, target, cookie } => {
                let mut buf = packet::target_id_prefix(target).to_vec();
                buf.extend_from_slice(&packet_bytes);
                if let Some(cookie) = cookie {
                    packet::write_cookie(&mut buf[TARGET_ID_BYTES..], cookie);
                }
                let sent = self.socket.try_send_to(&buf, SocketAddr::V4(to));
                self.count_sent(sent.is_ok(), true);
            }
            // The process runs reachability checks in tasks of their own.
            Effect::Check { .. } => {}
            Effect::Reset(segment) => {
                let to = SocketAddrV4::new(*segment.flow.caller.ip(), self.caller_port);
                let sent = self.socket.try_send_to(&packet::reset(&segment), SocketAddr::V4(to));
                self.count_sent(sent.is_ok(), false);
            }
        }
    }

    fn count_sent(&mut self, sent: bool, to_target: bool) {
        let count = match (sent, to_target) {
            (false, _) => &mut self.counts.unsent,
            (true, true) => &mut self.counts.forwarded,
            (true, false) => &mut self.counts.resets,
        };
        *count += 1;
    }
}
