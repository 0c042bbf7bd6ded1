//! The configuration of an instance.

use std::net::IpAddr;
use std::net::SocketAddr;

use slog::Logger;

use crate::logs::LogLevelHandle;
use hawthornshift_core::Tuning;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;

/// The configuration of an instance; the setters take and return it, like those of a builder.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) id: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) failure_domain: String,
    pub(crate) control: SocketAddr,
    pub(crate) forward: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) admin_token: Option<String>,
    pub(crate) listen: Option<IpAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) tuning: Tuning,
    pub(crate) logger: Logger,
    pub(crate) level: LogLevelHandle,
}

impl Config {
    /// Creates a configuration from the values that have no default: identity, addresses, platform and logger.
    ///
    /// For a port of zero in `addresses`, the operating system chooses a free port.
    #[must_use]
    pub fn new(
        id: InstanceId,
        incarnation: Incarnation,
        failure_domain: String,
        addresses: Addresses,
        platform: SocketAddr,
        logger: Logger,
    ) -> Self {
        Self {
            id,
            incarnation,
            failure_domain,
            control: addresses.control,
            forward: addresses.forward,
            admin: addresses.admin,
            admin_token: None,
            listen: None,
            platform,
            peers: Vec::new(),
            tuning: Tuning::default(),
            logger,
            level: LogLevelHandle::default(),
        }
    }

    /// Sets the token that the admin service requires, except for health, readiness and metrics; `None` requires none.
    #[must_use]
    pub fn admin_token(mut self, token: Option<String>) -> Self {
        self.admin_token = token;
        self
    }

    /// Sets the IP address on which to listen for callers, instead of the services' own addresses; the services' ports
    /// stay. The UDP sockets for targets are bound to it, too.
    #[must_use]
    pub fn listen(mut self, listen: Option<IpAddr>) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the control addresses of peers to discover at start, which works while the platform is unreachable.
    #[must_use]
    pub fn peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the timeouts and limits of the core.
    #[must_use]
    pub fn tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Sets the handle with which the admin service changes the log level at run time.
    #[must_use]
    pub fn level(mut self, level: LogLevelHandle) -> Self {
        self.level = level;
        self
    }
}

/// The addresses on which an instance listens, except those for callers.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Messages and forwarded requests of other instances, over TCP.
    pub control: SocketAddr,
    /// Forwarded packets, over UDP.
    pub forward: SocketAddr,
    /// Requests of operators, over HTTP.
    pub admin: SocketAddr,
}
