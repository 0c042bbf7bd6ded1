//! Reads settings from flags and environment variables and collects all errors.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use slog::Level;
use thiserror::Error;

use hawthornshift_core::tuning::TuningError;

/// Prefix of the environment variables.
pub(crate) const PREFIX: &str = "HAWTHORNSHIFT_";

/// Environment variables: values by name.
pub type Environment = BTreeMap<String, String>;

/// One setting: a flag and an environment variable of the same name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    flag: &'static str,
    value_name: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

pub(crate) const fn setting(
    flag: &'static str,
    value_name: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Setting {
    Setting { flag, value_name, default, help }
}

/// An error in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A flag is unknown or its value is missing.
    #[error("{0}")]
    InvalidFlag(#[from] getopts::Fail),
    /// A positional argument was given; there are none.
    #[error("unexpected argument {0:?}")]
    UnexpectedArgument(String),
    /// A required setting is missing.
    #[error("--{flag} (or {PREFIX}{variable}) is required")]
    Missing {
        /// Name of the flag, without the dashes.
        flag: &'static str,
        /// Name of the environment variable, without the prefix `HAWTHORNSHIFT_`.
        variable: String,
    },
    /// A value cannot be parsed.
    #[error("--{flag}: {value:?} is not {expected}: {reason}")]
    Malformed {
        /// Name of the flag, without the dashes.
        flag: &'static str,
        /// The given value.
        value: String,
        /// Description of a valid value.
        expected: &'static str,
        /// Parse error.
        reason: String,
    },
    /// An environment variable has the prefix but matches no setting; holds its name without the prefix.
    #[error("unknown setting {PREFIX}{0}")]
    UnknownVariable(String),
    /// The admin service would be reachable from other machines without a token.
    #[error("--admin {0} is not a loopback address, so --admin-token is required")]
    AdminWithoutToken(SocketAddr),
    /// The platform's settings file cannot be read or parsed.
    #[error("--settings {path:?}: {reason}")]
    SettingsFile {
        /// Path of the file.
        path: std::path::PathBuf,
        /// Read or parse error.
        reason: String,
    },
    /// Two listeners have the same address; holds their flags.
    #[error("--{0} and --{1} have the same address")]
    DuplicateAddress(&'static str, &'static str),
    /// Timeouts or limits are invalid or contradict each other.
    #[error(transparent)]
    Tuning(#[from] TuningError),
}

/// All errors found in the settings.
#[derive(Debug)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for error in &self.0 {
            writeln!(f, "{error}")?;
        }
        Ok(())
    }
}

/// Returns the command-line options for a table of settings, with `--help` and `--version`.
pub(crate) fn options(table: &[Setting]) -> Options {
    let mut options = Options::new();
    for setting in table {
        let default = setting.default.map(|default| format!(" (default {default})")).unwrap_or_default();
        options.optopt("", setting.flag, &format!("{}{default}", setting.help), setting.value_name);
    }
    options.optflag("h", "help", "show this text");
    options.optflag("V", "version", "show the version");
    options
}

/// Parses the values of settings and collects errors.
pub(crate) struct Reader<'a> {
    table: &'a [Setting],
    matches: Matches,
    environment: &'a Environment,
    pub(crate) errors: Vec<SettingsError>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(table: &'a [Setting], matches: Matches, environment: &'a Environment) -> Self {
        Self { table, matches, environment, errors: Vec::new() }
    }

    pub(crate) fn check_unexpected(&mut self) {
        let unexpected: Vec<_> = self.matches.free.iter().cloned().map(SettingsError::UnexpectedArgument).collect();
        self.errors.extend(unexpected);
        let known: Vec<String> = self.table.iter().map(|setting| variable_name(setting.flag)).collect();
        let named = self.environment.keys().filter_map(|name| name.strip_prefix(PREFIX));
        let mut unknown: Vec<String> = named.map(str::to_owned).filter(|name| !known.contains(name)).collect();
        unknown.sort();
        self.errors.extend(unknown.into_iter().map(SettingsError::UnknownVariable));
    }

    pub(crate) fn text(&self, flag: &'static str) -> Option<String> {
        let given = self.matches.opt_str(flag);
        let given = given.or_else(|| self.environment.get(&format!("{PREFIX}{}", variable_name(flag))).cloned());
        let default = self.table.iter().find(|setting| setting.flag == flag).and_then(|setting| setting.default);
        given.or_else(|| default.map(str::to_owned))
    }

    pub(crate) fn required(&mut self, flag: &'static str) -> Option<String> {
        let text = self.text(flag);
        if text.is_none() {
            self.errors.push(SettingsError::Missing { flag, variable: variable_name(flag) });
        }
        text
    }

    pub(crate) fn parse<T>(&mut self, flag: &'static str, value: String, expected: &'static str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        match value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.errors.push(SettingsError::Malformed { flag, value, expected, reason: error.to_string() });
                None
            }
        }
    }

    pub(crate) fn value<T>(&mut self, flag: &'static str, expected: &'static str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self.required(flag)?;
        self.parse(flag, text, expected)
    }

    pub(crate) fn optional<T>(&mut self, flag: &'static str, expected: &'static str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        let text = self.text(flag)?;
        self.parse(flag, text, expected)
    }

    pub(crate) fn millis(&mut self, flag: &'static str) -> Option<Duration> {
        self.value(flag, "a number of milliseconds").map(Duration::from_millis)
    }

    pub(crate) fn level(&mut self) -> Option<Level> {
        let text = self.required("log-level")?;
        let level = text.parse().ok();
        if level.is_none() {
            let expected = "a log level";
            let reason = "unknown log level".to_owned();
            self.errors.push(SettingsError::Malformed { flag: "log-level", value: text, expected, reason });
        }
        level
    }
}

/// Returns the name of a flag's environment variable, without [`PREFIX`].
fn variable_name(flag: &str) -> String {
    flag.replace('-', "_").to_uppercase()
}
