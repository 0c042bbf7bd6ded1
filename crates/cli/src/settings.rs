//! Settings of an instance: flags and environment variables, checked all at once.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use slog::Level;
use thiserror::Error;

use hawthornshift_core::Tuning;
use hawthornshift_core::tuning::TuningError;
use hawthornshift_model::InstanceId;

/// Prefix of the environment variables.
const PREFIX: &str = "HAWTHORNSHIFT_";

/// Environment variables by name.
pub type Environment = BTreeMap<String, String>;

/// One setting: a flag and an environment variable of the same name.
#[derive(Clone, Copy, Debug)]
struct Setting {
    flag: &'static str,
    hint: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const fn setting(flag: &'static str, hint: &'static str, default: Option<&'static str>, help: &'static str) -> Setting {
    Setting { flag, hint, default, help }
}

/// Every setting, in the order of the help text.
const SETTINGS: [Setting; 18] = [
    setting("id", "NUMBER", None, "number of this instance, unique among the live ones"),
    setting("failure-domain", "NAME", None, "failure domain that this instance runs in"),
    setting("platform", "IP:PORT", None, "where the platform's configuration service answers"),
    setting("control", "IP:PORT", None, "where to listen for other instances (TCP)"),
    setting("forward", "IP:PORT", None, "where to listen for packets that other instances forward (UDP)"),
    setting("admin", "IP:PORT", Some("127.0.0.1:9600"), "where to listen for operators (HTTP)"),
    setting(
        "admin-token",
        "TOKEN",
        None,
        "token that operators must show; needed when admin is not a loopback address",
    ),
    setting("listen", "IP", None, "listen for callers here instead of on the services' own addresses"),
    setting("peers", "IP:PORT,...", None, "other instances to ask when the platform cannot be reached"),
    setting("log-level", "LEVEL", Some("info"), "trace, debug, info, warning, error or critical"),
    setting("flow-capacity", "COUNT", Some("500000"), "most datagram flows known at once"),
    setting("drain-ms", "MS", Some("30000"), "longest time of a planned stop"),
    setting("ping-period-ms", "MS", Some("400"), "time between two heartbeats"),
    setting("ping-timeout-ms", "MS", Some("250"), "time after which a heartbeat is tried through others"),
    setting("lease-ms", "MS", Some("1500"), "time for which a view is trusted without word from any peer"),
    setting("suspicion-ms", "MS", Some("1600"), "time for which a silent peer is suspected before it counts as dead"),
    setting("ticket-life-ms", "MS", Some("600000"), "time for which a ticket may be redeemed"),
    setting("answer-bytes", "BYTES", Some("33554432"), "most bytes of answers kept for retries"),
];

/// One thing wrong with the settings.
#[derive(Debug, Error)]
pub enum SettingsFault {
    /// A flag is unknown or lacks its value.
    #[error("{0}")]
    Flags(#[from] getopts::Fail),
    /// A word that is no flag.
    #[error("unexpected argument {0:?}")]
    Stray(String),
    /// A setting without a default is missing.
    #[error("--{flag} (or {PREFIX}{variable}) is missing")]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The variable, without its prefix.
        variable: String,
    },
    /// A value cannot be read.
    #[error("--{flag}: {value:?} is not {expected}: {reason}")]
    Malformed {
        /// The flag.
        flag: &'static str,
        /// What was given.
        value: String,
        /// What is expected.
        expected: &'static str,
        /// Why it is not that.
        reason: String,
    },
    /// An environment variable has the prefix but no setting has its name.
    #[error("{PREFIX}{0} is not a setting")]
    UnknownVariable(String),
    /// The admin service could be reached from outside without a token.
    #[error("--admin {0} is not a loopback address, so --admin-token is needed")]
    OpenAdmin(SocketAddr),
    /// Two listeners would share an address.
    #[error("--{0} and --{1} name the same address")]
    SameAddress(&'static str, &'static str),
    /// Times or limits contradict each other.
    #[error(transparent)]
    Tuning(#[from] TuningError),
}

/// All that is wrong with the settings.
#[derive(Debug)]
pub struct SettingsFaults(pub Vec<SettingsFault>);

impl fmt::Display for SettingsFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// What the command line asks for.
#[derive(Debug)]
pub enum Request {
    /// The help text.
    Help(String),
    /// The version.
    Version,
    /// To run.
    Run(Box<Settings>),
}

/// Settings that have passed the check.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of the instance.
    pub id: InstanceId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where to listen for other instances.
    pub control: SocketAddr,
    /// Where to listen for forwarded packets.
    pub forward: SocketAddr,
    /// Where to listen for operators.
    pub admin: SocketAddr,
    /// What operators must show.
    pub admin_token: Option<String>,
    /// Where to listen for callers.
    pub listen: Option<IpAddr>,
    /// Peers to ask without the platform.
    pub peers: Vec<SocketAddr>,
    /// What to log.
    pub log_level: Level,
    /// Times and limits.
    pub tuning: Tuning,
}

/// Reads the command line and the environment.
///
/// A flag wins over its variable.
///
/// # Errors
///
/// Returns every fault at once.
pub fn read(args: &[String], environment: &Environment) -> Result<Request, SettingsFaults> {
    let options = options();
    let matches = options.parse(args).map_err(|fail| SettingsFaults(vec![fail.into()]))?;
    if matches.opt_present("help") {
        return Ok(Request::Help(usage(&options)));
    }
    if matches.opt_present("version") {
        return Ok(Request::Version);
    }
    let mut reader = Reader { matches, environment, faults: Vec::new() };
    reader.check_strays();
    let settings = reader.settings();
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(Request::Run(Box::new(settings))),
        _ => Err(SettingsFaults(reader.faults)),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    for setting in SETTINGS {
        let default = setting.default.map(|default| format!(" (default {default})")).unwrap_or_default();
        options.optopt("", setting.flag, &format!("{}{default}", setting.help), setting.hint);
    }
    options.optflag("h", "help", "show this text");
    options.optflag("V", "version", "show the version");
    options
}

fn usage(options: &Options) -> String {
    let brief = "Usage: hawthornshift [OPTIONS]\n\nRuns one instance of the load balancer.";
    let notes = format!(
        "Each option can be given as an environment variable: --drain-ms is {PREFIX}DRAIN_MS.\n\
         SIGTERM and SIGINT stop the instance as planned. Exit codes: 0 planned stop, 2 wrong settings,\n\
         3 cannot listen, 4 a newer process lives under the same id.\n"
    );
    format!("{}\n{notes}", options.usage(brief))
}

/// Reads values and collects what is wrong with them.
struct Reader<'a> {
    matches: Matches,
    environment: &'a Environment,
    faults: Vec<SettingsFault>,
}

impl Reader<'_> {
    fn check_strays(&mut self) {
        let strays: Vec<_> = self.matches.free.iter().cloned().map(SettingsFault::Stray).collect();
        self.faults.extend(strays);
        let known: Vec<String> = SETTINGS.iter().map(|setting| variable(setting.flag)).collect();
        let named = self.environment.keys().filter_map(|name| name.strip_prefix(PREFIX));
        let mut unknown: Vec<String> = named.map(str::to_owned).filter(|name| !known.contains(name)).collect();
        unknown.sort();
        self.faults.extend(unknown.into_iter().map(SettingsFault::UnknownVariable));
    }

    fn text(&self, flag: &'static str) -> Option<String> {
        let given = self.matches.opt_str(flag);
        let given = given.or_else(|| self.environment.get(&format!("{PREFIX}{}", variable(flag))).cloned());
        let default = SETTINGS.iter().find(|setting| setting.flag == flag).and_then(|setting| setting.default);
        given.or_else(|| default.map(str::to_owned))
    }

    fn required(&mut self, flag: &'static str) -> Option<String> {
        let text = self.text(flag);
        if text.is_none() {
            self.faults.push(SettingsFault::Missing { flag, variable: variable(flag) });
        }
        text
    }

    fn parse<T>(&mut self, flag: &'static str, value: String, expected: &'static str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.faults.push(SettingsFault::Malformed { flag, value, expected, reason: error.to_string() });
                None
            }
        }
    }

    fn value<T>(&mut self, flag: &'static str, expected: &'static str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self.required(flag)?;
        self.parse(flag, text, expected)
    }

    fn optional<T>(&mut self, flag: &'static str, expected: &'static str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self.text(flag)?;
        self.parse(flag, text, expected)
    }

    fn millis(&mut self, flag: &'static str) -> Option<Duration> {
        self.value(flag, "a number of milliseconds").map(Duration::from_millis)
    }

    fn level(&mut self) -> Option<Level> {
        let text = self.required("log-level")?;
        let level = text.parse().ok();
        if level.is_none() {
            let expected = "a log level";
            let reason = "unknown level".to_owned();
            self.faults.push(SettingsFault::Malformed { flag: "log-level", value: text, expected, reason });
        }
        level
    }

    /// Reads every setting, also after a fault, so that all faults are found.
    fn settings(&mut self) -> Option<Settings> {
        let id = self.value("id", "a whole number");
        let failure_domain = self.required("failure-domain");
        let platform = self.value("platform", "an address");
        let control = self.value("control", "an address");
        let forward = self.value("forward", "an address");
        let admin = self.value("admin", "an address");
        let admin_token = self.text("admin-token");
        let listen = self.optional("listen", "an IP number");
        let peers = self.peers();
        let log_level = self.level();
        let tuning = self.tuning();
        self.check_admin(admin, admin_token.as_ref());
        self.check_distinct(control, admin);
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
        let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
        words.filter_map(|word| self.parse("peers", word.to_owned(), "an address")).collect()
    }

    fn tuning(&mut self) -> Option<Tuning> {
        let flow_capacity = self.value("flow-capacity", "a whole number");
        let drain = self.millis("drain-ms");
        let ping_period = self.millis("ping-period-ms");
        let ping_timeout = self.millis("ping-timeout-ms");
        let lease = self.millis("lease-ms");
        let suspicion = self.millis("suspicion-ms");
        let ticket_life = self.millis("ticket-life-ms");
        let answer_bytes = self.value("answer-bytes", "a whole number");
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
                self.faults.push(error.into());
                None
            }
        }
    }

    /// Whoever reaches the admin service can stop the instance.
    fn check_admin(&mut self, admin: Option<SocketAddr>, token: Option<&String>) {
        let empty = token.is_none_or(String::is_empty);
        if let Some(admin) = admin.filter(|admin| !admin.ip().is_loopback() && empty) {
            self.faults.push(SettingsFault::OpenAdmin(admin));
        }
    }

    fn check_distinct(&mut self, control: Option<SocketAddr>, admin: Option<SocketAddr>) {
        if control.is_some() && control == admin && control.is_some_and(|address| address.port() != 0) {
            self.faults.push(SettingsFault::SameAddress("control", "admin"));
        }
    }
}

/// Returns the name of a flag's environment variable, without the prefix.
fn variable(flag: &str) -> String {
    flag.replace('-', "_").to_uppercase()
}
