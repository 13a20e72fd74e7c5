//! The bound of a bundle, as text.

use std::fmt::Write;

use anyhow::Result;
use jujube_core::blackboard;
use jujube_core::bundle::Bundle;
use jujube_core::bundle::Kind;
use jujube_core::name::Service;
use jujube_core::path::Fleet;
use jujube_core::path::Table;

/// Returns a model's table with all backend servers in use.
#[must_use]
pub fn table(bundle: &Bundle, service: &Service) -> Table {
    solve(bundle, service, blackboard::fleet(bundle, service))
}

/// Returns the rate that the engines alone allow, whatever slots are held for.
#[must_use]
pub fn engines(bundle: &Bundle, service: &Service) -> f64 {
    let fleet = Fleet {
        token_seconds: 0.0,
        ..blackboard::fleet(bundle, service)
    };
    solve(bundle, service, fleet).rate
}

fn solve(bundle: &Bundle, service: &Service, fleet: Fleet) -> Table {
    let members = bundle.in_use(service);
    let candidates =
        members.map(|(server, member)| blackboard::candidate(bundle, server, member, 0));
    Table::build(candidates.collect(), fleet)
}

/// Describes the bound of each model of a bundle, and the paths that reach it.
///
/// # Errors
///
/// The bundle does not hold.
pub fn describe(text: &str) -> Result<String> {
    let bundle = jujube_ctl::roll::check(text)?;
    let mut page = String::new();
    for (service, offer) in &bundle.services {
        if offer.kind != Kind::Model {
            continue;
        }
        let table = table(&bundle, service);
        writeln!(page, "{service}: at most {:.0} tokens a second", table.rate)?;
        for flow in &table.flows {
            let steps = flow.steps.iter().map(|(group, layers)| {
                let first = &table.candidates[table.members[*group].start];
                format!("{} {} [{layers}]", first.zone, first.accelerator)
            });
            let steps: Vec<String> = steps.collect();
            writeln!(page, "  {:>8.0}  {}", flow.rate, steps.join(" -> "))?;
        }
    }
    Ok(page)
}
