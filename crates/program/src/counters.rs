//! Counters: sent as statsd and kept for the status page.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use anyhow::Context;
use anyhow::Result;
use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;

use crate::event;

/// A process's counters.
///
/// # Examples
///
/// ```
/// # use jujube_program::counters::Counters;
/// let counters = Counters::silent("entry");
/// counters.add("requests", 2);
/// assert_eq!(counters.snapshot()["requests"], 2);
/// ```
#[derive(Clone)]
pub struct Counters {
    client: Arc<StatsdClient>,
    sums: Arc<Mutex<BTreeMap<&'static str, u64>>>,
}

impl Counters {
    /// Returns counters that are kept and not sent.
    #[must_use]
    pub fn silent(prefix: &str) -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(prefix, NopMetricSink)),
            sums: Arc::default(),
        }
    }

    /// Returns counters that are sent to a statsd address; an empty one sends nothing.
    ///
    /// # Errors
    ///
    /// The address is none, or no socket can be had.
    pub fn to(prefix: &str, statsd: &str) -> Result<Self> {
        if statsd.is_empty() {
            return Ok(Self::silent(prefix));
        }
        let socket = UdpSocket::bind("0.0.0.0:0").context("statsd socket")?;
        socket.set_nonblocking(true).context("statsd socket")?;
        let sink = BufferedUdpMetricSink::from(statsd, socket).context("statsd address")?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(prefix, sink)),
            sums: Arc::default(),
        })
    }

    /// Returns counters that are sent to a statsd address, or only kept if that cannot be used.
    #[must_use]
    pub fn to_or_silent(prefix: &str, statsd: &str) -> Self {
        Self::to(prefix, statsd).unwrap_or_else(|error| {
            let cause = format_args!("{error:#}");
            event!(Warn, "no-statsd", address = statsd, cause);
            Self::silent(prefix)
        })
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, count: u64) {
        if count == 0 {
            return;
        }
        let _lost_when_queue_is_full = self.client.count(name, count as i64);
        let mut sums = self.sums.lock().unwrap_or_else(PoisonError::into_inner);
        *sums.entry(name).or_default() += count;
    }

    /// Returns all sums since the start.
    #[must_use]
    pub fn snapshot(&self) -> BTreeMap<&'static str, u64> {
        self.sums
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
