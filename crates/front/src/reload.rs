//! Applies changes of the settings file at run time.

use std::rc::Rc;
use std::time::Duration;

use jujube_program::logs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::dialect::Dialect;
use crate::settings::Settings;
use crate::state::State;

/// How often the file is checked; it may change without a SIGHUP.
const LOOK: Duration = Duration::from_secs(2);

/// Applies changes until the process ends.
///
/// Retry terms and the log level take effect at once; other settings need a restart.
pub async fn run<D: Dialect>(state: Rc<State<D>>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("event=no-reload-signal cause={error}");
            return;
        }
    };
    let path = state.settings.file.clone();
    let mut known = std::fs::read(&path).unwrap_or_default();
    loop {
        let told = tokio::time::timeout(LOOK, hangup.recv()).await.is_ok();
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => {
                log::warn!("event=reload outcome=unreadable cause={error}");
                continue;
            }
        };
        if !told && text == known {
            continue;
        }
        known = text;
        match Settings::read(&path) {
            Ok(settings) => take(&state, &settings, told),
            Err(error) => {
                let cause = format!("{error:#}").replace(['\n', ' '], "-");
                log::warn!("event=reload outcome=refused told={told} cause={cause}");
            }
        }
    }
}

fn take<D>(state: &State<D>, settings: &Settings, told: bool) {
    let before = &state.settings;
    let is_bound = settings.listen != before.listen
        || settings.ready != before.ready
        || settings.gossip != before.gossip
        || settings.store != before.store
        || settings.zone != before.zone;
    let outcome = if is_bound {
        "partly-after-restart"
    } else {
        "taken"
    };
    state.retries.set_terms(settings.retry);
    if let Err(error) = logs::set_level(&settings.telemetry.level) {
        log::warn!("event=reload outcome=level-refused cause={error}");
    }
    log::info!("event=reload outcome={outcome} told={told}");
}
