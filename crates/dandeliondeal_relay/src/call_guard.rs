//! Tracks a call in progress at one endpoint, or at all engines of a chain.

use std::time::Instant;

use dandeliondeal_balance::CallResult;
use dandeliondeal_layout::EngineChain;
use dandeliondeal_types::{Clock, EndpointId};

use crate::relay_context::RelayContext;

/// Registers a call as in progress at its endpoints until it is dropped.
///
/// A guard that is dropped without [`CallGuard::end`] records the call as cancelled, unless
/// [`CallGuard::set_drop_result`] set another result.
#[derive(Debug)]
pub struct CallGuard<Time, Dialect>
where
    Time: Clock,
{
    context: RelayContext<Time, Dialect>,
    endpoints: Vec<EndpointId>,
    started: Instant,
    result: CallResult,
}

impl<Time, Dialect> CallGuard<Time, Dialect>
where
    Time: Clock,
{
    /// Starts a call at the given endpoints.
    pub fn start(context: &RelayContext<Time, Dialect>, endpoints: Vec<EndpointId>) -> Self {
        let started = context.now();
        let mut fleet = context.fleet().borrow_mut();
        for endpoint in &endpoints {
            fleet.call_started(endpoint, started);
        }
        drop(fleet);
        Self {
            context: context.clone(),
            endpoints,
            started,
            result: CallResult::Cancelled,
        }
    }

    /// Starts a call at all engines of a chain.
    pub fn start_chain(context: &RelayContext<Time, Dialect>, chain: &EngineChain) -> Self {
        let hops = chain.hops.iter();
        Self::start(
            context,
            hops.map(|hop| EndpointId::clone(&hop.id)).collect(),
        )
    }

    /// Sets the result that is recorded if the guard is dropped without [`CallGuard::end`].
    pub fn set_drop_result(&mut self, result: CallResult) {
        self.result = result;
    }

    /// Ends the call with the given result.
    pub fn end(mut self, result: CallResult) {
        self.result = result;
    }
}

impl<Time, Dialect> Drop for CallGuard<Time, Dialect>
where
    Time: Clock,
{
    fn drop(&mut self) {
        let now = self.context.now();
        let mut fleet = self.context.fleet().borrow_mut();
        for endpoint in &self.endpoints {
            fleet.call_finished(endpoint, self.started, self.result, now);
        }
    }
}
