//! The tool's settings.

use std::path::Path;
use std::path::PathBuf;

use anyhow::Result;
use jujube_core::bundle::Guard;
use jujube_core::bundle::Trust;
use jujube_program::settings;
use jujube_program::settings::File;

/// What the tool is told.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The key-value service, as `http://HOST:PORT`.
    pub kv: String,
    /// The operator's name, for the audit trail.
    pub operator: String,
    /// The operator's secret key.
    pub key: PathBuf,
    /// Entries to ask for their status, as `http://HOST:PORT`.
    pub entries: Vec<String>,
    /// The blast-radius guard.
    pub guard: Guard,
    /// The keys that sign configurations.
    pub trust: Trust,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// One line for each fault, with file, section, key and what was expected.
    pub fn read(path: &Path) -> Result<Self> {
        let mut file = File::open(path)?;
        let mut settings = file.section("ctl", |section| {
            let entries = section.list("entries");
            let largest = Guard::default().largest_loss_percent;
            Self {
                kv: section.text("kv", "a URL", None),
                operator: section.text("operator", "a name", None),
                key: section.text("key", "a path", None).into(),
                entries: entries.iter().map(ToString::to_string).collect(),
                guard: Guard {
                    largest_loss_percent: section.number("largest-loss-percent", Some(largest)),
                },
                trust: Trust::default(),
            }
        });
        settings.trust = settings::trust(&mut file);
        file.finish()?;
        Ok(settings)
    }
}
