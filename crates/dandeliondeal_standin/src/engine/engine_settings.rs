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
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// The model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: Arc<str>,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// The layers that the engine holds.
    pub range: LayerRange,
    /// Role that it reports until an order changes it.
    pub role: Arc<str>,
    /// Time of one layer for one batch of positions, in microseconds.
    pub layer_microseconds: u64,
    /// Time added to each step for the link, in microseconds.
    pub link_microseconds: u64,
    /// Positions that run through a layer at once.
    pub batch_positions: usize,
    /// Steps that run at once; 0 for any number.
    pub step_slots: usize,
    /// Sessions at once.
    pub capacity: usize,
    /// Life of a session whose call names none.
    pub session_life: Duration,
    /// Age that the load report may have.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time that loading weights takes.
    pub weight_load: Duration,
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
            step_slots: 0,
            capacity: 64,
            session_life: Duration::from_secs(30),
            load_lag: Duration::ZERO,
            checks_fencing: true,
            weight_load: Duration::ZERO,
        }
    }
}
