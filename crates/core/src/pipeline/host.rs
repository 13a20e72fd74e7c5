//! The hosts that callers name.

use std::fmt;
use std::sync::Arc;

/// The port of HTTP, which stands for itself where no other one is named.
const USUAL_PORT: u16 = 80;

/// The name of a host, and the port if it is not the usual one.
///
/// Callers may write a host in capitals, with a dot at its end, and with a port: it is the same one.
///
/// # Examples
///
/// ```
/// # use jujube_core::pipeline::host::Host;
/// let host = Host::from("Desk.Example.:80");
/// assert_eq!(host, Host::from("desk.example"));
/// assert_eq!(Host::from("desk.example:8080").without_port(), host);
/// assert_ne!(Host::from("desk.example:8080"), host);
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Host {
    name: Arc<str>,
    port: Option<u16>,
}

impl Host {
    /// Returns the same host at the usual port.
    #[must_use]
    pub fn without_port(&self) -> Self {
        Self {
            name: self.name.clone(),
            port: None,
        }
    }
}

impl From<&str> for Host {
    fn from(text: &str) -> Self {
        let (name, port) = split(text).unwrap_or((text, None));
        let name = name.strip_suffix('.').unwrap_or(name);
        Self {
            name: name.to_ascii_lowercase().into(),
            port: port.filter(|port| *port != USUAL_PORT),
        }
    }
}

/// Returns the name and the port of a text that has the sign of a port; the number may be missing.
fn split(text: &str) -> Option<(&str, Option<u16>)> {
    let (name, digits) = text.rsplit_once(':')?;
    if digits.is_empty() {
        return Some((name, None));
    }
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    let port = digits.parse().ok().filter(|_| is_number)?;
    Some((name, Some(port)))
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.name.fmt(f)?;
        self.port.map_or(Ok(()), |port| write!(f, ":{port}"))
    }
}
