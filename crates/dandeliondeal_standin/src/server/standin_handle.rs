//! The methods that the handles to all kinds of stand-in share.

/// Implements the shared methods for a handle that has a field `server`.
macro_rules! standin_handle {
    ($handle:ty) => {
        impl $handle {
            /// Returns the address that the stand-in listens on.
            pub fn address(&self) -> SocketAddr {
                self.server.address()
            }

            /// Changes the active faults.
            pub fn set_faults(&self, change: FaultChange) {
                self.server.set_faults(change);
            }

            /// Returns the active faults.
            pub fn faults(&self) -> StandinFaults {
                self.server.faults().clone()
            }

            /// Returns the number of connections with an open call, except silenced connections.
            pub fn open_calls(&self) -> usize {
                self.server.open_calls()
            }

            /// Stops accepting connections, waits for open calls to finish, then terminates.
            pub async fn stop(&self) {
                self.server.stop().await;
            }

            /// Terminates immediately and closes all connections, like a killed process.
            pub fn kill(&self) {
                self.server.kill();
            }

            /// Waits until the stand-in has terminated.
            pub async fn wait_until_ended(&self) {
                self.server.wait_until_ended().await;
            }
        }
    };
}

pub(crate) use standin_handle;
