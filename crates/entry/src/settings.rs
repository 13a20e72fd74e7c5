//! The entry's settings.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::Result;
use jujube_core::bundle::Trust;
use jujube_core::membership;
use jujube_core::name::Zone;
use jujube_core::path;
use jujube_core::session;
use jujube_core::subset;
use jujube_core::time::Span;
use jujube_program::settings;
use jujube_program::settings::File;
use jujube_program::settings::Telemetry;
use jujube_store::claims::Grouping;

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where callers call.
    pub listen: SocketAddr,
    /// Where sidecars call.
    pub peer: SocketAddr,
    /// The key-value service, as `http://HOST:PORT`.
    pub kv: String,
    /// The VM list, as `http://HOST:PORT`; empty for none.
    pub vms: String,
    /// Sidecars to ask for the configuration when the key-value service is away at the start.
    pub seeds: Vec<String>,
    /// Whether this entry watches the key-value service for configurations; the others hear of them
    /// from sidecars.
    pub watch: bool,
    /// How long a stopping entry goes on answering "not ready", for the balancer to notice.
    pub notice: Duration,
    /// The longest that a planned stop waits for what is in flight.
    pub drain: Duration,
    /// Worker threads for traffic.
    pub threads: usize,
    /// How claims are grouped.
    pub grouping: Grouping,
    /// Which backend servers this entry speaks to.
    pub subset: subset::Settings,
    /// When silence counts.
    pub membership: membership::Settings,
    /// How sessions bear with trouble.
    pub session: session::Settings,
    /// How paths are chosen.
    pub path: path::Settings,
    /// The keys that sign configurations.
    pub trust: Trust,
    /// Logs and counters.
    pub telemetry: Telemetry,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            listen: any,
            peer: any,
            kv: String::new(),
            vms: String::new(),
            seeds: Vec::new(),
            watch: true,
            notice: Duration::from_millis(1_000),
            drain: Duration::from_secs(600),
            threads: 2,
            grouping: Grouping::default(),
            subset: subset::Settings::default(),
            membership: membership::Settings::default(),
            session: session::Settings::default(),
            path: path::Settings::default(),
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
        let mut settings = file.section("entry", |section| {
            let defaults = Self::default();
            let seeds = section.list("seeds");
            Self {
                listen: section.address("listen"),
                peer: section.address("peer"),
                kv: section.text("kv", "a URL", None),
                vms: section.text("vms", "a URL", Some("")),
                seeds: seeds.iter().map(ToString::to_string).collect(),
                watch: section.value("watch", "`true` or `false`", Some(true)),
                notice: Duration::from_millis(section.number("notice-ms", Some(1_000))),
                drain: Duration::from_secs(section.number("drain-seconds", Some(600))),
                threads: section.number("threads", Some(2)) as usize,
                ..defaults
            }
        });
        settings.grouping = file.section("claims", |section| Grouping {
            delay: Duration::from_millis(section.number("delay-ms", Some(2))),
            most: section.number("most", Some(64)) as usize,
        });
        settings.subset = file.section("subset", |section| subset::Settings {
            zones: section.list("zones").into_iter().map(Zone).collect(),
            each: section.number("each", Some(0)) as usize,
        });
        settings.membership = read_membership(&mut file);
        settings.session = read_session(&mut file);
        settings.path = read_path(&mut file);
        settings.trust = settings::trust(&mut file);
        settings.telemetry = settings::telemetry(&mut file);
        file.finish()?;
        Ok(settings)
    }
}

fn read_membership(file: &mut File) -> membership::Settings {
    let defaults = membership::Settings::default();
    file.section("membership", |section| membership::Settings {
        busy_interval: Span(section.number("busy-interval-ms", Some(defaults.busy_interval.0))),
        idle_interval: Span(section.number("idle-interval-ms", Some(defaults.idle_interval.0))),
        suspect_after: Span(section.number("suspect-after-ms", Some(defaults.suspect_after.0))),
        down_after: Span(section.number("down-after-ms", Some(defaults.down_after.0))),
        floor_percent: section.number("floor-percent", Some(40)) as usize,
    })
}

fn read_session(file: &mut File) -> session::Settings {
    let defaults = session::Settings::default();
    file.section("session", |section| session::Settings {
        stall: Span(section.number("stall-ms", Some(defaults.stall.0))),
        patience: Span(section.number("patience-ms", Some(defaults.patience.0))),
        ..defaults
    })
}

fn read_path(file: &mut File) -> path::Settings {
    file.section("path", |section| path::Settings {
        policy: section.value(
            "policy",
            "`flow`, `random`, `round-robin` or `least-in-flight`",
            Some(path::Policy::Flow),
        ),
        compared: section.number("compared", Some(2)) as usize,
    })
}
