//! Load of one urgency and organisation over a time.

use super::WORK;

/// Objectives to the first event by urgency, in seconds.
const OBJECTIVES: [f64; 3] = [0.5, 0.6, 1.2];
/// Organisations that send the calm load.
const ORGANISATIONS: usize = 6;

/// Load of one urgency and organisation.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    pub from: f64,
    pub until: f64,
    pub urgency: u8,
    pub organisation: String,
    /// Requests a second, as a part of the calm load of the whole fleet.
    pub factor: f64,
    /// Mean work of a request.
    pub work: f64,
    pub objective: f64,
}

/// Returns the load of one urgency from equal organisations; `factor` 1 is the whole calm load.
pub fn phase(urgency: u8, factor: f64, from: f64, until: f64) -> Vec<LoadPhase> {
    let load = |number| LoadPhase {
        from,
        until,
        urgency,
        organisation: format!("organisation-{number}"),
        factor: factor / ORGANISATIONS as f64,
        work: WORK,
        objective: OBJECTIVES[usize::from(urgency)],
    };
    (0..ORGANISATIONS).map(load).collect()
}

/// Returns a load with a third of each urgency.
pub fn calm_load() -> Vec<LoadPhase> {
    let thirds = (0..3).map(|urgency| phase(urgency, 1.0 / 3.0, 0.0, f64::INFINITY));
    thirds.flatten().collect()
}
