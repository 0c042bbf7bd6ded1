//! UDP: callers' packets, packets forwarded between instances, and the local ports towards targets.
//!
//! A target's packet comes back to the local port that its flow was given, so one port serves one flow of each
//! target at once, and an instance needs no more ports than it has flows at its busiest target.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;

use crate::engine::Engine;
use crate::wire;
use hawthornshift_core::Input;
use hawthornshift_core::event::LocalPort;
use hawthornshift_core::event::PacketAction;
use hawthornshift_model::ServiceId;

/// Packets that were lost at a socket.
#[derive(Debug, Default)]
pub struct SocketCounts {
    /// Forwarded packets that could not be read.
    pub malformed: AtomicU64,
    /// Packets too large to forward.
    pub too_large: AtomicU64,
    /// Packets that a full or failing socket did not take.
    pub unsent: AtomicU64,
}

/// The UDP sockets of one instance.
pub struct Datagrams {
    forward: Arc<UdpSocket>,
    local_ip: IpAddr,
    services: RwLock<HashMap<ServiceId, Arc<UdpSocket>>>,
    local_ports: RwLock<HashMap<LocalPort, Arc<UdpSocket>>>,
    counts: SocketCounts,
}

impl Datagrams {
    /// Binds the socket for forwarded packets; targets are sent to from `local_ip`.
    pub(crate) async fn bind(forward: SocketAddr, local_ip: Option<IpAddr>) -> io::Result<Self> {
        Ok(Self {
            forward: Arc::new(UdpSocket::bind(forward).await?),
            local_ip: local_ip.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
            services: RwLock::default(),
            local_ports: RwLock::default(),
            counts: SocketCounts::default(),
        })
    }

    /// Returns the address of the socket for forwarded packets.
    pub(crate) fn forward_address(&self) -> io::Result<SocketAddr> {
        self.forward.local_addr()
    }

    /// Returns the packets lost at sockets.
    pub fn counts(&self) -> &SocketCounts {
        &self.counts
    }

    /// Gives a service's socket, from which its callers are answered.
    pub(crate) fn add_service(&self, service: ServiceId, socket: Arc<UdpSocket>) {
        self.services.write().unwrap_or_else(PoisonError::into_inner).insert(service, socket);
    }

    /// Takes a service's socket away.
    pub(crate) fn remove_service(&self, service: ServiceId) {
        self.services.write().unwrap_or_else(PoisonError::into_inner).remove(&service);
    }

    fn service_socket(&self, service: ServiceId) -> Option<Arc<UdpSocket>> {
        self.services.read().unwrap_or_else(PoisonError::into_inner).get(&service).cloned()
    }

    fn send(&self, socket: &UdpSocket, packet: &[u8], to: SocketAddr) {
        if socket.try_send_to(packet, to).is_err() {
            self.counts.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Engine {
    /// Reads a service's packets until the instance or the service ends.
    pub(crate) async fn serve_datagrams(self: Arc<Self>, service: ServiceId, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, caller)) = socket.recv_from(&mut buf).await else { continue };
            let action = self.handle_packet(Input::CallerPacket { service, caller });
            self.perform_packet_action(action, &buf[..len]);
        }
    }

    /// Reads forwarded packets until the instance ends.
    pub(crate) async fn serve_forwarded(self: Arc<Self>) {
        let socket = Arc::clone(&self.datagrams.forward);
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf).await else { continue };
            match wire::decode(&buf[..len]) {
                Ok((head, payload)) => {
                    let action = self.handle_packet(Input::ForwardedPacket(head));
                    self.perform_packet_action(action, payload);
                }
                Err(_) => {
                    self.datagrams.counts.malformed.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    async fn serve_local_port(self: Arc<Self>, local_port: LocalPort, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            // A target that is gone shows as an error here; its flows end by silence.
            let Ok((len, target)) = socket.recv_from(&mut buf).await else { continue };
            let action = self.handle_packet(Input::TargetPacket { target, local_port });
            self.perform_packet_action(action, &buf[..len]);
        }
    }

    /// Does what was decided about a packet.
    fn perform_packet_action(self: &Arc<Self>, action: Option<PacketAction>, payload: &[u8]) {
        match action {
            Some(PacketAction::ToTarget { local_port, target }) => {
                if let Some(socket) = self.local_port_socket(local_port) {
                    self.datagrams.send(&socket, payload, target);
                }
            }
            Some(PacketAction::Forward { address, head }) => {
                let mut buf = Vec::with_capacity(payload.len() + wire::MAX_HEADER_BYTES);
                if wire::encode(&head, payload, &mut buf).is_ok() {
                    self.datagrams.send(&self.datagrams.forward, &buf, address);
                } else {
                    self.datagrams.counts.too_large.fetch_add(1, Ordering::Relaxed);
                }
            }
            Some(PacketAction::ToCaller { service, caller }) => {
                if let Some(socket) = self.datagrams.service_socket(service) {
                    self.datagrams.send(&socket, payload, caller);
                }
            }
            Some(PacketAction::Drop(_)) | None => {}
        }
    }

    /// Returns the local port of a channel, opened when it is first used.
    fn local_port_socket(self: &Arc<Self>, local_port: LocalPort) -> Option<Arc<UdpSocket>> {
        let local_ports = &self.datagrams.local_ports;
        if let Some(socket) = local_ports.read().unwrap_or_else(PoisonError::into_inner).get(&local_port) {
            return Some(Arc::clone(socket));
        }
        let mut local_ports = local_ports.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(socket) = local_ports.get(&local_port) {
            return Some(Arc::clone(socket));
        }
        let socket = self.open_local_port().ok()?;
        local_ports.insert(local_port, Arc::clone(&socket));
        let engine = Arc::clone(self);
        let task = engine.serve_local_port(local_port, Arc::clone(&socket));
        self.spawn(task);
        Some(socket)
    }

    fn open_local_port(&self) -> io::Result<Arc<UdpSocket>> {
        let socket = std::net::UdpSocket::bind(SocketAddr::new(self.datagrams.local_ip, 0))?;
        socket.set_nonblocking(true)?;
        let _context = self.runtime.enter();
        Ok(Arc::new(UdpSocket::from_std(socket)?))
    }
}
