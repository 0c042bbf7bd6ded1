//! Exit codes.

use std::process::ExitCode;

use strum::Display;

/// Outcome of a command or process, converted to its exit code.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Exit {
    /// Success; for an instance, a graceful shutdown. Exit code 0.
    Good,
    /// The command reports a failure: a set was refused, an instance did not respond, or an invariant was violated.
    /// Exit code 1.
    Bad,
    /// The command line or the settings are invalid. Exit code 2.
    Usage,
    /// The process could not start, for example because it could not open a listener. Exit code 3.
    CannotListen,
    /// A newer process runs under the same instance id. Exit code 4.
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
