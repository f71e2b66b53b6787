//! Maximum flow of requests through the layers of a model.

use std::collections::VecDeque;

use dandeliondeal_types::LayerRange;

/// Smallest amount of flow that is still distinguished from none.
const MIN_FLOW: f64 = 1e-6;

/// All holders of one range, as an edge from the first layer of the range to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangeEdge {
    pub(crate) range: LayerRange,
    /// Tokens that fit on the holders.
    pub(crate) capacity: f64,
    /// Tokens of the requests that pass through the holders.
    pub(crate) flow: f64,
}

impl RangeEdge {
    /// Creates an edge without flow.
    pub(crate) fn new(range: LayerRange, capacity: f64) -> Self {
        Self {
            range,
            capacity,
            flow: 0.0,
        }
    }

    /// Returns the capacity that no request uses.
    pub(crate) fn unused(&self) -> f64 {
        (self.capacity - self.flow).max(0.0)
    }
}

/// Maximises the flow from layer 0 to layer `layers`, and returns it.
///
/// Each path of the flow runs every layer once and in order.
pub(crate) fn maximize_flow(layers: u32, edges: &mut [RangeEdge]) -> f64 {
    let mut total = 0.0;
    while let Some(path) = find_path(layers, edges) {
        let available = |(index, is_forward): &(usize, bool)| {
            if *is_forward {
                edges[*index].unused()
            } else {
                edges[*index].flow
            }
        };
        let amount = path.iter().map(available).fold(f64::INFINITY, f64::min);
        for (index, is_forward) in path {
            edges[index].flow += if is_forward { amount } else { -amount };
        }
        total += amount;
    }
    total
}

/// Returns the edges of a shortest path with capacity left, each with its direction.
fn find_path(layers: u32, edges: &[RangeEdge]) -> Option<Vec<(usize, bool)>> {
    let mut reached: Vec<Option<(usize, bool)>> = vec![None; layers as usize + 1];
    let mut queue = VecDeque::from([0]);
    while let Some(layer) = queue.pop_front() {
        if layer == layers {
            break;
        }
        for (index, edge) in edges.iter().enumerate() {
            let (next, is_forward) = if edge.range.start == layer && edge.unused() > MIN_FLOW {
                (edge.range.end, true)
            } else if edge.range.end == layer && edge.flow > MIN_FLOW {
                (edge.range.start, false)
            } else {
                continue;
            };
            if next != 0
                && let Some(entry) = reached.get_mut(next as usize)
                && entry.is_none()
            {
                *entry = Some((index, is_forward));
                queue.push_back(next);
            }
        }
    }
    let mut path = Vec::new();
    let mut layer = layers;
    while layer != 0 {
        let (index, is_forward) = reached[layer as usize]?;
        path.push((index, is_forward));
        let range = edges[index].range;
        layer = if is_forward { range.start } else { range.end };
    }
    Some(path)
}
