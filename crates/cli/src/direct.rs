//! The `direct` command, which runs an instance in direct mode: targets answer callers themselves.

use std::net::SocketAddr;
use std::path::PathBuf;

use slog::Level;
use slog::error;
use tokio_util::sync::CancellationToken;

use crate::exit::Exit;
use crate::incarnation::incarnation;
use crate::settings::Environment;
use crate::settings::SettingsError;
use crate::settings::SettingsErrors;
use crate::settings::reader;
use crate::settings::reader::Reader;
use crate::settings::reader::Setting;
use crate::settings::reader::setting;
use hawthornshift_adapters::logs;
use hawthornshift_adapters::logs::LogLevelHandle;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_direct::Config;
use hawthornshift_direct::Process;
use hawthornshift_platform::settings::PlatformSettings;

/// Name of the command.
pub const COMMAND: &str = "direct";

/// All settings, in the order of the help text.
const SETTINGS: [Setting; 5] = [
    setting("settings", "PATH", None, "JSON settings file that the platform writes"),
    setting("metrics-port", "PORT", Some("9464"), "port of /metrics and /dump on this instance's address"),
    setting("log-level", "LEVEL", Some("info"), "trace, debug, info, warning, error or critical"),
    setting("without", "NAMES", Some(""), "comma-separated mechanisms to disable for an experiment"),
    setting("log-rate", "COUNT", Some("100"), "maximum number of decisions of one kind logged per second"),
];

/// Validated settings.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Path of the platform's settings file.
    pub path: PathBuf,
    /// Contents of the platform's settings file.
    pub platform: PlatformSettings,
    /// TCP port of `/metrics` and `/dump`.
    pub metrics_port: u16,
    /// Minimum level of logged records.
    pub log_level: Level,
    /// Maximum number of decisions of one kind that are logged per second.
    pub log_rate: u32,
    /// Mechanisms, without those disabled for an experiment.
    pub mechanisms: Mechanisms,
}

/// Action requested on the command line.
#[derive(Debug)]
pub enum DirectAction {
    /// Prints the help text.
    Help(String),
    /// Runs an instance with these settings.
    Run(Box<DirectSettings>),
}

/// Parses the command line, the environment and the settings file.
///
/// # Errors
///
/// Returns all errors found, not just the first.
pub fn read(args: &[String], environment: &Environment) -> Result<DirectAction, SettingsErrors> {
    let options = reader::options(&SETTINGS);
    let matches = options.parse(args).map_err(|fail| SettingsErrors(vec![fail.into()]))?;
    if matches.opt_present("help") {
        let brief = "Usage: hawthornshift direct [OPTIONS]\n\nRuns one instance in direct mode: targets answer callers \
                     themselves.";
        return Ok(DirectAction::Help(options.usage(brief)));
    }
    let mut reader = Reader::new(&SETTINGS, matches, environment);
    reader.check_unexpected();
    let settings = settings(&mut reader);
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(DirectAction::Run(Box::new(settings))),
        _ => Err(SettingsErrors(reader.errors)),
    }
}

fn settings(reader: &mut Reader<'_>) -> Option<DirectSettings> {
    let path = reader.required("settings").map(PathBuf::from);
    let metrics_port = reader.value("metrics-port", "a port");
    let log_level = reader.level();
    let log_rate = reader.value("log-rate", "an integer");
    let mechanisms = reader.value("without", "a comma-separated list of mechanisms");
    let path = path?;
    let text = std::fs::read(&path).map_err(|error| error.to_string());
    let platform = text.and_then(|text| PlatformSettings::from_json(&text).map_err(|error| error.to_string()));
    let platform =
        platform.map_err(|reason| reader.errors.push(SettingsError::SettingsFile { path: path.clone(), reason })).ok();
    Some(DirectSettings {
        path,
        platform: platform?,
        metrics_port: metrics_port?,
        log_level: log_level?,
        log_rate: log_rate?,
        mechanisms: mechanisms?,
    })
}

/// Runs one instance until it stops, and returns the exit code.
#[must_use]
pub fn run(args: &[String], environment: &Environment) -> Exit {
    match read(args, environment) {
        Ok(DirectAction::Help(text)) => {
            print!("{text}");
            Exit::Good
        }
        Ok(DirectAction::Run(settings)) => serve(*settings),
        Err(errors) => {
            eprint!("{errors}");
            eprintln!("See hawthornshift direct --help.");
            Exit::Usage
        }
    }
}

fn serve(settings: DirectSettings) -> Exit {
    let log = logs::logger_to(std::io::stdout(), LogLevelHandle::new(settings.log_level));
    // Single-threaded: the state has one owner, and the process is limited to a quarter of a core and a few megabytes
    // of memory.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "cannot start"; "error" => error.to_string());
            return Exit::CannotListen;
        }
    };
    let config = Config {
        metrics: SocketAddr::new(settings.platform.peer_address.ip(), settings.metrics_port),
        platform: settings.platform,
        settings_path: settings.path,
        incarnation: incarnation(),
        max_log_lines_per_second: settings.log_rate,
        mechanisms: settings.mechanisms,
        log: log.clone(),
    };
    let result = runtime.block_on(async {
        let process = Process::start(config, CancellationToken::new()).await?;
        process.run().await
    });
    match result {
        Ok(()) => Exit::Good,
        Err(error) => {
            error!(log, "cannot serve"; "error" => error.to_string());
            Exit::CannotListen
        }
    }
}
