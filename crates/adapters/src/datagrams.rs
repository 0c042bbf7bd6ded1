//! UDP sockets for callers, for packets forwarded between instances, and for targets.
//!
//! A target replies to the local port that is assigned to the flow, and target and port together identify the flow. A
//! local port therefore carries at most one flow of each target at a time, and an instance needs no more local ports
//! than it has flows at its busiest target.

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

/// Counts of packets lost at the sockets.
#[derive(Debug, Default)]
pub struct SocketCounts {
    /// Forwarded packets that could not be decoded.
    pub malformed: AtomicU64,
    /// Packets too large to forward.
    pub too_large: AtomicU64,
    /// Packets that could not be sent because the socket's buffer was full or the socket returned an error.
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
    /// Binds the socket for forwarded packets; the sockets for targets are bound to `local_ip`, or to any IPv4 address
    /// if it is `None`.
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

    /// Returns the counts of packets lost at the sockets.
    pub fn counts(&self) -> &SocketCounts {
        &self.counts
    }

    /// Registers a service's socket, from which replies to its callers are sent.
    pub(crate) fn add_service(&self, service: ServiceId, socket: Arc<UdpSocket>) {
        self.services.write().unwrap_or_else(PoisonError::into_inner).insert(service, socket);
    }

    /// Removes a service's socket.
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
    /// Receives a service's packets until the instance shuts down or the service is removed.
    pub(crate) async fn serve_datagrams(self: Arc<Self>, service: ServiceId, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; wire::MAX_DATAGRAM_BYTES];
        loop {
            let Ok((len, caller)) = socket.recv_from(&mut buf).await else { continue };
            let action = self.handle_packet(Input::CallerPacket { service, caller });
            self.perform_packet_action(action, &buf[..len]);
        }
    }

    /// Receives forwarded packets until the instance shuts down.
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
            // An error here can mean that a target no longer listens; its flows end by the idle timeout.
            let Ok((len, target)) = socket.recv_from(&mut buf).await else { continue };
            let action = self.handle_packet(Input::TargetPacket { target, local_port });
            self.perform_packet_action(action, &buf[..len]);
        }
    }

    /// Performs the action that the core decided on for a packet.
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

    /// Returns the socket of a local port, which is bound on first use; `None` if it cannot be bound.
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
