//! Headers between entries and sidecars on calls to plain services.

use hyper::header::CONNECTION;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::PROXY_AUTHENTICATE;
use hyper::header::PROXY_AUTHORIZATION;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use jujube_program::http::named_by_connection;

/// The call, under which the sidecar's ledger knows it.
pub const CALL: &str = "jujube-call";
/// The run of the sidecar that the call is meant for.
pub const SIDECAR: &str = "jujube-sidecar";
/// Whether the request may have run; on every refusal, towards callers as well.
pub const VERDICT: &str = "jujube-verdict";

/// Removes the headers that speak of one connection only (RFC 9110, section 7.6.1).
///
/// # Examples
///
/// ```
/// # use hyper::header::HeaderMap;
/// # use hyper::header::HeaderValue;
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", HeaderValue::from_static("x-one, close"));
/// headers.insert("x-one", HeaderValue::from_static("1"));
/// headers.insert("x-two", HeaderValue::from_static("2"));
/// jujube_wire::plain::remove_hop_by_hop(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    let fixed = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in named.iter().chain(&fixed) {
        headers.remove(name);
    }
}
