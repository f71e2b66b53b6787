//! Time after which a refused caller of a graded service returns.

use std::time::Duration;

use crate::gate_settings::GateSettings;

/// Share from which the retry delay has its minimum.
const MIN_DELAY_SHARE: f64 = 0.5;
/// Smallest random factor of a retry delay.
const MIN_SPREAD: f64 = 0.7;

/// Returns the retry delay at `share`, spread by `draw` in 0 to 1, and at most `limit`.
///
/// Callers return spread out; the lower the share, the later.
pub(crate) fn retry_delay(
    settings: &GateSettings,
    share: f64,
    draw: f64,
    limit: Duration,
) -> Duration {
    let max_delay = settings.max_retry_delay.min(limit);
    let min_delay = settings.min_retry_delay.min(max_delay);
    let lack = (1.0 - share / MIN_DELAY_SHARE).clamp(0.0, 1.0);
    let delay = min_delay + max_delay.saturating_sub(min_delay).mul_f64(lack);
    let spread = MIN_SPREAD + (1.0 - MIN_SPREAD) * draw.clamp(0.0, 1.0);
    delay.mul_f64(spread)
}
