//! Whether a failed request may have run.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// Whether a request may have run at a target.
///
/// Every error between a caller and a target carries a verdict. When two components on the path of a request report
/// different verdicts, the greater one in the order of the variants applies.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// No target has run the request and none will; it is safe to retry.
    NotRun,
    /// A target may have run the request, or may still run it.
    MayHaveRun,
    /// A target has run the request and its complete answer is available.
    Answered,
}
