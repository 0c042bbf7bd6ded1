//! What a process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use slog::Logger;

use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_model::Incarnation;
use hawthornshift_platform::settings::PlatformSettings;

/// Everything that a process needs to know before it starts; checked by whoever makes it.
#[derive(Clone, Debug)]
pub struct Config {
    /// What the platform has laid down.
    pub platform: PlatformSettings,
    /// Where that lies, to be read again when it changes.
    pub settings_path: PathBuf,
    /// Number of this life of the instance.
    pub incarnation: Incarnation,
    /// Where metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// Decisions of one kind that are logged in a second at the most.
    pub log_rate: u32,
    /// What is switched off for a trial.
    pub mechanisms: Mechanisms,
    /// Where log lines go.
    pub log: Logger,
}
