//! Fixtures of registered servers.

use jujube_core::layer::Range;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::State;
use jujube_core::time::Span;

/// Returns a server that holds no layers, at an address of its own.
pub fn server(incarnation: impl Into<Incarnation>, state: State) -> Server {
    let incarnation = incarnation.into();
    let number = incarnation.server.0.bytes().fold(0, |number: u16, byte| {
        number.wrapping_mul(31).wrapping_add(byte.into())
    });
    let [high, low] = number.to_be_bytes();
    Server {
        incarnation,
        service: "writer".into(),
        address: ([10, 0, high, low], 8000).into(),
        zone: "a".into(),
        state,
        slots: 4,
        accelerator: None,
        held: Range::default(),
        warm_up: Span(0),
    }
}
