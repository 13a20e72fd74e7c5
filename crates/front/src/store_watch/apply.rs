//! Applies what the store holds to what requests are judged by.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::layer::Range;
use jujube_core::name::Server as Name;
use jujube_core::name::Service;
use jujube_core::pipeline::cell::Location;
use jujube_core::pipeline::document::Document;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::roster::Effect;
use jujube_core::pipeline::roster::Roster;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_program::clock;
use jujube_program::event;
use jujube_store::kv::Change;
use jujube_store::kv::Revision;

use crate::dialect::Dialect;
use crate::dialect::Record;
use crate::fleet;
use crate::gossip;
use crate::limits;
use crate::slack;
use crate::state::State;

/// Records the addresses of other entries that announced themselves, and which no longer do.
pub(super) fn apply_announcements<D>(state: &State<D>, changes: &[Change]) {
    let mut places: BTreeMap<Arc<str>, Option<Location>> = BTreeMap::new();
    for change in changes {
        let Some(entry) = gossip::announced(&change.key) else {
            continue;
        };
        let announcement = change.value.as_ref().and_then(gossip::Announcement::decode);
        if *entry == *state.settings.name {
            check_own_announcement(state, announcement.as_ref(), change.revision);
            continue;
        }
        let place = announcement.map(|announcement| announcement.place);
        places.insert(entry.into(), place);
    }
    let mut directory = state.peers.directory.borrow_mut();
    let gone = places.iter().filter(|(_, place)| place.is_none());
    gone.for_each(|(entry, _)| directory.removed(entry));
    let announced = places.into_iter();
    directory.announced_all(announced.filter_map(|(entry, place)| Some((entry, place?))));
}

/// Drops the lease of this entry's announcement if another announcement has replaced it, so that it
/// is written again.
///
/// A delayed write under an earlier lease can replace the announcement and remove it when that
/// lease expires, and entries that start later would not find this one. Revisions up to that of
/// this entry's own write say nothing about it.
pub(super) fn check_own_announcement<D>(
    state: &State<D>,
    announcement: Option<&gossip::Announcement>,
    revision: Revision,
) {
    if revision <= state.retries.announced.get() {
        return;
    }
    let mut reserve = state.retries.reserve.borrow_mut();
    let lease_id = announcement.map(|announcement| announcement.lease_id);
    if reserve.lease_id().is_some() && reserve.lease_id() != lease_id {
        let by = lease_id.map_or("None".into(), |lease_id| {
            format!("Some(Tenure({lease_id}))")
        });
        event!(Info, "announcement-overtaken", by);
        reserve.lost();
    }
}

/// Records the holder of a piece of the retry slack if the change is about one.
pub(super) fn apply_piece<D>(state: &State<D>, change: &Change) {
    let Some((service, piece)) = slack::parse_key(&change.key) else {
        return;
    };
    let mut reserve = state.retries.reserve.borrow_mut();
    match slack::parse_record(change) {
        Some(record) => reserve.written(&service, piece, record),
        None => reserve.removed(&service, piece, change.revision),
    }
    state.retries.changed.notify_one();
}

/// Applies one change; returns its effect on the registrations.
pub(super) fn apply_change<D: Dialect>(state: &State<D>, change: &Change) -> Effect {
    let now = clock::now();
    let mut roster = state.roster.borrow_mut();
    let (name, effect) = match D::record(&change.key, change.value.as_ref()) {
        Record::Configuration(document) => {
            drop(roster);
            apply_configuration(state, document);
            return Effect::None;
        }
        Record::Server(server) => {
            let name = server.incarnation.server.clone();
            let table = state.table();
            let is_configured =
                table.is_some_and(|table| table.document.services.contains_key(&server.service));
            let effect = match is_configured {
                true => register(&mut roster, server),
                false => roster.registered_for_unknown_service(now, server),
            };
            (name, effect)
        }
        Record::Removed(name) => {
            let effect = roster.removed(now, &name);
            (name, effect)
        }
        Record::UnreadableServer(name, error) => {
            state.malformed.log(change, &error);
            let effect = roster.unreadable(&name);
            (name, effect)
        }
        Record::Unreadable(error) => {
            state.malformed.log(change, &error);
            return Effect::None;
        }
        Record::Other => return Effect::None,
    };
    if effect != Effect::None {
        log_registration(&roster, &name, effect, change.revision);
    }
    effect
}

/// Applies a registration of a configured service, and logs how many servers it displaces.
fn register(roster: &mut Roster, server: Server) -> Effect {
    let incarnation = server.incarnation.clone();
    let effect = roster.registered(clock::now(), server);
    let displaced = roster.displaced_by(&incarnation).count();
    if displaced > 0 && effect != Effect::None {
        event!(Info, "displaced", by = incarnation, servers = displaced);
    }
    effect
}

/// Logs the effect of a registration at a revision, and how long ago the store came back if it was
/// away: until some time after that, a removed registration may have expired in the outage.
pub(super) fn log_registration(roster: &Roster, name: &Name, effect: Effect, revision: Revision) {
    let held = roster.held(name).unwrap_or_default();
    let returned = roster.returned().map(|at| clock::now().since(at));
    let returned = returned.map_or("-".into(), |span| span.to_string());
    event!(
        Info,
        "registration",
        server = name,
        effect = format_args!("{effect:?}"),
        held,
        revision,
        returned_ms = returned
    );
}

/// Applies a configuration unless the one in force is as new.
///
/// A snapshot may be older than changes already watched; applying it would route by a superseded
/// configuration.
pub(super) fn apply_configuration<D: Dialect>(state: &State<D>, document: Document) {
    let version = document.version;
    let current = state.table().map(|table| table.document.version);
    if current.is_some_and(|current| current >= version) {
        return;
    }
    event!(
        Info,
        "configuration",
        version,
        routes = document.routes.len(),
        services = document.services.len(),
        customers = document.accounts.as_ref().map_or(0, Vec::len)
    );
    state.metrics.count("configurations");
    *state.table.borrow_mut() = Some(Rc::new(Table::new(document)));
    rebuild(state);
}

/// Applies the layers that a server reports while the store, the usual source, is unavailable, and
/// shares them with the other entries.
pub fn apply_reported_layers<D>(state: &State<D>, server: &Incarnation, held: Range) {
    let mut roster = state.roster.borrow_mut();
    let effect = roster.reported(clock::now(), server, held);
    drop(roster);
    if effect == Effect::None {
        return;
    }
    event!(
        Info,
        "reported",
        server,
        effect = format_args!("{effect:?}"),
        held
    );
    state
        .reported_layers
        .borrow_mut()
        .insert(server.clone(), held);
    rebuild(state);
}

/// Records that servers say that they are leaving, as this entry heard or others reported.
pub fn apply_leaving<'a, D>(
    state: &State<D>,
    servers: impl IntoIterator<Item = &'a Incarnation>,
    source: &str,
) {
    let mut is_changed = false;
    for server in servers {
        let mut roster = state.roster.borrow_mut();
        if roster.announced_leaving(clock::now(), server) != Effect::None {
            is_changed = true;
            state.metrics.count("servers_leaving");
            event!(Info, "leaving", server, source);
        }
    }
    if is_changed {
        rebuild(state);
    }
}

/// Records whether a start that replaced a leaver answered a health check.
pub fn apply_check<D>(state: &State<D>, server: &Incarnation, is_answered: bool) {
    let mut roster = state.roster.borrow_mut();
    let may_get_requests = roster.leavers.checked(clock::now(), server, is_answered);
    drop(roster);
    if may_get_requests {
        event!(Info, "not-leaving", server, is_answered);
        rebuild(state);
    }
}

/// Removes a server at whose address another one has answered.
pub fn displace<D>(state: &State<D>, server: &Incarnation) {
    event!(Info, "displaced", server);
    let mut roster = state.roster.borrow_mut();
    roster.displaced(clock::now(), server);
    roster.withdraw_claim(clock::now(), server);
    drop(roster);
    rebuild(state);
}

/// Rebuilds the state derived from the configuration and the registrations.
pub fn rebuild<D>(state: &State<D>) {
    let Some(table) = state.table() else {
        return;
    };
    state.roster.borrow_mut().record_deaths(
        clock::now(),
        &state.suspicion.borrow(),
        &state.local_health.borrow(),
    );
    let replaced = state.roster.borrow_mut().take_replaced();
    let roster = state.roster.borrow();
    for earlier in &replaced {
        if let Some(later) = roster.incarnation(&earlier.server) {
            state.load.borrow_mut().rests.inherit(earlier, later);
        }
    }
    *state.fleets.borrow_mut() = fleet::build(&table, &roster);
    if state.registrations_read.get() {
        state
            .gaps
            .log(clock::now(), &state.fleets.borrow(), &state.metrics);
    }
    let is_known = |server: &Incarnation| roster.get(server).is_some();
    state.suspicion.borrow_mut().retain(is_known);
    state.load.borrow_mut().retain(is_known);
    state.outliers.borrow_mut().retain(is_known);
    let is_configured = |service: &Service| table.document.services.contains_key(service);
    state.framings.borrow_mut().retain(is_configured, is_known);
    drop(roster);
    limits::divide(state);
    for replaced in replaced {
        // Streams through the old incarnation switch paths at once instead of waiting for a
        // timeout.
        state.suspect(&replaced, "restarted");
    }
    state.roster_changed.notify_waiters();
    state.held.check();
}

/// How often expired registrations and idle connections are removed. The grace period ends two
/// seconds after the store's recovery, and a server that is missing then must get no requests a
/// second later.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

/// Removes expired registrations and idle connections until the process ends.
pub async fn expire<D: Dialect>(state: Rc<State<D>>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let expired = state.roster.borrow_mut().expire(clock::now());
        for server in &expired {
            event!(Info, "registration", server, effect = "GraceOver");
        }
        if !expired.is_empty() {
            rebuild(&state);
        }
        let roster = state.roster.borrow();
        state.pool.close_expired(|server| {
            roster.get(server).is_some() || roster.missing.contains(server)
        });
    }
}
