//! The bundle of configuration that operators sign: data model, parser, checks, diff and signatures.

mod check;
mod diff;
mod model;
mod parse;
mod sign;

pub use crate::section::Fault;
pub use check::check;
pub use diff::Change;
pub use diff::Guard;
pub use diff::diff;
pub use diff::guard;
pub use model::Bundle;
pub use model::Capacity;
pub use model::Kind;
pub use model::Link;
pub use model::Member;
pub use model::Offer;
pub use model::Tenant;
pub use parse::parse;
pub use sign::Digest;
pub use sign::Signature;
pub use sign::SignatureError;
pub use sign::Signed;
pub use sign::Trust;
pub use sign::digest;
pub use sign::digest_bytes;
pub use sign::sign;
