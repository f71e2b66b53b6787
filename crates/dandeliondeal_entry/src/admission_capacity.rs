//! Request slots for each target, and weights of organisations, from the sheet.

use std::collections::{BTreeMap, HashMap};

use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{LayerRange, ModelId, OrganisationId, ServiceId, SheetModel};

/// Share of a target's capacity that all instances together admit, in percent.
///
/// More than 100, so that an endpoint is not idle while the next request is on its way to it.
const ADMITTED_PERCENT: u32 = 125;
/// Minimum slots for a target, also if the sheet gives it no capacity.
const MIN_SLOTS: u32 = 1;

/// Target that requests queue for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum AdmissionTarget {
    /// The engines of a model.
    Model(ModelId),
    /// The replicas of a plain service.
    Service(ServiceId),
}

/// Slots and weights from one sheet.
#[derive(Clone, Debug, Default)]
pub struct AdmissionCapacity {
    slots: HashMap<AdmissionTarget, u32>,
    weights: HashMap<OrganisationId, u32>,
}

impl AdmissionCapacity {
    /// Divides the capacity in a sheet among `instances` entry instances.
    pub fn new(sheet: &SheetModel, instances: u32) -> Self {
        let mut services: HashMap<ServiceId, u32> = HashMap::new();
        let mut ranges: HashMap<ModelId, BTreeMap<LayerRange, u32>> = HashMap::new();
        for entry in sheet.endpoints.values() {
            let sum = match &entry.target {
                EndpointTarget::Service { service } => services.entry(service.clone()).or_default(),
                EndpointTarget::Layers { model, range } => ranges
                    .entry(model.clone())
                    .or_default()
                    .entry(*range)
                    .or_default(),
            };
            *sum = sum.saturating_add(entry.capacity);
        }
        let share = |capacity: u32| {
            let admitted = capacity.saturating_mul(ADMITTED_PERCENT).div_ceil(100);
            admitted.div_ceil(instances.max(1)).max(MIN_SLOTS)
        };
        let mut slots = HashMap::new();
        for (service, capacity) in services {
            slots.insert(AdmissionTarget::Service(service), share(capacity));
        }
        for (model, capacities) in ranges {
            let layers = sheet.models.get(&model).map_or(0, |entry| entry.layers);
            let capacity = min_layer_capacity(&capacities, layers);
            slots.insert(AdmissionTarget::Model(model), share(capacity));
        }
        let weights = sheet
            .organisations
            .iter()
            .map(|(id, entry)| (id.clone(), entry.weight))
            .collect();
        Self { slots, weights }
    }

    /// Returns the number of requests that may run at a target at the same time.
    pub fn slots(&self, target: &AdmissionTarget) -> u32 {
        self.slots.get(target).copied().unwrap_or(MIN_SLOTS)
    }

    /// Returns the weight of an organisation.
    pub fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.weights.get(organisation).copied().unwrap_or(1)
    }
}

/// Returns how many sessions the layer with the least capacity can run.
fn min_layer_capacity(capacities: &BTreeMap<LayerRange, u32>, layers: u32) -> u32 {
    (0..layers)
        .map(|layer| {
            let single_layer = LayerRange::new(layer, layer + 1);
            capacities
                .iter()
                .filter(|(range, _)| range.contains(single_layer))
                .fold(0_u32, |sum, (_, capacity)| sum.saturating_add(*capacity))
        })
        .min()
        .unwrap_or(0)
}
