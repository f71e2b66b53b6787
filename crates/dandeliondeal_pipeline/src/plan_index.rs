//! Index of the engines of each model, for planning.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dandeliondeal_types::sheet_model::{EndpointEntry, EndpointTarget};
use dandeliondeal_types::{
    AcceleratorKind, EndpointId, EndpointView, FailureDomain, Layer, LayerRange, ModelId,
    SheetModel,
};

use crate::plan_search::{PlanCandidate, search};
use crate::{PlanChain, PlanQuery, PlanSettings};

/// Time per layer on an accelerator kind that the sheet does not describe.
const DEFAULT_LAYER_TIME: Duration = Duration::from_millis(1);

/// The failure domains at both ends of a link.
type LinkKey = (FailureDomain, FailureDomain);

/// The properties of an engine that planning depends on.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PlanEngine {
    model: ModelId,
    range: LayerRange,
    accelerator: AcceleratorKind,
    domain: FailureDomain,
}

/// The engines of one model, with the layers at which a chain may change engines.
#[derive(Clone, Debug, Default)]
struct ModelIndex {
    engines: BTreeMap<EndpointId, PlanEngine>,
    /// Number of engines whose range starts or ends at each layer.
    boundaries: BTreeMap<Layer, u32>,
}

/// Finds chains of engines, and is updated by the difference between revisions of the sheet.
#[derive(Clone, Debug, Default)]
pub struct PlanIndex {
    settings: PlanSettings,
    models: BTreeMap<ModelId, ModelIndex>,
    engines: BTreeMap<EndpointId, PlanEngine>,
    /// Time per layer on each accelerator kind.
    layer_times: BTreeMap<AcceleratorKind, Duration>,
    /// Network time of one step over each link, in both directions.
    round_trips: HashMap<LinkKey, Duration>,
}

impl PlanIndex {
    /// Creates an empty index.
    pub fn new(settings: PlanSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies a sheet and returns the number of engines that were added, changed or removed.
    pub fn update(&mut self, sheet: &SheetModel) -> usize {
        self.update_costs(sheet);
        let removed: Vec<EndpointId> = self
            .engines
            .keys()
            .filter(|endpoint| !sheet.endpoints.contains_key(*endpoint))
            .cloned()
            .collect();
        let mut changes = removed.len();
        for endpoint in &removed {
            self.remove(endpoint);
        }
        for (endpoint, entry) in &sheet.endpoints {
            changes += usize::from(self.insert(endpoint, entry));
        }
        changes
    }

    /// Adds or changes one endpoint, and returns whether the index changed.
    pub fn insert(&mut self, endpoint: &EndpointId, entry: &EndpointEntry) -> bool {
        let EndpointTarget::Layers { model, range } = &entry.target else {
            return self.remove(endpoint);
        };
        let engine = PlanEngine {
            model: model.clone(),
            range: *range,
            accelerator: entry.accelerator.clone(),
            domain: entry.failure_domain.clone(),
        };
        if self.engines.get(endpoint) == Some(&engine) {
            return false;
        }
        self.remove(endpoint);
        let index = self.models.entry(model.clone()).or_default();
        *index.boundaries.entry(range.start).or_default() += 1;
        *index.boundaries.entry(range.end).or_default() += 1;
        index.engines.insert(endpoint.clone(), engine.clone());
        self.engines.insert(endpoint.clone(), engine);
        true
    }

    /// Removes one endpoint, and returns whether it was in the index.
    pub fn remove(&mut self, endpoint: &EndpointId) -> bool {
        let Some(engine) = self.engines.remove(endpoint) else {
            return false;
        };
        if let Some(index) = self.models.get_mut(&engine.model) {
            index.engines.remove(endpoint);
            index.remove_boundary(engine.range.start);
            index.remove_boundary(engine.range.end);
        }
        true
    }

    /// Returns the number of engines in the index.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the cheapest chain, or `None` if the usable engines do not cover all layers.
    pub fn plan<View>(&self, query: &PlanQuery<'_>, view: &View) -> Option<PlanChain>
    where
        View: EndpointView,
    {
        let index = self.models.get(query.model)?;
        let candidates: Vec<PlanCandidate> = index
            .engines
            .iter()
            .filter(|(endpoint, engine)| is_allowed(query, endpoint, engine))
            .filter(|(endpoint, _)| view.is_usable(endpoint))
            .map(|(endpoint, engine)| PlanCandidate {
                endpoint: endpoint.clone(),
                range: engine.range,
                entry_time: view.expected_wait(endpoint) + self.round_trip(query, engine),
                layer_time: self.layer_time(&engine.accelerator),
            })
            .collect();
        let boundaries = index.boundaries_within(query.range);
        search(&candidates, &boundaries, query.tie_breaker)
    }

    fn update_costs(&mut self, sheet: &SheetModel) {
        self.layer_times = sheet
            .accelerators
            .iter()
            .map(|(kind, entry)| (kind.clone(), Duration::from_nanos(entry.layer_nanoseconds)))
            .collect();
        self.round_trips.clear();
        for link in &sheet.links {
            let delay = Duration::from_micros(link.delay_microseconds);
            let time = self.settings.round_trip(delay, link.kilobytes_per_second);
            let key = (link.from.clone(), link.to.clone());
            self.round_trips
                .insert((key.1.clone(), key.0.clone()), time);
            self.round_trips.insert(key, time);
        }
    }

    fn layer_time(&self, kind: &AcceleratorKind) -> Duration {
        self.layer_times
            .get(kind)
            .copied()
            .unwrap_or(DEFAULT_LAYER_TIME)
    }

    /// Returns the network time of one step from the query's failure domain to an engine and back.
    fn round_trip(&self, query: &PlanQuery<'_>, engine: &PlanEngine) -> Duration {
        let key = (query.instance_domain.clone(), engine.domain.clone());
        if let Some(time) = self.round_trips.get(&key) {
            return *time;
        }
        let delay = if key.0 == key.1 {
            self.settings.local_delay
        } else {
            self.settings.remote_delay
        };
        self.settings
            .round_trip(delay, self.settings.kilobytes_per_second)
    }
}

impl ModelIndex {
    /// Removes one engine's boundary at `layer`.
    fn remove_boundary(&mut self, layer: Layer) {
        if let Some(count) = self.boundaries.get_mut(&layer) {
            *count -= 1;
            if *count == 0 {
                self.boundaries.remove(&layer);
            }
        }
    }

    /// Returns both ends of `range` and the boundaries between them, in ascending order.
    fn boundaries_within(&self, range: LayerRange) -> Vec<Layer> {
        if range.is_empty() {
            return Vec::new();
        }
        let between = self.boundaries.range(range.start + 1..range.end);
        std::iter::once(range.start)
            .chain(between.map(|(layer, _)| *layer))
            .chain(std::iter::once(range.end))
            .collect()
    }
}

fn is_allowed(query: &PlanQuery<'_>, endpoint: &EndpointId, engine: &PlanEngine) -> bool {
    let is_in_domain =
        query.failure_domains.is_empty() || query.failure_domains.contains(&engine.domain);
    is_in_domain && !query.avoid.contains(endpoint)
}
