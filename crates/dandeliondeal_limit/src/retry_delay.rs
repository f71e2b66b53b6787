//! Time after which a refused caller of a graded service returns.

use std::time::Duration;

use crate::gate_settings::GateSettings;

/// Smallest random factor of a retry delay.
const MIN_SPREAD: f64 = 0.7;
/// Factor on the lack of share: from a share of a third on, the delay has its maximum. With a factor
/// of 1, a tenth of those who return within a burst of 6 s are refused again.
const LACK_FACTOR: f64 = 1.5;
/// Work turned away in a second, as a part of the capacity, above which a burst is steep. Three times
/// the load of a service filled to 0.35 stays below it.
const STEEP_RATE: f64 = 0.5;
/// Smallest random factor in the steepest bursts; the first callers return when the work that was
/// admitted with the burst ends.
const STEEP_SPREAD: f64 = 0.3;
/// Exponent of the draw there; more callers return early, when there is most room.
const STEEP_EXPONENT: f64 = 1.5;

/// Returns the retry delay at `share`, spread by `draw` in 0 to 1, and at most `limit`.
///
/// The lower the share, the later callers return: where it is below 1, those who return early are
/// refused again. `refused_rate` is the work that is turned away in a second, as a part of the
/// capacity. The callers of a steep burst are too many for the end of the range, so they are spread
/// over more of it.
pub(crate) fn retry_delay(
    settings: &GateSettings,
    (share, refused_rate): (f64, f64),
    draw: f64,
    limit: Duration,
) -> Duration {
    let max_delay = settings.max_retry_delay.min(limit);
    let min_delay = settings.min_retry_delay.min(max_delay);
    let lack = (LACK_FACTOR * (1.0 - share)).clamp(0.0, 1.0);
    let delay = min_delay + max_delay.saturating_sub(min_delay).mul_f64(lack);
    let steepness = (refused_rate / STEEP_RATE - 1.0).clamp(0.0, 1.0);
    let min_spread = MIN_SPREAD + (STEEP_SPREAD - MIN_SPREAD) * steepness;
    let exponent = 1.0 + (STEEP_EXPONENT - 1.0) * steepness;
    let spread = min_spread + (1.0 - min_spread) * draw.clamp(0.0, 1.0).powf(exponent);
    delay.mul_f64(spread).max(min_delay.mul_f64(MIN_SPREAD))
}
