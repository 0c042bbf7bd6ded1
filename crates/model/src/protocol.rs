//! How callers speak to a service.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

/// How callers speak to a service.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Protocol {
    /// UDP packets; those of one caller port are a flow.
    Datagram,
    /// TCP connections, relayed byte by byte.
    Stream,
    /// HTTP/1.1 requests, each balanced by itself.
    Http,
}

impl Protocol {
    /// Tells whether the protocol runs over UDP, which has ports of its own.
    #[must_use]
    pub fn is_datagram(self) -> bool {
        self == Self::Datagram
    }
}
