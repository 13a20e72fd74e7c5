//! What callers see.

mod auth;
mod claimed;
mod completions;
mod dispatch;
mod layers;
mod plain;
mod problem;
mod router;
mod status;

pub(crate) use dispatch::Sender;
pub(crate) use layers::stack;
