//! The part of a handle that is the same for every kind of stand-in.

/// Gives a handle with a `shell` its address, its faults and its end.
macro_rules! standin_handle {
    ($handle:ty) => {
        impl $handle {
            /// Where it listens.
            pub fn address(&self) -> SocketAddr {
                self.shell.address()
            }

            /// Changes the faults in force.
            pub fn set_faults(&self, change: FaultChange) {
                self.shell.set_faults(change);
            }

            /// The faults in force.
            pub fn faults(&self) -> StandinFaults {
                self.shell.faults().clone()
            }

            /// Number of connections that wait for an answer, silent ones left out.
            pub fn open_calls(&self) -> usize {
                self.shell.open_calls()
            }

            /// Takes no more connections, lets every open call finish, then ends.
            pub async fn stop(&self) {
                self.shell.stop().await;
            }

            /// Ends at once, as a process that is killed: all its connections close.
            pub fn kill(&self) {
                self.shell.kill();
            }

            /// Waits until it has ended.
            pub async fn ended(&self) {
                self.shell.ended().await;
            }
        }
    };
}

pub(crate) use standin_handle;
