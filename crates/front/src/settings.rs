//! The settings file of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use jujube_core::name::Zone;
use jujube_core::pipeline::budget::Policy;
use jujube_core::pipeline::memory::Size;
use jujube_core::section::Replacement;
use jujube_core::time::Span;
use jujube_program::settings;
use jujube_program::settings::File;
use jujube_program::settings::Telemetry;

/// The smaller of the two meanings of a megabyte, so that no entry counts on more than it has.
const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;

/// The port of an address that there is none for.
const NO_PORT: u16 = 0;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry, used in logs and in the store.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Zone,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// The address that serves metrics; that of the readiness checks if none is named.
    pub metrics: SocketAddr,
    /// The first address for gossip with other entries; its port is 0 if none is named, and there is no
    /// gossip then.
    pub gossip: SocketAddr,
    /// The last port that may be used in its place if it is taken; a lower one allows none.
    pub gossip_last_port: u16,
    /// How long after a termination signal the platform kills the process.
    pub stop: Duration,
    /// The memory of the machine; `None` if it is unknown.
    pub memory: Option<Size>,
    /// How many descriptors the process may open; `None` if the platform does not tell.
    pub descriptors: Option<u64>,
    /// The address of the store.
    pub store: SocketAddr,
    /// How soon changes in the store must take effect.
    pub limits: StoreLimits,
    /// The retry budget of all entries together.
    pub retry: Policy,
    /// Logging.
    pub telemetry: Telemetry,
    /// The path of the settings file.
    pub file: Arc<Path>,
    /// The text of the settings file, empty if they were not read from one.
    pub text: Arc<str>,
    /// What was wrong in the file and is replaced.
    pub replaced: Vec<Replacement>,
}

/// How soon changes in the store must take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLimits {
    /// How long a VM must have been free of faults for the time limits to apply.
    pub contact: Span,
    /// The time limit for applying a configuration or a server's drain.
    pub apply: Span,
}

impl Settings {
    /// Reads a settings file, and replaces values that an entry can do without.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or what an entry cannot do without is invalid; one line per invalid
    /// setting.
    pub fn read(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| name.clone())?;
        let mut file = File::parse(&name, &text)?;
        let settings = Self::of(&mut file, path);
        Ok(Self {
            text: text.into(),
            replaced: file.finish_replaced()?,
            ..settings
        })
    }

    /// Validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or settings are invalid; one line per invalid setting.
    pub fn check(path: &Path) -> Result<()> {
        Self::from_file(File::open(path)?, path).map(drop)
    }

    /// Validates parsed settings.
    ///
    /// # Errors
    ///
    /// Settings are invalid; one line per invalid setting.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_front::Settings;
    /// # use jujube_program::settings::File;
    /// let text = "[entry]\nname = a\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    ///             metrics = 127.0.0.1:3\ngossip = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:4\n";
    /// let file = File::parse("test.ini", text)?;
    /// let settings = Settings::from_file(file, "test.ini".as_ref())?;
    /// assert_eq!(settings.stop.as_secs(), 8);
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    pub fn from_file(mut file: File, path: &Path) -> Result<Self> {
        let settings = Self::of(&mut file, path);
        file.finish()?;
        Ok(settings)
    }

    fn of(file: &mut File, path: &Path) -> Self {
        let telemetry = settings::telemetry(file);
        let (store, limits) = file.section("store", |section| {
            let apply = section.millis("apply_ms", Span(2_000));
            let leave = section.millis("leave_ms", Span(2_000));
            let limits = StoreLimits {
                contact: section.millis("contact_ms", Span(3_000)),
                apply: apply.min(leave),
            };
            (section.address("address"), limits)
        });
        let retry = file.section("retry", |section| Policy {
            ratio: section.amount("ratio", "retries per request, such as 0.2", 0.2),
            slack: section.amount("slack", "retries beyond the ratio", 100.0),
            window: section.seconds("window_seconds", Span(10_000)),
        });
        file.section("entry", |section| {
            let (listen, ready) = (section.address("listen"), section.address("ready"));
            let own_name = listen.to_string().replace(':', "-");
            let zone = section.name("zone", "an availability zone", &own_name);
            let gossip = section.optional_address("gossip");
            Self {
                name: section.name("name", "a name", &own_name).into(),
                zone: zone.into(),
                listen,
                ready,
                metrics: section.optional_address("metrics").unwrap_or(ready),
                gossip: gossip.unwrap_or(SocketAddr::new(listen.ip(), NO_PORT)),
                gossip_last_port: section.amount("gossip_last_port", "a port", 0.0) as u16,
                stop: Duration::from_millis(section.seconds("stop_seconds", Span(8_000)).0),
                memory: memory(section.amount("memory_mb", "a number of megabytes", 0.0)),
                descriptors: descriptors(section.amount("descriptors", "a number", 0.0)),
                store,
                limits,
                retry,
                telemetry,
                file: path.into(),
                text: "".into(),
                replaced: Vec::new(),
            }
        })
    }
}

/// Returns the memory of a machine. The platform gives zero or no value if it does not know it.
fn memory(megabytes: f64) -> Option<Size> {
    (megabytes > 0.0).then_some(Size((megabytes * BYTES_PER_MEGABYTE) as u64))
}

/// Returns how many descriptors a process may open. The platform gives no value if it does not know it.
fn descriptors(number: f64) -> Option<u64> {
    (number >= 1.0).then_some(number as u64)
}
