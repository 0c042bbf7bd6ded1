//! Reload of the settings file, on a signal or when the file changes.

use std::path::Path;
use std::time::SystemTime;

use slog::Logger;
use slog::info;
use slog::warn;

use hawthornshift_platform::settings::PlatformSettings;

/// The settings in use and the modification time of their file.
#[derive(Debug)]
pub struct SettingsReloader {
    settings: PlatformSettings,
    modified: Option<SystemTime>,
}

impl SettingsReloader {
    /// Creates a reloader with the settings that were read from a file.
    #[must_use]
    pub fn new(path: &Path, settings: PlatformSettings) -> Self {
        Self { settings, modified: modified(path) }
    }

    /// Reads the file again if its modification time has changed or a signal was received. Returns the new settings.
    ///
    /// Addresses cannot change in a running process; a change of them is logged and takes effect at the next start. If the
    /// file cannot be read or is invalid, the error is logged, the previous settings stay in use and the process keeps
    /// serving.
    pub fn reload_if_changed(&mut self, path: &Path, signalled: bool, log: &Logger) -> Option<&PlatformSettings> {
        let now = modified(path);
        if !signalled && now == self.modified {
            return None;
        }
        self.modified = now;
        let read = std::fs::read(path).map_err(|error| error.to_string());
        let read = read.and_then(|text| PlatformSettings::from_json(&text).map_err(|error| error.to_string()));
        match read {
            Err(error) => {
                warn!(log, "settings not reloaded; previous settings stay in use"; "error" => error);
                None
            }
            Ok(settings) => {
                let old = &self.settings;
                let addresses_changed = (old.packet_address, old.ready_address, old.peer_address)
                    != (settings.packet_address, settings.ready_address, settings.peer_address);
                info!(log, "settings reloaded"; "signalled" => signalled, "changed" => *old != settings);
                if addresses_changed {
                    warn!(log, "addresses changed; they take effect at the next start");
                }
                self.settings = settings;
                Some(&self.settings)
            }
        }
    }
}

/// Returns the modification time of the file, or `None` if it cannot be read; the next check tries again.
fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}
