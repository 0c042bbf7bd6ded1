//! Settings of an instance from flags and environment variables. All errors are reported at once.

pub(crate) mod reader;

use std::net::IpAddr;
use std::net::SocketAddr;

use getopts::Options;
use slog::Level;

pub use self::reader::Environment;
use self::reader::PREFIX;
use self::reader::Reader;
use self::reader::Setting;
pub use self::reader::SettingsError;
pub use self::reader::SettingsErrors;
use self::reader::setting;
use hawthornshift_core::Tuning;
use hawthornshift_model::InstanceId;

/// All settings, in the order of the help text.
const SETTINGS: [Setting; 18] = [
    setting("id", "NUMBER", None, "number of this instance, unique among the running instances"),
    setting("failure-domain", "NAME", None, "failure domain that this instance runs in"),
    setting("platform", "IP:PORT", None, "address of the platform's configuration service"),
    setting("control", "IP:PORT", None, "listen address for other instances (TCP)"),
    setting("forward", "IP:PORT", None, "listen address for packets that other instances forward (UDP)"),
    setting("admin", "IP:PORT", Some("127.0.0.1:9600"), "listen address for operators (HTTP)"),
    setting(
        "admin-token",
        "TOKEN",
        None,
        "token that operators must send; required if --admin is not a loopback address",
    ),
    setting("listen", "IP", None, "listen for callers on this address instead of the services' own addresses"),
    setting("peers", "IP:PORT,...", None, "other instances to query when the platform is unreachable"),
    setting("log-level", "LEVEL", Some("info"), "trace, debug, info, warning, error or critical"),
    setting("flow-capacity", "COUNT", Some("500000"), "maximum number of tracked datagram flows"),
    setting("drain-ms", "MS", Some("30000"), "maximum duration of a graceful shutdown"),
    setting("ping-period-ms", "MS", Some("400"), "interval between heartbeats"),
    setting("ping-timeout-ms", "MS", Some("250"), "heartbeat timeout, after which indirect pings are sent"),
    setting("lease-ms", "MS", Some("1500"), "time for which a view stays valid without contact with any peer"),
    setting(
        "suspicion-ms",
        "MS",
        Some("1600"),
        "time for which an unresponsive peer is suspected before it is declared dead",
    ),
    setting("ticket-life-ms", "MS", Some("600000"), "time for which a ticket is valid"),
    setting("answer-bytes", "BYTES", Some("33554432"), "maximum size of the answers stored for retries"),
];

/// Action requested on the command line.
#[derive(Debug)]
pub enum Action {
    /// Prints the help text.
    Help(String),
    /// Prints the version.
    Version,
    /// Runs an instance with these settings.
    Run(Box<Settings>),
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of the instance, unique among the running instances.
    pub id: InstanceId,
    /// Name of the failure domain that the instance runs in.
    pub failure_domain: String,
    /// Address of the platform's configuration service.
    pub platform: SocketAddr,
    /// Listen address for other instances (TCP).
    pub control: SocketAddr,
    /// Listen address for forwarded packets (UDP).
    pub forward: SocketAddr,
    /// Listen address for operators (HTTP).
    pub admin: SocketAddr,
    /// Token that operators must send.
    pub admin_token: Option<String>,
    /// Listen address for callers; the services' own addresses when absent.
    pub listen: Option<IpAddr>,
    /// Other instances to query when the platform is unreachable.
    pub peers: Vec<SocketAddr>,
    /// Minimum level of logged records.
    pub log_level: Level,
    /// Timeouts and limits.
    pub tuning: Tuning,
}

/// Parses the command line and the environment.
///
/// A flag overrides the environment variable of the same setting.
///
/// # Errors
///
/// Returns all errors found, not just the first.
pub fn read(args: &[String], environment: &Environment) -> Result<Action, SettingsErrors> {
    let options = reader::options(&SETTINGS);
    let matches = options.parse(args).map_err(|fail| SettingsErrors(vec![fail.into()]))?;
    if matches.opt_present("help") {
        return Ok(Action::Help(usage(&options)));
    }
    if matches.opt_present("version") {
        return Ok(Action::Version);
    }
    let mut reader = Reader::new(&SETTINGS, matches, environment);
    reader.check_unexpected();
    let settings = reader.settings();
    match settings {
        Some(settings) if reader.errors.is_empty() => Ok(Action::Run(Box::new(settings))),
        _ => Err(SettingsErrors(reader.errors)),
    }
}

fn usage(options: &Options) -> String {
    let brief = "Usage: hawthornshift [OPTIONS]\n\nRuns one instance of the load balancer.";
    let notes = format!(
        "Each option can be given as an environment variable: --drain-ms is {PREFIX}DRAIN_MS.\n\
         SIGTERM and SIGINT shut the instance down gracefully. Exit codes: 0 graceful shutdown,\n\
         2 invalid settings, 3 cannot start or listen, 4 a newer process runs under the same id.\n"
    );
    format!("{}\n{notes}", options.usage(brief))
}

impl Reader<'_> {
    /// Reads all settings; continues after an error so that all errors are reported.
    fn settings(&mut self) -> Option<Settings> {
        let id = self.value("id", "an integer");
        let failure_domain = self.required("failure-domain");
        let platform = self.value("platform", "an address");
        let control = self.value("control", "an address");
        let forward = self.value("forward", "an address");
        let admin = self.value("admin", "an address");
        let admin_token = self.text("admin-token");
        let listen = self.optional("listen", "an IP address");
        let peers = self.peers();
        let log_level = self.level();
        let tuning = self.tuning();
        self.check_admin_token(admin, admin_token.as_ref());
        self.check_distinct_addresses(control, admin);
        Some(Settings {
            id: id?,
            failure_domain: failure_domain?,
            platform: platform?,
            control: control?,
            forward: forward?,
            admin: admin?,
            admin_token,
            listen,
            peers,
            log_level: log_level?,
            tuning: tuning?,
        })
    }

    fn peers(&mut self) -> Vec<SocketAddr> {
        let text = self.text("peers").unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse("peers", part.to_owned(), "an address")).collect()
    }

    fn tuning(&mut self) -> Option<Tuning> {
        let flow_capacity = self.value("flow-capacity", "an integer");
        let drain = self.millis("drain-ms");
        let ping_period = self.millis("ping-period-ms");
        let ping_timeout = self.millis("ping-timeout-ms");
        let lease = self.millis("lease-ms");
        let suspicion = self.millis("suspicion-ms");
        let ticket_life = self.millis("ticket-life-ms");
        let answer_bytes = self.value("answer-bytes", "an integer");
        let tuning = Tuning::default()
            .flow_capacity(flow_capacity?)
            .drain(drain?)
            .ping_period(ping_period?)
            .ping_timeout(ping_timeout?)
            .lease(lease?)
            .suspicion(suspicion?)
            .ticket_life(ticket_life?)
            .answer_bytes(answer_bytes?);
        match tuning.checked() {
            Ok(tuning) => Some(tuning),
            Err(error) => {
                self.errors.push(error.into());
                None
            }
        }
    }

    /// Requires a token unless the admin service listens on loopback: anyone who can reach it can stop the instance.
    fn check_admin_token(&mut self, admin: Option<SocketAddr>, token: Option<&String>) {
        let no_token = token.is_none_or(String::is_empty);
        if let Some(admin) = admin.filter(|admin| !admin.ip().is_loopback() && no_token) {
            self.errors.push(SettingsError::AdminWithoutToken(admin));
        }
    }

    fn check_distinct_addresses(&mut self, control: Option<SocketAddr>, admin: Option<SocketAddr>) {
        if control.is_some() && control == admin && control.is_some_and(|address| address.port() != 0) {
            self.errors.push(SettingsError::DuplicateAddress("control", "admin"));
        }
    }
}
