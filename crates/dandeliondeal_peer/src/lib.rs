//! Membership between instances and the spread of revisions.
//!
//! [`MembershipMachine`] decides, without input or output, to whom heartbeats go, who is suspected
//! and who has failed. [`PeerServer`] and [`PeerClient`] carry calls between instances over
//! `jsonrpsee`; what a call means is for a [`PeerHandler`] to say, so that other parts of the
//! system add methods of their own.

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
pub use peer_message::{Heartbeat, MemberCard, MemberNews, MemberStatus};
#[doc(inline)]
pub use peer_server::{PeerHandler, PeerServer};
