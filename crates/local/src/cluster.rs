//! The roles of one bundle, started together.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use jujube_core::bundle::Bundle;
use jujube_core::bundle::Guard;
use jujube_core::bundle::Kind;
use jujube_core::bundle::Member;
use jujube_core::bundle::Signed;
use jujube_core::bundle::Trust;
use jujube_core::bundle::digest;
use jujube_core::bundle::sign;
use jujube_core::head::Generation;
use jujube_core::name::Server;
use jujube_ctl::keys;
use jujube_ctl::keys::Secret;
use jujube_ctl::roll;
use jujube_ctl::roll::Operator;
use jujube_program::shutdown;
use jujube_program::shutdown::Trigger;
use jujube_standin::engine;
use jujube_standin::engine::Engine;
use jujube_standin::kv;
use jujube_standin::plain::Plain;
use jujube_standin::vms::Vms;
use jujube_store::kv::Etcd;
use tokio::net::TcpListener;

/// What differs from one cluster to the next.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The bundle's text; its addresses are replaced by those that were free.
    pub bundle: String,
    /// How many entries.
    pub entries: usize,
    /// Where the first entry listens.
    pub listen: SocketAddr,
    /// The entries' settings, except addresses.
    pub entry: jujube_entry::Settings,
    /// Microseconds that one layer takes for a batch of any size.
    pub base_micros: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            bundle: String::new(),
            entries: 1,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entry: jujube_entry::Settings::default(),
            base_micros: 20,
        }
    }
}

/// One backend server with its sidecar.
pub struct Backend {
    /// The sidecar.
    pub sidecar: jujube_sidecar::Handle,
    /// The engine, for models.
    pub engine: Option<Engine>,
    trigger: Trigger,
}

impl Backend {
    /// Stops engine and sidecar at once, as a crash would.
    pub fn crash(&self) {
        self.sidecar.stop();
        self.trigger.stop();
    }
}

/// All roles of a bundle.
pub struct Cluster {
    /// The entries.
    pub entries: Vec<jujube_entry::Handle>,
    /// By name.
    pub backends: BTreeMap<Server, Backend>,
    /// All plain services share one counter.
    pub plain: Plain,
    /// The key-value service.
    pub kv: kv::Service,
    /// The VM list.
    pub vms: Vms,
    /// The bundle with the addresses in use.
    pub bundle: Bundle,
    /// A client of the key-value service.
    pub store: Etcd,
    trust: Trust,
    secrets: [Secret; 2],
    trigger: Trigger,
}

/// How long a role may take to get ready.
const READY: Duration = Duration::from_secs(20);

impl Cluster {
    /// Starts everything, rolls the bundle out, and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// The bundle does not hold, or a role does not get ready.
    pub async fn start(plan: Plan) -> Result<Self> {
        let mut bundle = roll::check(&plan.bundle)?;
        let (author, author_key) = keys::generate();
        let (reviewer, reviewer_key) = keys::generate();
        let keys = [author_key, reviewer_key].map(Arc::from);
        let trust = Trust { keys: keys.into() };
        let (trigger, stop) = shutdown::pair();

        let kv = kv::Service::default();
        let (listener, kv_url) = listen().await?;
        tokio::spawn(kv.clone().serve(listener, stop.clone()));
        let vms = Vms::default();
        let (listener, vms_url) = listen().await?;
        tokio::spawn(vms.clone().serve(listener, stop.clone()));

        let plain = Plain::default();
        let mut backends = BTreeMap::new();
        let mut text = plan.bundle.clone();
        for (server, member) in bundle.servers.clone() {
            let started = backend(&bundle, &server, &member, &plain, &trust, plan.base_micros);
            let backend = started.await.with_context(|| server.to_string())?;
            let address = backend.sidecar.address.to_string();
            let old = format!("address = {}\n", member.address);
            text = text.replacen(&old, &format!("address = @{address}\n"), 1);
            if let Some(member) = bundle.servers.get_mut(&server) {
                member.address = address.into();
            }
            backends.insert(server, backend);
        }
        // The mark keeps a new address from being taken for a later server's old one.
        let text = text.replace("address = @", "address = ");

        let mut entries = Vec::new();
        for index in 0..plan.entries {
            let settings = jujube_entry::Settings {
                listen: if index == 0 {
                    plan.listen
                } else {
                    Plan::default().listen
                },
                kv: kv_url.clone(),
                vms: vms_url.clone(),
                trust: trust.clone(),
                ..plan.entry.clone()
            };
            entries.push(jujube_entry::start(settings).await?);
        }
        let cluster = Self {
            entries,
            backends,
            plain,
            kv,
            vms,
            bundle,
            store: Etcd::new(&kv_url),
            trust,
            secrets: [author, reviewer],
            trigger,
        };
        cluster.roll_out(&text, "first").await?;
        cluster.until_ready().await?;
        Ok(cluster)
    }

    /// Signs a bundle's text and rolls it out.
    ///
    /// # Errors
    ///
    /// See [`roll::forward`].
    pub async fn roll_out(&self, text: &str, reason: &str) -> Result<Generation> {
        let digest = digest(text);
        let signatures = self
            .secrets
            .iter()
            .map(|secret| sign(secret, &digest))
            .collect();
        let signed = Signed {
            text: text.into(),
            signatures,
        };
        let operator = self.operator(reason);
        let guard = Guard::default();
        roll::forward(&self.store, signed, &self.trust, guard, &operator).await
    }

    /// Returns the operator whose key is trusted.
    #[must_use]
    pub fn operator(&self, reason: &str) -> Operator {
        Operator {
            name: "local".into(),
            key: self.secrets[0],
            reason: reason.into(),
        }
    }

    /// Returns the keys that every role trusts.
    #[must_use]
    pub fn trust(&self) -> &Trust {
        &self.trust
    }

    /// Waits until every entry serves every service.
    async fn until_ready(&self) -> Result<()> {
        let client = jujube_program::http::Client::new(Duration::from_secs(1));
        let start = tokio::time::Instant::now();
        for entry in &self.entries {
            let url = format!("http://{}/status", entry.address);
            loop {
                let status = client
                    .get::<serde_json::Value>(&url, Duration::from_secs(1))
                    .await;
                if status.is_ok_and(|status| self.is_served(&status)) {
                    break;
                }
                if start.elapsed() > READY {
                    bail!("entry {} did not get ready", entry.address);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    fn is_served(&self, status: &serde_json::Value) -> bool {
        let servers = status["servers"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let up = servers
            .iter()
            .filter(|server| server["state"] == "up")
            .count();
        let in_use = self
            .bundle
            .servers
            .values()
            .filter(|member| member.in_use)
            .count();
        status["generation"] != 0 && up >= in_use
    }

    /// Returns the address of an entry as a URL.
    #[must_use]
    pub fn url(&self, entry: usize) -> String {
        format!("http://{}", self.entries[entry].address)
    }

    /// Stops all roles, cutting nothing.
    pub async fn drain(&self) {
        futures::future::join_all(self.entries.iter().map(jujube_entry::Handle::drain)).await;
        let sidecars = self
            .backends
            .values()
            .map(|backend| backend.sidecar.drain());
        futures::future::join_all(sidecars).await;
        for backend in self.backends.values() {
            backend.trigger.stop();
        }
        self.trigger.stop();
    }
}

async fn listen() -> Result<(TcpListener, String)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.context("listen")?;
    let url = format!("http://{}", listener.local_addr()?);
    Ok((listener, url))
}

async fn backend(
    bundle: &Bundle,
    server: &Server,
    member: &Member,
    plain: &Plain,
    trust: &Trust,
    base_micros: u64,
) -> Result<Backend> {
    let (trigger, stop) = shutdown::pair();
    let (listener, url) = listen().await?;
    let offer = bundle
        .services
        .get(&member.service)
        .context("its service")?;
    let engine = match offer.kind {
        Kind::Plain => {
            tokio::spawn(plain.clone().serve(listener, stop));
            None
        }
        Kind::Model => {
            let capacity = bundle.accelerators.get(&member.accelerator);
            let engine = Engine::start(engine::Settings {
                layers: offer.layers,
                held: member.layers,
                base_micros,
                layer_tokens: capacity.map_or(1, |capacity| capacity.layer_tokens),
                fences: true,
            });
            tokio::spawn(engine.clone().serve(listener, stop));
            Some(engine)
        }
    };
    let settings = jujube_sidecar::Settings {
        server: server.clone(),
        backend: url,
        trust: trust.clone(),
        ..jujube_sidecar::Settings::default()
    };
    Ok(Backend {
        sidecar: jujube_sidecar::start(settings).await?,
        engine,
        trigger,
    })
}
