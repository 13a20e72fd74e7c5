//! Placement of layers on backend servers.

#[path = "support/pipeline.rs"]
mod pipeline;

use jujube_core::pipeline::placement::capacity;
use jujube_core::pipeline::placement::plan;
use pipeline::carried_out;
use pipeline::engine;
use pipeline::holders;

#[test]
fn probe() {
    let engine = engine();
    for (zone, counts) in [
        ("a", vec![("a100", 1), ("l40s", 3), ("l4", 8)]),
        ("b", vec![("a100", 1), ("l40s", 6), ("l4", 5)]),
        ("c", vec![("a100", 2), ("l40s", 2), ("l4", 5)]),
    ] {
        let empty = holders(zone, &counts);
        let full = carried_out(&empty, &plan(&engine, &empty));
        println!("== {zone} capacity {:.0}", capacity(&engine, &full));
        for h in &full {
            println!(
                "  {} {} room {:.0}",
                h.server,
                h.held,
                engine.room(h.kind, h.held.len()) / f64::from(h.held.len())
            );
        }
        for dead in 0..full.len() {
            let mut left = full.clone();
            let gone = left.remove(dead);
            let before = capacity(&engine, &left);
            let mut text = String::new();
            for _ in 0..3 {
                let orders = plan(&engine, &left);
                for o in &orders {
                    text += &format!(" {}:{}", o.server, o.layers);
                }
                if orders.is_empty() {
                    break;
                }
                left = carried_out(&left, &orders);
            }
            println!(
                "  -{}: {:.0} -> {:.0} moves {}",
                gone.server,
                before,
                capacity(&engine, &left),
                text
            );
        }
    }
}
