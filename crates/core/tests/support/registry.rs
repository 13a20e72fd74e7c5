//! Fixtures of registered servers.

use jujube_core::layer::Range;
use jujube_core::pipeline::server::Incarnation;
use jujube_core::pipeline::server::Server;
use jujube_core::pipeline::server::State;
use jujube_core::time::Span;

/// Returns a server that holds no layers.
pub fn server(incarnation: impl Into<Incarnation>, state: State) -> Server {
    Server {
        incarnation: incarnation.into(),
        service: "writer".into(),
        address: ([10, 0, 0, 1], 8000).into(),
        zone: "a".into(),
        state,
        slots: 4,
        accelerator: None,
        held: Range::default(),
        warm_up: Span(0),
    }
}
