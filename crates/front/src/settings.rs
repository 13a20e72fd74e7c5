//! Settings of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use jujube_core::name::Zone;
use jujube_core::pipeline::budget::Policy;
use jujube_core::time::Span;
use jujube_program::settings;
use jujube_program::settings::File;
use jujube_program::settings::Telemetry;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this entry, for logs and for the planner's lease.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers call.
    pub listen: SocketAddr,
    /// Where the platform asks whether callers may be sent here.
    pub ready: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics: SocketAddr,
    /// Where other entries tell this one what they have in flight.
    pub gossip: SocketAddr,
    /// How long after a request to stop the process is killed.
    pub stop: Duration,
    /// The store.
    pub store: SocketAddr,
    /// How soon what is written to the store must be in force.
    pub fresh: Freshness,
    /// What the retry budget allows over all entries.
    pub retry: Policy,
    /// Logs.
    pub telemetry: Telemetry,
    /// The file that the settings came from.
    pub file: Arc<Path>,
}

/// How soon what is written to the store must be in force.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// How long a VM must have been without trouble for its delays to count.
    pub contact: Span,
    /// Within what time a configuration, or the word that a server leaves, must be in force.
    pub apply: Span,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a setting is wrong; one line for each fault.
    pub fn read(path: &Path) -> Result<Self> {
        Self::take(File::open(path)?, path)
    }

    /// Checks settings that were read.
    ///
    /// # Errors
    ///
    /// A setting is wrong; one line for each fault.
    ///
    /// # Examples
    ///
    /// ```
    /// # use jujube_front::Settings;
    /// # use jujube_program::settings::File;
    /// let text = "[entry]\nname = a\nzone = z\nlisten = 127.0.0.1:1\nready = 127.0.0.1:2\n\
    ///             metrics = 127.0.0.1:3\ngossip = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:4\n";
    /// let file = File::parse("test.ini", text)?;
    /// let settings = Settings::take(file, "test.ini".as_ref())?;
    /// assert_eq!(settings.stop.as_secs(), 8);
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    pub fn take(mut file: File, path: &Path) -> Result<Self> {
        let telemetry = settings::telemetry(&mut file);
        let (store, fresh) = file.section("store", |section| {
            let apply = section.number("apply_ms", Some(2_000));
            let leave = section.number("leave_ms", Some(2_000));
            let fresh = Freshness {
                contact: Span(section.number("contact_ms", Some(3_000))),
                apply: Span(apply.min(leave)),
            };
            (section.address("address"), fresh)
        });
        let retry = file.section("retry", |section| Policy {
            ratio: section.value("ratio", "retries per request, such as 0.2", Some(0.2)),
            slack: section.value("slack", "retries beyond the ratio", Some(100.0)),
            window: Span(section.number("window_seconds", Some(10)) * 1000),
        });
        let settings = file.section("entry", |section| Self {
            name: section.text("name", "a name", None).into(),
            zone: section.text("zone", "an availability zone", None).into(),
            listen: section.address("listen"),
            ready: section.address("ready"),
            metrics: section.address("metrics"),
            gossip: section.address("gossip"),
            stop: Duration::from_secs(section.number("stop_seconds", Some(8))),
            store,
            fresh,
            retry,
            telemetry,
            file: path.into(),
        });
        file.finish()?;
        Ok(settings)
    }
}
