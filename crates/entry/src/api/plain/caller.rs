//! Who calls what: the choice of a backend server, and the request as it is sent on.

use bytes::Bytes;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use jujube_core::blackboard::Target;
use jujube_core::call::Dispatch;
use jujube_core::call::Key;
use jujube_core::layer::Range;
use jujube_core::name::Customer;
use jujube_core::name::Server;
use jujube_core::name::Service;
use jujube_core::path::Stage;
use jujube_core::verdict::Verdict;
use jujube_program::clock;
use jujube_program::http::Body;
use jujube_wire::plain::remove_hop_by_hop;

use crate::api::claimed;
use crate::api::dispatch::settle;
use crate::state::State;

/// A caller's word that its request must not be repeated, whatever the bundle says of its method.
pub(super) const IDEMPOTENT: &str = "jujube-idempotent";
/// Tells the service who calls; callers cannot set it.
const CUSTOMER: &str = "jujube-customer";

/// Who calls what.
pub(super) struct Caller<'a> {
    pub(super) state: &'a State,
    pub(super) customer: Customer,
    pub(super) service: Service,
    pub(super) path: String,
    pub(super) parts: Parts,
    pub(super) idempotent: bool,
}

/// Keeps a backend server's share of what is in flight until the answer has been sent.
pub(super) struct Booked {
    state: State,
    service: Service,
    stage: Stage,
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.state
            .admission
            .end(&self.service, std::slice::from_ref(&self.stage));
    }
}

impl Caller<'_> {
    pub(super) fn key(&self, body: &Bytes) -> Key {
        let path = format!("/services/{}{}", self.service, self.path);
        Key {
            nonce: clock::nonce().into(),
            fingerprint: claimed::fingerprint(self.parts.method.as_str(), &path, body),
        }
    }

    pub(super) fn choose(&self, excluded: &[Server]) -> Option<Target> {
        let snapshot = self.state.snapshot();
        let targets = snapshot.plain.get(&self.service)?;
        let untried = targets
            .iter()
            .filter(|target| !excluded.contains(&target.server));
        let load = |target: &&Target| {
            let own = self
                .state
                .admission
                .in_flight(&self.service, &target.server);
            (own.max(target.held), own)
        };
        untried.min_by_key(load).cloned()
    }

    pub(super) async fn settle(&self, dispatch: &Dispatch) -> Verdict {
        let snapshot = self.state.snapshot();
        let server = dispatch.server.as_ref();
        let Some(member) = server.and_then(|server| snapshot.bundle.servers.get(server)) else {
            return Verdict::MayHaveRun;
        };
        settle(self.state, &member.address, dispatch.call, dispatch.sidecar).await
    }

    pub(super) fn book(&self, target: &Target) -> Booked {
        let stage = Stage {
            server: target.server.clone(),
            address: target.address.clone(),
            layers: Range::default(),
        };
        self.state.admission.begin(&self.service, &stage);
        Booked {
            state: self.state.clone(),
            service: self.service.clone(),
            stage,
        }
    }

    pub(super) fn request(&self, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        let path = self.path.parse();
        *request.uri_mut() = path.unwrap_or_else(|_| hyper::Uri::from_static("/"));
        let mut headers = self.parts.headers.clone();
        remove_hop_by_hop(&mut headers);
        // The key that a customer calls with is none of the service's business.
        headers.remove(AUTHORIZATION);
        headers.remove(HOST);
        headers.remove(IDEMPOTENT);
        headers.remove(CUSTOMER);
        if let Ok(customer) = HeaderValue::from_str(&self.customer.0) {
            headers.insert(CUSTOMER, customer);
        }
        *request.headers_mut() = headers;
        request
    }
}
