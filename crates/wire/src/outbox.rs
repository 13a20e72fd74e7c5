//! Outboxes: what goes to one peer, in order, in as few calls as the peer's pace allows.

use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::mpsc;

use crate::connection::Client;
use crate::connection::Error;
use crate::connection::Patience;
use crate::connection::Peer;

/// How one kind of message is sent.
pub trait Deliver: Clone + Send + Sync + 'static {
    /// The message.
    type Message: Clone + Send + Sync + 'static;
    /// The peer's client.
    type Client: Client;

    /// Sends a batch; a failure has been tried on a new connection already.
    fn send(
        &self,
        peer: &Peer<Self::Client>,
        batch: &[Self::Message],
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Takes back a batch whose peer is gone.
    fn give_up(&self, batch: Vec<Self::Message>, error: Error);
}

/// One outbox for each peer address.
///
/// A batch is whatever has gathered while the one before was on its way: alone on an idle link,
/// many together on a busy one, and no delay is added.
#[derive(Clone)]
pub struct Outboxes<D: Deliver> {
    deliver: D,
    patience: Patience,
    senders: Arc<Mutex<Senders<D>>>,
}

/// By address.
type Senders<D> = HashMap<Arc<str>, mpsc::UnboundedSender<<D as Deliver>::Message>>;

/// The most messages in one call.
const LARGEST_BATCH: usize = 512;

/// An outbox that nothing was put into for this long is closed: entries and sidecars come and go.
const IDLE: std::time::Duration = std::time::Duration::from_secs(60);

impl<D: Deliver> Outboxes<D> {
    /// Returns outboxes without peers.
    pub fn new(deliver: D, patience: Patience) -> Self {
        Self {
            deliver,
            patience,
            senders: Arc::default(),
        }
    }

    /// Puts a message into a peer's outbox. Must be called inside a runtime.
    pub fn put(&self, address: &Arc<str>, message: D::Message) {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let message = match senders.get(address) {
            Some(sender) => match sender.send(message) {
                Ok(()) => return,
                Err(closed) => closed.0,
            },
            None => message,
        };
        let (sender, receiver) = mpsc::unbounded_channel();
        // The receiver is here, so that the send cannot fail.
        let _received_below = sender.send(message);
        senders.insert(address.clone(), sender);
        let peer = Peer::new(address.clone(), self.patience);
        tokio::spawn(drain(self.deliver.clone(), peer, receiver));
    }
}

async fn drain<D: Deliver>(
    deliver: D,
    peer: Peer<D::Client>,
    mut receiver: mpsc::UnboundedReceiver<D::Message>,
) {
    let mut batch = Vec::new();
    loop {
        let next = receiver.recv_many(&mut batch, LARGEST_BATCH);
        match tokio::time::timeout(IDLE, next).await {
            Ok(0) => return,
            Ok(_) => {}
            Err(_) => {
                receiver.close();
                // What came in between is still delivered below; a later put opens a new outbox.
                receiver.recv_many(&mut batch, LARGEST_BATCH).await;
                if batch.is_empty() {
                    return;
                }
            }
        }
        let sent = deliver.send(&peer, &batch).await;
        match sent {
            Ok(()) => batch.clear(),
            Err(error) => deliver.give_up(std::mem::take(&mut batch), error),
        }
    }
}
