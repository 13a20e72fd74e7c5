//! Tasks that bring news to the control thread, and carry configurations to others.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use jujube_core::delta::Delta;
use jujube_core::head::Config;
use jujube_core::head::Generation;
use jujube_core::name::Server;
use jujube_store::head;
use jujube_store::kv::Etcd;
use jujube_store::kv::Revision;
use jujube_store::kv::Store;
use jujube_store::vms;
use jujube_store::vms::List;
use jujube_wire::connection::Error;
use jujube_wire::connection::Patience;
use jujube_wire::connection::Peer;
use jujube_wire::heartbeat::Answer;
use jujube_wire::heartbeat::Ask;
use jujube_wire::service::SidecarClient;
use tokio::sync::mpsc;

use crate::state::State;

/// Something that the control thread hears of.
pub(super) enum News {
    Beat(Server, Result<Answer, Error>),
    Config(Config),
    Delta(Delta),
    Vms(BTreeSet<Server>),
}

/// How often the VM list is read.
const VMS: Duration = Duration::from_secs(1);
/// The pause after something that failed.
const RETRY: Duration = Duration::from_millis(500);

pub(super) const PATIENCE: Patience = Patience {
    connect: Duration::from_millis(120),
    answer: Duration::from_millis(120),
    tries: 2,
};

pub(super) async fn heartbeat(
    peer: Peer<SidecarClient>,
    server: Server,
    ask: Ask,
    news: mpsc::UnboundedSender<News>,
) {
    let call = |client: SidecarClient, context| async move { client.heartbeat(context, ask).await };
    let answer = peer.call(call).await;
    let _stopping = news.send(News::Beat(server, answer));
}

/// Asks for what is missing since a generation; whole, when that is too long ago.
pub(super) async fn pull(
    peer: Peer<SidecarClient>,
    since: Generation,
    news: mpsc::UnboundedSender<News>,
) {
    let call = |client: SidecarClient, context| async move { client.delta(context, since).await };
    if let Ok(Some(delta)) = peer.call(call).await
        && let Ok(delta) = delta.try_into()
    {
        let _stopping = news.send(News::Delta(delta));
        return;
    }
    let call = |client: SidecarClient, context| async move { client.config(context).await };
    let Ok(Some(config)) = peer.call(call).await else {
        return;
    };
    if let Ok(config) = config.try_into() {
        let _stopping = news.send(News::Config(config));
    }
}

/// Offers what a sidecar lacks; whole, when the difference is not enough. The next heartbeat shows
/// whether it arrived.
pub(super) async fn push(
    state: State,
    peer: Peer<SidecarClient>,
    delta: Option<Delta>,
    config: Arc<Config>,
) {
    let target = config.head.generation;
    if let Some(delta) = delta {
        let delta = jujube_wire::config::Delta::from(&delta);
        let call = |client: SidecarClient, context| {
            let delta = delta.clone();
            async move { client.offer_delta(context, delta).await }
        };
        state.counters.add("configs_offered_as_delta", 1);
        if peer
            .call(call)
            .await
            .is_ok_and(|generation| generation >= target.0)
        {
            return;
        }
    }
    let config = jujube_wire::config::Config::from(&*config);
    let call = |client: SidecarClient, context| {
        let config = config.clone();
        async move { client.offer(context, config).await }
    };
    state.counters.add("configs_offered_whole", 1);
    let _seen_by_heartbeat = peer.call(call).await;
}

/// Follows the head in the key-value service.
pub(super) async fn follow(state: State, news: mpsc::UnboundedSender<News>) {
    let store = Etcd::new(&state.settings.kv);
    let mut seen = Revision(0);
    loop {
        match head::config(&store).await {
            Ok(Some((config, revision))) if revision > seen => {
                seen = revision;
                if news.send(News::Config(config)).is_err() {
                    return;
                }
            }
            Ok(_) => {}
            Err(_) => {
                state.counters.add("kv_failures", 1);
                tokio::time::sleep(RETRY).await;
                continue;
            }
        }
        if !state.settings.watch && state.snapshot().generation.0 > 0 {
            return;
        }
        // The watch only wakes: what is applied is read above, with its bundle.
        if store.changed(head::HEAD, seen).await.is_err() {
            tokio::time::sleep(RETRY).await;
        }
    }
}

/// Asks sidecars for the configuration until there is one: the key-value service may be away.
pub(super) async fn ask_seeds(state: State, news: mpsc::UnboundedSender<News>) {
    while state.snapshot().generation.0 == 0 {
        for seed in &state.settings.seeds {
            pull(
                Peer::new(seed.as_str(), PATIENCE),
                Generation(0),
                news.clone(),
            )
            .await;
        }
        tokio::time::sleep(RETRY).await;
    }
}

pub(super) async fn list_vms(base: String, news: mpsc::UnboundedSender<News>) {
    let list = vms::Http::new(&base);
    loop {
        if let Some(leaving) = list.leaving().await
            && news.send(News::Vms(leaving)).is_err()
        {
            return;
        }
        tokio::time::sleep(VMS).await;
    }
}
