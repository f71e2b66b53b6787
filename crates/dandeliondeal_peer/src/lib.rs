//! Membership of instances, and the calls between them.
//!
//! Heartbeats also carry the revision in force. [`MembershipMachine`] decides which members receive
//! heartbeats, are suspected, or have failed. It performs no input or output. [`PeerServer`] and
//! [`PeerClient`] carry calls between instances over `jsonrpsee`. A [`PeerHandler`] implements the
//! methods, so that other crates can add their own.

pub mod member_state;
pub mod membership_event;
pub mod membership_machine;
pub mod neighbour_ring;
pub mod peer_client;
pub mod peer_error;
pub mod peer_message;
pub mod peer_server;

#[doc(inline)]
pub use member_state::{MemberEvent, MemberState};
#[doc(inline)]
pub use membership_event::{FanOut, MembershipAction, MembershipEvent, MembershipSettings};
#[doc(inline)]
pub use membership_machine::MembershipMachine;
#[doc(inline)]
pub use peer_client::{PeerClient, PeerSettings, PeerTraffic};
#[doc(inline)]
pub use peer_error::PeerError;
#[doc(inline)]
pub use peer_message::{Heartbeat, MemberIdentity, MemberStatus, MemberUpdate};
#[doc(inline)]
pub use peer_server::{PeerHandler, PeerServer};
