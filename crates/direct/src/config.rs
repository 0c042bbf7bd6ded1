//! Start parameters of a process.

use std::net::SocketAddr;
use std::path::PathBuf;

use slog::Logger;

use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_model::Incarnation;
use hawthornshift_platform::settings::PlatformSettings;

/// Start parameters of a process; the code that constructs them validates them.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings from the platform's settings file.
    pub platform: PlatformSettings,
    /// Path of the settings file, which is read again when it changes.
    pub settings_path: PathBuf,
    /// Incarnation of the instance, higher after each restart.
    pub incarnation: Incarnation,
    /// Address on which metrics and the state dump are served over HTTP.
    pub metrics: SocketAddr,
    /// Maximum of log lines per second for decisions of one outcome.
    pub max_log_lines_per_second: u32,
    /// Mechanisms in use; single ones can be disabled for experiments.
    pub mechanisms: Mechanisms,
    /// Root logger of the process.
    pub log: Logger,
}
