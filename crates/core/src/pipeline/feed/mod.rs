//! The changes of the store, which a few entries read and the others receive from them.
//!
//! A [`replica::Replica`] holds what the store held at a revision, [`belief::Belief`] how old that is,
//! and [`bounds::Bounds`] how old it may become before an entry asks elsewhere or reads the store
//! itself. Which entries read is decided by [`crate::pipeline::cell::Directory::role`].

pub mod belief;
pub mod bounds;
pub mod contact;
pub mod cursor;
pub mod difference;
pub mod earlier;
pub mod first_read;
pub mod follower;
pub mod replica;
pub mod room;
