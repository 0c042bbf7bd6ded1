//! The process of one instance on the direct path.

use std::net::SocketAddr;
use std::path::PathBuf;

use slog::Level;
use slog::error;
use tokio_util::sync::CancellationToken;

use crate::exit::Exit;
use crate::incarnation::incarnation;
use crate::settings::Environment;
use crate::settings::SettingsFault;
use crate::settings::SettingsFaults;
use crate::settings::reader;
use crate::settings::reader::Reader;
use crate::settings::reader::Setting;
use crate::settings::reader::setting;
use hawthornshift_adapters::logs;
use hawthornshift_adapters::logs::LevelSwitch;
use hawthornshift_core::direct::mechanisms::Mechanisms;
use hawthornshift_direct::Config;
use hawthornshift_direct::Process;
use hawthornshift_platform::settings::PlatformSettings;

/// The command that starts such an instance.
pub const COMMAND: &str = "direct";

/// Every setting, in the order of the help text.
const SETTINGS: [Setting; 5] = [
    setting("settings", "PATH", None, "settings file that the platform lays down, as JSON"),
    setting("metrics-port", "PORT", Some("9464"), "port of /metrics and /dump on this instance's address"),
    setting("log-level", "LEVEL", Some("info"), "trace, debug, info, warning, error or critical"),
    setting("without", "NAMES", Some(""), "mechanisms to switch off for a trial, with commas between them"),
    setting("log-rate", "COUNT", Some("100"), "decisions of one kind that are logged in a second at the most"),
];

/// Settings that have passed the check.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Where the platform's settings file lies.
    pub path: PathBuf,
    /// What it says.
    pub platform: PlatformSettings,
    /// Port of metrics and dump.
    pub metrics_port: u16,
    /// What to log.
    pub log_level: Level,
    /// Decisions of one kind that are logged in a second at the most.
    pub log_rate: u32,
    /// What is switched off for a trial.
    pub mechanisms: Mechanisms,
}

/// What the command line asks for.
#[derive(Debug)]
pub enum DirectRequest {
    /// The help text.
    Help(String),
    /// To run.
    Run(Box<DirectSettings>),
}

/// Reads the command line, the environment and the settings file.
///
/// # Errors
///
/// Returns every fault at once.
pub fn read(args: &[String], environment: &Environment) -> Result<DirectRequest, SettingsFaults> {
    let options = reader::options(&SETTINGS);
    let matches = options.parse(args).map_err(|fail| SettingsFaults(vec![fail.into()]))?;
    if matches.opt_present("help") {
        let brief = "Usage: hawthornshift direct [OPTIONS]\n\nRuns one instance in front of targets that answer callers \
                     themselves.";
        return Ok(DirectRequest::Help(options.usage(brief)));
    }
    let mut reader = Reader::new(&SETTINGS, matches, environment);
    reader.check_strays();
    let settings = settings(&mut reader);
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(DirectRequest::Run(Box::new(settings))),
        _ => Err(SettingsFaults(reader.faults)),
    }
}

fn settings(reader: &mut Reader<'_>) -> Option<DirectSettings> {
    let path = reader.required("settings").map(PathBuf::from);
    let metrics_port = reader.value("metrics-port", "a port");
    let log_level = reader.level();
    let log_rate = reader.value("log-rate", "a whole number");
    let mechanisms = reader.value("without", "names of mechanisms");
    let path = path?;
    let text = std::fs::read(&path).map_err(|error| error.to_string());
    let platform = text.and_then(|text| PlatformSettings::from_json(&text).map_err(|error| error.to_string()));
    let platform =
        platform.map_err(|reason| reader.faults.push(SettingsFault::File { path: path.clone(), reason })).ok();
    Some(DirectSettings {
        path,
        platform: platform?,
        metrics_port: metrics_port?,
        log_level: log_level?,
        log_rate: log_rate?,
        mechanisms: mechanisms?,
    })
}

/// Runs one instance until it is told to stop.
#[must_use]
pub fn run(args: &[String], environment: &Environment) -> Exit {
    match read(args, environment) {
        Ok(DirectRequest::Help(text)) => {
            print!("{text}");
            Exit::Good
        }
        Ok(DirectRequest::Run(settings)) => serve(*settings),
        Err(faults) => {
            eprint!("{faults}");
            eprintln!("See hawthornshift direct --help.");
            Exit::Usage
        }
    }
}

fn serve(settings: DirectSettings) -> Exit {
    let log = logs::logger_to(std::io::stdout(), LevelSwitch::new(settings.log_level));
    // One thread: the state has one owner, and a process here has a quarter of a core and a few megabytes.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!(log, "cannot start"; "error" => error.to_string());
            return Exit::CannotListen;
        }
    };
    let config = Config {
        metrics: SocketAddr::new(settings.platform.peers.ip(), settings.metrics_port),
        platform: settings.platform,
        settings_path: settings.path,
        incarnation: incarnation(),
        log_rate: settings.log_rate,
        mechanisms: settings.mechanisms,
        log: log.clone(),
    };
    let served = runtime.block_on(async {
        let process = Process::start(config, CancellationToken::new()).await?;
        process.run().await
    });
    match served {
        Ok(()) => Exit::Good,
        Err(error) => {
            error!(log, "cannot serve"; "error" => error.to_string());
            Exit::CannotListen
        }
    }
}
