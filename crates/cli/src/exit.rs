//! Exit codes.

use std::process::ExitCode;

use strum::Display;

/// How a process ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exit {
    /// All went well; for an instance, a planned stop.
    Good,
    /// What was asked about is not good: a set was refused, an instance did not answer, an invariant was broken.
    Bad,
    /// The command line or the settings are wrong.
    Usage,
    /// A listener could not be opened.
    CannotListen,
    /// A newer process lives under this instance's id.
    Superseded,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Good => 0,
            Exit::Bad => 1,
            Exit::Usage => 2,
            Exit::CannotListen => 3,
            Exit::Superseded => 4,
        })
    }
}
