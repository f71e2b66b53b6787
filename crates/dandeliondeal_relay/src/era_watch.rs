//! Era of the store's content, as the answers to this instance state it.

use dandeliondeal_types::{Clock, StoreEra};

use crate::relay_context::RelayContext;

impl<Time, Dialect> RelayContext<Time, Dialect>
where
    Time: Clock,
{
    /// Returns the era that was stated last; 0 before the first answer.
    pub fn store_era(&self) -> StoreEra {
        *self.store_eras().borrow()
    }

    /// Records the era of an answer of the store or of a hub.
    pub fn record_store_era(&self, era: StoreEra) {
        let is_changed = self.store_eras().send_if_modified(|known| {
            let previous = std::mem::replace(known, era);
            previous != era
        });
        if is_changed {
            let era = i64::try_from(era).unwrap_or(i64::MAX);
            self.metrics().store_era.set(era);
        }
    }

    /// Waits until the era is not `known` any longer.
    pub(crate) async fn wait_for_era_after(&self, known: StoreEra) {
        let mut eras = self.store_eras().subscribe();
        // The sender lives as long as this context, so the wait does not fail.
        let _ = eras.wait_for(|era| *era != known).await;
    }
}
