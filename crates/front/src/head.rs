//! Header handling for forwarded requests and responses.

use hyper::HeaderMap;
use hyper::Uri;
use hyper::Version;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::request;
use hyper::http::response;
use jujube_core::name::Server;
use jujube_core::pipeline::memory::Size;
use jujube_program::http::named_by_connection;

use crate::dialect::Dialect;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop headers, and the content length, which is set anew for the forwarded body.
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

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip(headers: &mut HeaderMap) {
    let named = named_by_connection(headers);
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns about how many bytes a request's head has.
pub fn size(parts: &request::Parts) -> Size {
    let of_headers = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let path = parts
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    Size((path + of_headers.sum::<usize>()) as u64)
}

/// Turns the head of a backend server's response into that for the caller.
///
/// The version is that of the connection to the server: in HTTP/1.0 nothing but the end of the
/// connection would end a stream, and one that broke off would look whole.
pub fn forward(parts: &mut response::Parts) {
    parts.version = Version::HTTP_11;
    strip(&mut parts.headers);
}

/// Removes headers that only the entry may send to a backend server, so that callers cannot forge
/// them.
pub fn remove_reserved<D: Dialect>(headers: &mut HeaderMap) {
    let names = D::NAMES;
    let reserved = [
        names.key,
        names.customer,
        names.expected_server,
        names.expected_weights,
        names.path,
        names.priority,
        names.deadline,
        names.not_run,
        names.signature,
    ];
    for name in reserved {
        headers.remove(name);
    }
}

/// A text that no header can have as its value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a text that no header can have as its value")]
pub struct Unsendable;

/// Returns a text as the value of a header, which its reader takes for the same text.
///
/// # Errors
///
/// The text has a line end or another control character, or a blank at one of its ends, which readers
/// drop.
pub fn value(text: &str) -> Result<HeaderValue, Unsendable> {
    const BLANKS: [char; 2] = [' ', '\t'];
    if text.starts_with(BLANKS) || text.ends_with(BLANKS) {
        return Err(Unsendable);
    }
    HeaderValue::from_str(text).map_err(|_| Unsendable)
}

/// Returns the target of a request as servers get it: its path and query. Callers may also name the host in
/// it, as to a proxy.
pub fn target(uri: Uri) -> Uri {
    let target = uri.into_parts().path_and_query;
    target.map(Uri::from).unwrap_or_default()
}

/// Returns a header's value if it is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns whether a response names another server than the one that its request was meant for.
pub fn names_other(headers: &HeaderMap, name: &HeaderName, expected: &Server) -> bool {
    text(headers, name).is_some_and(|server| server.trim() != &*expected.0)
}

/// Returns a header's value if it is an unsigned integer.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}
