//! Operators against a faulty key-value service and against each other: every fault at every call.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test that fails must panic"
)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use jujube_core::bundle::Guard;
use jujube_core::bundle::Signed;
use jujube_core::bundle::Trust;
use jujube_core::bundle::digest;
use jujube_core::bundle::sign;
use jujube_core::head::Generation;
use jujube_core::time::Span;
use jujube_ctl::keys;
use jujube_ctl::roll;
use jujube_ctl::roll::Operator;
use jujube_store::head;
use jujube_store::kv::Condition;
use jujube_store::kv::Error;
use jujube_store::kv::Lease;
use jujube_store::kv::Pair;
use jujube_store::kv::Revision;
use jujube_store::kv::Store;
use jujube_store::kv::Write;

const SECRETS: [keys::Secret; 2] = [[1; 32], [2; 32]];

/// What goes wrong at one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The call is not sent.
    Down,
    /// The call is lost on the way.
    Lost,
    /// The call takes effect and its answer is lost.
    LostAnswer,
    /// The service is away from this call on.
    Outage,
    /// Another operator rolls out just before this call.
    Rival,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    values: BTreeMap<String, (String, u64)>,
    calls: usize,
    faults: Vec<(usize, Fault)>,
    rival: Option<Signed>,
}

/// A store whose n-th call fails in a given way.
#[derive(Clone, Default)]
struct Faulty(Arc<Mutex<Inner>>);

impl Faulty {
    /// Strikes before a call; tells whether the answer is lost.
    fn strike(&self) -> Result<bool, Error> {
        let (fault, rival) = {
            let mut inner = self.0.lock().unwrap();
            let call = inner.calls;
            inner.calls += 1;
            let due = |(at, fault): &&(usize, Fault)| {
                *at == call || (*fault == Fault::Outage && *at <= call)
            };
            let fault = inner.faults.iter().find(due).map(|(_, fault)| *fault);
            let rival = if fault == Some(Fault::Rival) {
                inner.rival.take()
            } else {
                None
            };
            (fault, rival)
        };
        if let Some(rival) = rival {
            let healthy = Self(self.0.clone());
            healthy.roll_as_rival(rival);
        }
        match fault {
            Some(Fault::Down | Fault::Outage) => Err(Error::Down("test".into())),
            Some(Fault::Lost) => Err(Error::Unknown("test".into())),
            Some(Fault::LostAnswer) => Ok(true),
            Some(Fault::Rival) | None => Ok(false),
        }
    }

    /// A whole roll-out of somebody else, with no fault.
    fn roll_as_rival(&self, signed: Signed) {
        let faults = std::mem::take(&mut self.0.lock().unwrap().faults);
        let calls = self.0.lock().unwrap().calls;
        let store = self.clone();
        std::thread::spawn(move || block_on(roll_out(&store, signed, "rival")))
            .join()
            .unwrap()
            .unwrap();
        let mut inner = self.0.lock().unwrap();
        inner.faults = faults;
        inner.calls = calls;
    }

    fn answer<T>(lost: bool, value: T) -> Result<T, Error> {
        if lost {
            return Err(Error::Unknown("test".into()));
        }
        Ok(value)
    }
}

fn pair(key: &str, (value, revision): &(String, u64)) -> Pair {
    Pair {
        key: key.into(),
        value: value.clone(),
        revision: Revision(*revision),
    }
}

impl Store for Faulty {
    async fn get(&self, key: &str) -> Result<Option<Pair>, Error> {
        let lost = self.strike()?;
        let inner = self.0.lock().unwrap();
        Self::answer(lost, inner.values.get(key).map(|value| pair(key, value)))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Pair>, Error> {
        let lost = self.strike()?;
        let inner = self.0.lock().unwrap();
        let found = inner
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        Self::answer(lost, found.map(|(key, value)| pair(key, value)).collect())
    }

    async fn swap(&self, conditions: &[Condition], writes: &[Write]) -> Result<bool, Error> {
        let lost = self.strike()?;
        let mut inner = self.0.lock().unwrap();
        let holds = conditions.iter().all(|condition| {
            let revision = inner
                .values
                .get(&condition.key)
                .map_or(0, |(_, revision)| *revision);
            revision == condition.revision.0
        });
        if holds {
            inner.revision += 1;
            let revision = inner.revision;
            for write in writes {
                if let Write::Put { key, value, .. } = write {
                    inner.values.insert(key.clone(), (value.clone(), revision));
                }
            }
        }
        Self::answer(lost, holds)
    }

    async fn grant(&self, _: Span) -> Result<Lease, Error> {
        Ok(Lease(1))
    }

    async fn renew(&self, _: Lease) -> Result<bool, Error> {
        Ok(true)
    }

    async fn changed(&self, _: &str, _: Revision) -> Result<Option<Pair>, Error> {
        Ok(None)
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(future)
}

fn trust() -> Trust {
    let keys = SECRETS.map(|secret| keys::public(&secret).into());
    Trust { keys: keys.into() }
}

fn signed(serial: u64) -> Signed {
    let text = format!(
        "[bundle]\nserial = {serial}\n[service desk]\nkind = plain\n[server d]\nservice = desk\n\
         address = 127.0.0.1:{}\nzone = z\n",
        1000 + serial
    );
    let digest = digest(&text);
    Signed {
        signatures: SECRETS.iter().map(|secret| sign(secret, &digest)).collect(),
        text: text.into(),
    }
}

async fn roll_out(store: &Faulty, signed: Signed, name: &str) -> anyhow::Result<Generation> {
    let operator = Operator {
        name: name.into(),
        key: SECRETS[0],
        reason: name.into(),
    };
    roll::forward(store, signed, &trust(), Guard::default(), &operator).await
}

/// Rolls one bundle out well, then a second under faults, and checks the audit trail.
fn run(faults: &[(usize, Fault)]) -> (usize, anyhow::Result<Generation>) {
    let store = Faulty::default();
    block_on(roll_out(&store, signed(1), "first")).unwrap();
    {
        let mut inner = store.0.lock().unwrap();
        inner.calls = 0;
        inner.faults = faults.to_vec();
        inner.rival = Some(signed(3));
    }
    let result = block_on(roll_out(&store, signed(2), "second"));
    let calls = store.0.lock().unwrap().calls;
    store.0.lock().unwrap().faults.clear();

    let trail = block_on(head::audit(&store)).unwrap();
    let (last, _) = block_on(head::read(&store)).unwrap().unwrap();
    let mut previous = String::new();
    for (index, head) in trail.iter().enumerate() {
        assert_eq!(head.generation, Generation(index as u64 + 1), "{faults:?}");
        assert_eq!(head.previous, previous, "{faults:?}");
        previous = head.digest().to_string();
        assert!(
            block_on(head::bundle(&store, &head.bundle))
                .unwrap()
                .is_some()
        );
    }
    assert_eq!(trail.last(), Some(&last), "{faults:?}");
    let own = trail.iter().find(|head| *head.operator == *"second");
    match &result {
        Ok(generation) => assert_eq!(own.map(|head| head.generation), Some(*generation)),
        Err(error) if error.to_string().contains("rival's") => assert!(own.is_none(), "{faults:?}"),
        Err(error) if error.to_string().contains("outcome is not known") => {}
        Err(error) => assert!(own.is_none(), "{faults:?}: in force in spite of {error}"),
    }
    (calls, result)
}

/// The operator is told the truth, and the trail has one line for each generation.
///
/// Each call of a roll-out meets each fault: not sent, lost, its answer lost after the effect, an
/// outage from then on, a rival who gets in just before.
#[test]
fn every_fault_at_every_call() {
    let (calls, _) = run(&[]);
    let faults = [
        Fault::Down,
        Fault::Lost,
        Fault::LostAnswer,
        Fault::Outage,
        Fault::Rival,
    ];
    let mut cells = 0;
    for fault in faults {
        for call in 0..calls {
            let (_, result) = run(&[(call, fault)]);
            if fault == Fault::Rival && call > 0 {
                let error = result.unwrap_err().to_string();
                assert!(error.contains("rival's"), "call {call}: {error}");
            }
            cells += 1;
        }
    }
    println!("calls {calls} cells {cells}");
}

#[test]
fn pairs_of_faults() {
    let (calls, _) = run(&[]);
    let faults = [
        Fault::Down,
        Fault::Lost,
        Fault::LostAnswer,
        Fault::Outage,
        Fault::Rival,
    ];
    for first in faults {
        for second in faults {
            for at in 0..calls {
                for after in 1..4 {
                    let _truth_is_checked_inside = run(&[(at, first), (at + after, second)]);
                }
            }
        }
    }
}

/// A lost answer to the swap is settled by reading back, not by trying again.
#[test]
fn lost_answer_to_the_swap_is_found_out() {
    const SWAP: usize = 2;

    let (_, result) = run(&[(SWAP, Fault::LostAnswer)]);

    assert_eq!(result.unwrap(), Generation(2));
}

#[test]
fn rolling_back_goes_forward_in_generations() {
    let store = Faulty::default();
    block_on(roll_out(&store, signed(1), "first")).unwrap();
    block_on(roll_out(&store, signed(2), "second")).unwrap();
    let operator = Operator {
        name: "third".into(),
        key: SECRETS[0],
        reason: "back".into(),
    };

    let back = block_on(roll::back(&store, Generation(1), &trust(), &operator)).unwrap();
    let (config, _) = block_on(head::config(&store)).unwrap().unwrap();

    assert_eq!(back, Generation(3));
    assert_eq!(config.signed.text, signed(1).text);
}

/// Guards against a roll-out that ends because one read took too long, though nothing was changed yet.
#[test]
fn a_read_without_an_answer_is_asked_for_again() {
    const READS: std::ops::Range<usize> = 0..2;

    for read in READS {
        for fault in [Fault::Down, Fault::Lost, Fault::LostAnswer] {
            let (_, result) = run(&[(read, fault)]);

            assert_eq!(result.unwrap(), Generation(2), "{fault:?} at read {read}");
        }
    }
}
