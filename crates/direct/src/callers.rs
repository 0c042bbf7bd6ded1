//! The socket on which callers' packets arrive.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use serde::Serialize;
use tokio::net::UdpSocket;

use hawthornshift_core::direct::dispatcher::Effect;
use hawthornshift_core::direct::dispatcher::Packet;
use hawthornshift_core::direct::segment::Segment;
use hawthornshift_platform::packet;
use hawthornshift_platform::packet::ADDRESSEE_BYTES;
use hawthornshift_platform::packet::HEAD_BYTES;
use hawthornshift_platform::packet::MAX_DATA_BYTES;
use hawthornshift_platform::packet::PacketError;

/// Room for a packet, and one byte more so that a longer one is noticed.
const BUFFER_BYTES: usize = ADDRESSEE_BYTES + HEAD_BYTES + MAX_DATA_BYTES + 1;

/// Counts of what the socket did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SocketCounts {
    /// Packets read.
    pub received: u64,
    /// Packets that were not read since they are malformed.
    pub malformed: u64,
    /// Packets that were dropped since they had waited while the process was paused.
    pub stale: u64,
    /// Packets sent to targets.
    pub forwarded: u64,
    /// Resets sent to callers.
    pub resets: u64,
    /// Packets and resets that the system did not take.
    pub unsent: u64,
}

/// The socket with its buffer.
#[derive(Debug)]
pub struct CallerSocket {
    socket: UdpSocket,
    /// Callers take packets on the port number that instances do.
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
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let caller_port = socket.local_addr()?.port();
        Ok(Self { socket, caller_port, buf: Box::new([0; BUFFER_BYTES]), len: 0, counts: SocketCounts::default() })
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> &SocketCounts {
        &self.counts
    }

    /// Waits until a packet may be read.
    ///
    /// # Errors
    ///
    /// Fails when the socket is no longer usable.
    pub async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Reads the next packet of a caller; `None` when there is none.
    pub fn read(&mut self) -> Option<Result<Segment, PacketError>> {
        // An error here is one of an earlier send that the peer refused; the socket itself goes on working.
        let len = loop {
            match self.socket.try_recv(&mut self.buf[ADDRESSEE_BYTES..]) {
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

    /// Reads and drops what has waited while the process was paused.
    ///
    /// Their callers have long sent copies, or opened other flows; placed now, a hundred SYNs at once would go to targets
    /// by what was known before. Data is lost too, and sent again by whoever still waits for its answer.
    pub fn drop_waiting(&mut self) {
        while self.read().is_some() {
            self.counts.stale += 1;
        }
    }

    /// Returns the packet read last.
    #[must_use]
    pub fn packet(&self) -> &[u8] {
        &self.buf[ADDRESSEE_BYTES..ADDRESSEE_BYTES + self.len]
    }

    /// Carries an effect out.
    pub fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Forward { packet: Packet::Current, to, target, cookie } => {
                self.buf[..ADDRESSEE_BYTES].copy_from_slice(&packet::addressee(target));
                let end = ADDRESSEE_BYTES + self.len;
                if let Some(cookie) = cookie {
                    packet::write_cookie(&mut self.buf[ADDRESSEE_BYTES..end], cookie);
                }
                let sent = self.socket.try_send_to(&self.buf[..end], SocketAddr::V4(to));
                self.count(sent.is_ok(), true);
            }
            Effect::Forward { packet: Packet::Buffered(kept), to, target, cookie } => {
                let mut buf = packet::addressee(target).to_vec();
                buf.extend_from_slice(&kept);
                if let Some(cookie) = cookie {
                    packet::write_cookie(&mut buf[ADDRESSEE_BYTES..], cookie);
                }
                let sent = self.socket.try_send_to(&buf, SocketAddr::V4(to));
                self.count(sent.is_ok(), true);
            }
            // Not a packet of a caller: the process has a task for it.
            Effect::Check { .. } => {}
            Effect::Reset(answered) => {
                let to = SocketAddrV4::new(*answered.flow.caller.ip(), self.caller_port);
                let sent = self.socket.try_send_to(&packet::reset(&answered), SocketAddr::V4(to));
                self.count(sent.is_ok(), false);
            }
        }
    }

    fn count(&mut self, sent: bool, to_target: bool) {
        let count = match (sent, to_target) {
            (false, _) => &mut self.counts.unsent,
            (true, true) => &mut self.counts.forwarded,
            (true, false) => &mut self.counts.resets,
        };
        *count += 1;
    }
}
