//! The sidecar's settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use jujube_core::bundle::Trust;
use jujube_core::name::Server;
use jujube_program::settings;
use jujube_program::settings::File;
use jujube_program::settings::Telemetry;

/// What a sidecar is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The backend server's name in the bundle.
    pub server: Server,
    /// Where entries and other sidecars call.
    pub listen: SocketAddr,
    /// Where entries send calls to a plain service.
    pub http: SocketAddr,
    /// The engine or plain service beside it, as `http://HOST:PORT`.
    pub backend: String,
    /// The key-value service, as `http://HOST:PORT`; only read, to learn the fencing number.
    pub kv: String,
    /// The longest that one engine run may take.
    pub engine_patience: Duration,
    /// The longest that a planned stop waits for what is in flight.
    pub drain: Duration,
    /// The keys that sign configurations.
    pub trust: Trust,
    /// Logs and counters.
    pub telemetry: Telemetry,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            server: "server".into(),
            listen: any,
            http: any,
            backend: String::new(),
            kv: String::new(),
            engine_patience: Duration::from_secs(5),
            drain: Duration::from_secs(600),
            trust: Trust::default(),
            telemetry: Telemetry::default(),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// One line for each fault, with file, section, key and what was expected.
    pub fn read(path: &Path) -> Result<Self> {
        let mut file = File::open(path)?;
        let mut settings = file.section("sidecar", |section| Self {
            server: section.text("server", "a name of the bundle", None).into(),
            listen: section.address("listen"),
            http: section.address("http"),
            backend: section.text("backend", "a URL", None),
            kv: section.text("kv", "a URL", Some("")),
            engine_patience: Duration::from_millis(
                section.number("engine-patience-ms", Some(5_000)),
            ),
            drain: Duration::from_secs(section.number("drain-seconds", Some(600))),
            ..Self::default()
        });
        settings.trust = settings::trust(&mut file);
        settings.telemetry = settings::telemetry(&mut file);
        file.finish()?;
        Ok(settings)
    }
}
