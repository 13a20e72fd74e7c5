//! This entry's announcement in the store, by which the others find it.

use std::rc::Rc;
use std::time::Duration;

use jujube_core::time::Span;
use jujube_store::kv::Error;
use jujube_store::kv::Feed;
use jujube_store::kv::Lease;
use jujube_store::kv::Write;

use crate::state::State;

use super::ENTRIES;

/// How long an announcement lasts without renewal: one that is out of date costs some datagrams.
const TTL: Span = Span(15_000);
/// How often it is renewed. The renewal is also how a store that has fallen silent is noticed, within
/// the three seconds after which a change must not be missed; it costs a tenth of another call.
const RENEW: Duration = Duration::from_millis(1_300);
/// How long a renewal may take; a slow store takes a third of a second.
const ANSWER: Duration = Duration::from_millis(800);
/// How long after a failure to announce it is tried again.
const AGAIN: Duration = Duration::from_millis(700);

/// Announces this entry in the store until the process ends.
pub async fn announce<D, F: Feed>(state: Rc<State<D>>, store: F) {
    loop {
        if let Err(error) = announced(&state, &store).await {
            // The call that waits for changes may wait in vain: it is made again.
            state.store_doubted.notify_waiters();
            let cause = error.to_string().replace(' ', "-");
            log::info!("event=not-announced cause={cause}");
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Announces this entry and renews that until it fails.
async fn announced<D, F: Feed>(state: &State<D>, store: &F) -> Result<(), Error> {
    let lease = store.grant(TTL).await?;
    let key = format!("{ENTRIES}{}", state.settings.name);
    write(state, store, &key, lease).await?;
    loop {
        tokio::time::sleep(RENEW).await;
        let renewal = tokio::time::timeout(ANSWER, store.renew(lease)).await;
        let renewed = renewal.unwrap_or_else(|_| Err(Error::Unknown("timeout".into())))?;
        if !renewed {
            return Ok(());
        }
    }
}

async fn write<D, F: Feed>(
    state: &State<D>,
    store: &F,
    key: &str,
    lease: Lease,
) -> Result<(), Error> {
    let value = state.settings.gossip.to_string();
    let put = Write::Put {
        key: key.into(),
        value,
        lease: Some(lease),
    };
    // Without a condition there is nothing that could fail to hold.
    let _written = store.swap(&[], &[put]).await?;
    Ok(())
}
