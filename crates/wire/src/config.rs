//! Wire types of configurations, whole and as differences.

use jujube_core::delta;
use jujube_core::head;
use serde::Deserialize;
use serde::Serialize;

/// A configuration as JSON text: its signatures cover fields whose form must not change on the way.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Config {
    /// The JSON text.
    pub json: String,
}

impl From<&head::Config> for Config {
    fn from(config: &head::Config) -> Self {
        // Plain structs of texts and numbers always have a JSON form.
        let json = serde_json::to_string(config).unwrap_or_default();
        Self { json }
    }
}

impl TryFrom<Config> for head::Config {
    type Error = serde_json::Error;

    fn try_from(config: Config) -> Result<Self, Self::Error> {
        serde_json::from_str(&config.json)
    }
}

/// A difference as JSON text, for the same reason.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delta {
    /// The JSON text.
    pub json: String,
}

impl From<&delta::Delta> for Delta {
    fn from(delta: &delta::Delta) -> Self {
        let json = serde_json::to_string(delta).unwrap_or_default();
        Self { json }
    }
}

impl TryFrom<Delta> for delta::Delta {
    type Error = serde_json::Error;

    fn try_from(delta: Delta) -> Result<Self, Self::Error> {
        serde_json::from_str(&delta.json)
    }
}
