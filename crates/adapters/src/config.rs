//! What an instance needs to know to start.

use std::net::IpAddr;
use std::net::SocketAddr;

use slog::Logger;

use crate::logs::LevelSwitch;
use hawthornshift_core::Tuning;
use hawthornshift_model::Incarnation;
use hawthornshift_model::InstanceId;

/// What an instance needs to know to start; made by the builder-like setters.
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
    pub(crate) level: LevelSwitch,
}

impl Config {
    /// Starts with what has no default: who the instance is and where it listens.
    ///
    /// A port of zero lets the system choose one.
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
            level: LevelSwitch::default(),
        }
    }

    /// Requires a token for everything of the admin service but health, readiness and metrics.
    #[must_use]
    pub fn admin_token(mut self, token: Option<String>) -> Self {
        self.admin_token = token;
        self
    }

    /// Listens for callers on this address instead of the services' own, at the services' ports.
    #[must_use]
    pub fn listen(mut self, listen: Option<IpAddr>) -> Self {
        self.listen = listen;
        self
    }

    /// Names peers to ask when the platform cannot be reached.
    #[must_use]
    pub fn peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.peers = peers;
        self
    }

    /// Replaces the times and limits of the core.
    #[must_use]
    pub fn tuning(mut self, tuning: Tuning) -> Self {
        self.tuning = tuning;
        self
    }

    /// Gives the switch by which the log level is changed while the process runs.
    #[must_use]
    pub fn level(mut self, level: LevelSwitch) -> Self {
        self.level = level;
        self
    }
}

/// Where an instance listens, callers apart.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Messages of other instances, over TCP.
    pub control: SocketAddr,
    /// Forwarded packets, over UDP.
    pub forward: SocketAddr,
    /// Operators, over HTTP.
    pub admin: SocketAddr,
}
