//! Settings of a stand-in engine.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::{LayerRange, ModelId};

/// Settings of an [`EngineStandin`](super::EngineStandin).
///
/// # Examples
///
/// ```
/// use dandeliondeal_standin::EngineSettings;
/// use dandeliondeal_types::LayerRange;
///
/// let settings = EngineSettings { range: LayerRange::new(0, 4), ..EngineSettings::default() };
/// assert_eq!(settings.layers, 8);
/// ```
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Model that the engine serves.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// Layers that the engine has loaded.
    pub range: LayerRange,
    /// Role that the engine reports until an order changes it.
    pub role: Arc<str>,
    /// Time that one layer takes for one batch of positions, in microseconds.
    pub layer_microseconds: u64,
    /// Simulated network delay that is added to each step, in microseconds.
    pub link_microseconds: u64,
    /// Maximum number of positions that a layer processes in one batch.
    pub batch_positions: usize,
    /// Maximum number of concurrent steps; 0 means no limit.
    pub max_concurrent_steps: usize,
    /// Maximum number of concurrent sessions.
    pub capacity: usize,
    /// Lifetime of a session whose calls specify none.
    pub session_lifetime: Duration,
    /// Maximum age of the cached load report.
    pub load_report_max_age: Duration,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Simulated time to load weights.
    pub weight_load_duration: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: "model-a".into(),
            version: "1".into(),
            layers: 8,
            range: LayerRange::new(0, 8),
            role: "mixed".into(),
            layer_microseconds: 0,
            link_microseconds: 0,
            batch_positions: 32,
            max_concurrent_steps: 0,
            capacity: 64,
            session_lifetime: Duration::from_secs(30),
            load_report_max_age: Duration::ZERO,
            checks_fencing: true,
            weight_load_duration: Duration::ZERO,
        }
    }
}
