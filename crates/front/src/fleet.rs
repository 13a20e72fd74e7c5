//! The fleet of each model, rebuilt whenever the registrations change.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use jujube_core::layer::Range;
use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Candidate;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::roster::Roster;
use jujube_core::time::Instant;
use jujube_program::event;

use crate::metrics::Metrics;

/// Builds the fleet of each model in a configuration.
pub fn build(table: &Table, roster: &Roster) -> BTreeMap<Service, Rc<Fleet>> {
    let services = table.document.services.iter();
    let models = services.filter_map(|(service, backend)| Some((service, backend.model.as_ref()?)));
    let fleets = models.map(|(service, model)| {
        let servers = roster.usable().filter(|server| server.service == *service);
        let holding =
            servers.filter(|server| !server.held.is_empty() && model.contains(server.held));
        let candidates = holding.filter_map(|server| {
            let profile = model.profile(server.accelerator.as_ref())?;
            Some(Candidate {
                server: server.incarnation.clone(),
                address: server.address,
                zone: server.zone.clone(),
                held: server.held,
                profile,
                kv_capacity: model.kv_capacity(profile, server.held.len()),
            })
        });
        let fleet = Fleet::new(model.clone(), candidates.collect());
        (service.clone(), Rc::new(fleet))
    });
    fleets.collect()
}

/// The layers of one model that no server holds.
struct Gap {
    layers: Vec<Range>,
    since: Instant,
}

/// The models with layers that no server holds, for logging.
///
/// While a model has a gap, its requests are refused because no path exists; these log lines say
/// which layers are the cause.
#[derive(Default)]
pub struct Gaps(RefCell<BTreeMap<Service, Gap>>);

impl Gaps {
    /// Logs each gap that has opened, changed or closed.
    pub fn log(&self, now: Instant, fleets: &BTreeMap<Service, Rc<Fleet>>, metrics: &Metrics) {
        let mut gaps = self.0.borrow_mut();
        gaps.retain(|service, _| fleets.contains_key(service));
        for (service, fleet) in fleets {
            let layers = fleet.uncovered_layers();
            let previous = gaps.get(service);
            if previous.map_or(layers.is_empty(), |gap| gap.layers == layers) {
                continue;
            }
            let since = previous.map_or(now, |gap| gap.since);
            let duration = now.since(since);
            if layers.is_empty() {
                event!(Info, "layers-whole", service, after_ms = duration);
                gaps.remove(service);
                continue;
            }
            if previous.is_none() {
                metrics.count("layer_gaps");
            }
            let missing: Vec<String> = layers.iter().map(Range::to_string).collect();
            event!(
                Warn,
                "layers-missing",
                service,
                layers = [missing.join(",")],
                servers = fleet.candidates.len(),
                since_ms = duration
            );
            gaps.insert(service.clone(), Gap { layers, since });
        }
    }
}
