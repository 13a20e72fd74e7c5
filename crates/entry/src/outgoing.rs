//! What goes from the entry to sidecars in order: inputs and releases.

use jujube_core::ledger;
use jujube_core::name::Server;
use jujube_wire::connection::Error;
use jujube_wire::connection::Peer;
use jujube_wire::outbox::Deliver;
use jujube_wire::service::SidecarClient;
use jujube_wire::step;

use crate::state::Event;
use crate::state::State;

/// A message to a sidecar.
#[derive(Clone)]
pub(crate) enum Message {
    Feed(Server, step::Frame),
    Release(step::Release),
}

/// Sends messages to sidecars.
#[derive(Clone)]
pub(crate) struct ToSidecar(pub(crate) State);

impl ToSidecar {
    /// Tells a session that its first stage does not have its request.
    fn lost(&self, server: &Server, unknown: step::Unknown) {
        let lost = ledger::Lost {
            request: unknown.request,
            epoch: unknown.epoch,
            server: server.clone(),
        };
        self.0.tell(unknown.request, Event::Lost(lost));
    }
}

impl Deliver for ToSidecar {
    type Message = Message;
    type Client = SidecarClient;

    async fn send(&self, peer: &Peer<SidecarClient>, batch: &[Message]) -> Result<(), Error> {
        let mut frames = Vec::new();
        let mut releases = Vec::new();
        let mut receiver = None;
        for message in batch {
            match message {
                Message::Feed(server, frame) => {
                    receiver = Some(server.clone());
                    frames.push(frame.clone());
                }
                Message::Release(release) => releases.push(*release),
            }
        }
        if let Some(server) = receiver {
            let call = |client: SidecarClient, context| {
                let frames = frames.clone();
                async move { client.frames(context, frames).await }
            };
            for unknown in peer.call(call).await? {
                self.lost(&server, unknown);
            }
        }
        if !releases.is_empty() {
            let call = |client: SidecarClient, context| {
                let releases = releases.clone();
                async move { client.release(context, releases).await }
            };
            peer.call(call).await?;
        }
        Ok(())
    }

    fn give_up(&self, batch: Vec<Message>, _error: Error) {
        self.0.counters.add("sidecar_unreachable", 1);
        for message in batch {
            // A release that cannot be delivered is left to the lease.
            if let Message::Feed(server, frame) = message {
                let unknown = step::Unknown {
                    request: frame.request,
                    epoch: frame.epoch,
                };
                self.lost(&server, unknown);
            }
        }
    }
}
