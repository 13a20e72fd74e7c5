//! Heads of requests and answers as they are passed on.

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use jujube_program::http::named_by_connection;

use crate::dialect::Dialect;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only; the length is written anew for the body passed on.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Removes what concerns one connection only, also what `Connection` names.
pub fn strip(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes what only the entry may say to a backend server, whatever the caller sent.
pub fn disown<D: Dialect>(headers: &mut HeaderMap) {
    let names = D::NAMES;
    let own = [
        names.key,
        names.customer,
        names.expected_server,
        names.expected_weights,
        names.path,
        names.rank,
        names.deadline,
        names.not_run,
        names.signature,
    ];
    for name in own {
        headers.remove(name);
    }
}

/// Sets a header to a text; a text that no header can hold leaves it out.
pub fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Returns a header's text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's whole number.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
