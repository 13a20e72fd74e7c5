//! Applies changes of the settings file at run time.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::pipeline::budget::Policy;
use jujube_core::section::Replacement;
use jujube_program::event;
use jujube_program::logs;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::dialect::Dialect;
use crate::settings::Settings;
use crate::state::State;

/// How often the file is checked; it may change without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// What the log names in place of a value that changes nothing.
const IN_FORCE: &str = "in-force";

/// Applies changes until the process ends.
///
/// The retry policy and the log level take effect at once; other settings need a restart.
pub async fn run<D: Dialect>(state: Rc<State<D>>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            event!(Error, "no-reload-signal", cause = error);
            return;
        }
    };
    let path = state.settings.file.clone();
    // What the settings in force were read from: the file may have changed since.
    let mut previous = state.settings.text.as_bytes().to_vec();
    loop {
        let is_signalled = tokio::time::timeout(CHECK_INTERVAL, hangup.recv())
            .await
            .is_ok();
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(error) => {
                event!(Warn, "reload", outcome = "unreadable", cause = error);
                continue;
            }
        };
        if !is_signalled && text == previous {
            continue;
        }
        previous = text;
        match Settings::read(&path) {
            Ok(settings) => apply(&state, &settings, is_signalled),
            Err(error) => {
                event!(
                    Warn,
                    "reload",
                    outcome = "refused",
                    told = is_signalled,
                    cause = [format_args!("{error:#}")]
                );
            }
        }
    }
}

fn apply<D>(state: &State<D>, settings: &Settings, is_signalled: bool) {
    let before = &state.settings;
    let needs_restart = settings.listen != before.listen
        || settings.ready != before.ready
        || settings.metrics != before.metrics
        || settings.gossip != before.gossip
        || settings.gossip_last_port != before.gossip_last_port
        || settings.store != before.store
        || settings.limits != before.limits
        || settings.stop != before.stop
        || settings.memory != before.memory
        || settings.descriptors != before.descriptors
        || settings.zone != before.zone;
    let outcome = if needs_restart {
        "partly-after-restart"
    } else {
        "taken"
    };
    state.retries.set_policy(policy(state, settings));
    if let Err(error) = logs::set_level(&settings.telemetry.level) {
        event!(Warn, "reload", outcome = "level-refused", cause = error);
    }
    event!(Info, "reload", outcome, told = is_signalled);
}

/// Records a value that is replaced.
pub fn record_replaced<D>(state: &State<D>, replaced: &Replacement) {
    state.metrics.count("settings_replaced");
    event!(Warn, "setting-replaced", _ = replaced);
}

/// Returns the retry policy of new settings; a figure that is wrong in them stays as it is in force.
fn policy<D>(state: &State<D>, settings: &Settings) -> Policy {
    let (mut policy, in_force) = (settings.retry, state.retries.policy());
    for replaced in &settings.replaced {
        if replaced.is_of("retry", "ratio") {
            policy.ratio = in_force.ratio;
        } else if replaced.is_of("retry", "slack") {
            policy.slack = in_force.slack;
        } else if replaced.is_of("retry", "window_seconds") {
            policy.window = in_force.window;
        }
        record_replaced(state, &replaced.by(IN_FORCE));
    }
    policy
}
