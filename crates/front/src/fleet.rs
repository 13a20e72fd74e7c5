//! The fleet of each model, rebuilt from the registrations when they change.

use std::collections::BTreeMap;
use std::rc::Rc;

use jujube_core::name::Service;
use jujube_core::pipeline::chooser::Fleet;
use jujube_core::pipeline::chooser::Node;
use jujube_core::pipeline::document::Table;
use jujube_core::pipeline::roster::Roster;

/// Returns the fleets of all models in a configuration.
pub fn build(table: &Table, roster: &Roster) -> BTreeMap<Service, Rc<Fleet>> {
    let services = table.document.services.iter();
    let models =
        services.filter_map(|(service, backend)| Some((service, backend.engine.as_ref()?)));
    let fleets = models.map(|(service, engine)| {
        let servers = roster.usable().filter(|server| server.service == *service);
        let holding = servers.filter(|server| !server.held.is_empty() && engine.has(server.held));
        let nodes = holding.filter_map(|server| {
            let kind = engine.kind(server.accelerator.as_ref())?;
            Some(Node {
                server: server.incarnation.clone(),
                address: server.address,
                zone: server.zone.clone(),
                held: server.held,
                kind,
                room: engine.room(kind, server.held.len()),
            })
        });
        let fleet = Fleet::new(engine.clone(), nodes.collect());
        (service.clone(), Rc::new(fleet))
    });
    fleets.collect()
}
