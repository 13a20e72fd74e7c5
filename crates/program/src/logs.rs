//! Structured log lines on standard error, one for each change of state.

use std::str::FromStr;

use anyhow::Context;
use anyhow::Result;
use log::LevelFilter;

use crate::clock;

/// Starts logging as `time=... level=... target=... message`.
///
/// A second call in the same process changes nothing: the local program starts many roles.
///
/// # Errors
///
/// The level is none.
pub fn start(role: &'static str, level: &str) -> Result<()> {
    let level = LevelFilter::from_str(level).context("log level")?;
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let time = clock::unix_millis();
            let level = record.level();
            out.finish(format_args!(
                "time={time} level={level} role={role} {message}"
            ));
        })
        .level(LevelFilter::Warn)
        // Deadlines that pass are counted; the library would write a line for each.
        .level_for("tarpc", LevelFilter::Off)
        .level_for("jujube_entry", level)
        .level_for("jujube_sidecar", level)
        .level_for("jujube_platform", level)
        .level_for("jujube_standin", level)
        .chain(std::io::stderr());
    let _already_started = dispatch.apply();
    Ok(())
}
