//! Answering calls of sidecars.

use futures::StreamExt;
use jujube_core::ledger;
use jujube_wire::config::Config;
use jujube_wire::server;
use jujube_wire::service::Entry;
use jujube_wire::step;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::net::TcpStream;

use crate::state::Event;
use crate::state::State;

/// The service that an entry gives.
#[derive(Clone)]
pub(crate) struct Handler(pub(crate) State);

/// Answers the calls of one connection.
pub(crate) async fn connection(stream: TcpStream, state: State) {
    let requests = server::channel(stream).execute(Handler(state).serve());
    // In this task: nearly every answer is at hand, and a task for each would cost more than it.
    requests.for_each_concurrent(None, |request| request).await;
}

impl Entry for Handler {
    async fn tokens(self, _: Context, tokens: Vec<step::Tokens>) {
        for tokens in tokens {
            let tokens: ledger::Tokens = tokens.into();
            self.0.tell(tokens.request, Event::Tokens(tokens));
        }
    }

    async fn lost(self, _: Context, lost: Vec<step::Lost>) {
        for lost in lost {
            let lost: ledger::Lost = lost.into();
            self.0.tell(lost.request, Event::Lost(lost));
        }
    }

    async fn config(self, _: Context) -> Option<Config> {
        self.0.config().map(|config| Config::from(&*config))
    }
}
