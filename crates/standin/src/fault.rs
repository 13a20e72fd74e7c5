//! Faults that a test switches on over HTTP: `POST /faults` with this JSON.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// What is wrong with a stand-in now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Every call fails.
    pub down: bool,
    /// Every call is delayed by this much.
    pub delay_millis: u64,
    /// So many writes from now on take effect without an answer.
    pub lose_answers: u64,
}

/// The switch of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct Switch(Arc<Mutex<Fault>>);

/// How long a lost answer is held; any client has given up by then.
pub const LOST: Duration = Duration::from_secs(20);

impl Switch {
    /// Replaces the faults.
    pub fn set(&self, fault: Fault) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the faults.
    #[must_use]
    pub fn get(&self) -> Fault {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits as long as calls are delayed; `false` when they fail.
    pub async fn pass(&self) -> bool {
        let fault = self.get();
        tokio::time::sleep(Duration::from_millis(fault.delay_millis)).await;
        !fault.down
    }

    /// Tells whether this write's answer is lost.
    #[must_use]
    pub fn loses_answer(&self) -> bool {
        let mut fault = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }
}
