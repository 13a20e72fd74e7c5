//! Routing for engines that are pipelined by layers across several backend servers.
//!
//! Engines forward activations among themselves: each request carries its whole path, and every
//! engine runs its part of it. The router decides what each backend server holds ([`placement`]),
//! which path a request takes ([`chooser`]), which servers may get work ([`roster`],
//! [`suspicion`]), and what a caller receives when a part of the path fails ([`relay`]).

pub mod assignment;
pub mod attempts;
pub mod backlog;
pub mod bandwidth;
pub mod budget;
pub mod cadence;
pub mod carried;
pub mod cell;
pub mod chooser;
pub mod crowd;
pub mod departure;
pub mod deputy;
pub mod descriptors;
pub mod digest;
pub mod document;
pub mod era;
pub mod feed;
pub mod framing;
pub mod hold;
pub mod host;
pub mod idle;
pub mod key;
pub mod leavers;
pub mod limits;
pub mod liveness;
pub mod load;
pub mod local_health;
pub mod memory;
pub mod missing;
pub mod model;
pub mod outage;
pub mod outlier;
pub mod pace;
pub mod path;
pub mod placement;
pub mod quarantine;
pub mod refusals;
pub mod relay;
pub mod reports;
pub mod reserve;
pub mod rests;
pub mod roster;
pub mod server;
pub mod settling;
pub mod share;
pub mod stalls;
pub mod strangers;
pub mod summary;
pub mod suspicion;
pub mod total;
pub mod turn;
