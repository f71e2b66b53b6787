//! Places at each target, and weights of organisations, from the sheet.

use std::collections::{BTreeMap, HashMap};

use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{LayerRange, ModelId, OrganisationId, ServiceId, SheetModel};

/// Share of the capacity behind a target that the instances admit together, in hundredths.
///
/// Above a hundred, so that a place at an endpoint is not idle while the next request is on its
/// way.
const ADMITTED_PERCENT: u32 = 125;
/// Places at a target that the sheet gives no capacity.
const LEAST_PLACES: u32 = 1;

/// What requests queue for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum AdmissionTarget {
    /// The engines of a model.
    Model(ModelId),
    /// The replicas of a plain service.
    Service(ServiceId),
}

/// Places and weights of one sheet.
#[derive(Clone, Debug, Default)]
pub struct AdmissionSites {
    places: HashMap<AdmissionTarget, u32>,
    weights: HashMap<OrganisationId, u32>,
}

impl AdmissionSites {
    /// Shares the capacity in a sheet among so many entry instances.
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
            admitted.div_ceil(instances.max(1)).max(LEAST_PLACES)
        };
        let mut places = HashMap::new();
        for (service, capacity) in services {
            places.insert(AdmissionTarget::Service(service), share(capacity));
        }
        for (model, capacities) in ranges {
            let layers = sheet.models.get(&model).map_or(0, |entry| entry.layers);
            let capacity = least_capacity(&capacities, layers);
            places.insert(AdmissionTarget::Model(model), share(capacity));
        }
        let weights = sheet
            .organisations
            .iter()
            .map(|(id, entry)| (id.clone(), entry.weight))
            .collect();
        Self { places, weights }
    }

    /// Requests that run at once at a target.
    pub fn places(&self, target: &AdmissionTarget) -> u32 {
        self.places.get(target).copied().unwrap_or(LEAST_PLACES)
    }

    /// Weight of an organisation.
    pub fn weight(&self, organisation: &OrganisationId) -> u32 {
        self.weights.get(organisation).copied().unwrap_or(1)
    }
}

/// Sessions that the scarcest layer of a model can take.
fn least_capacity(capacities: &BTreeMap<LayerRange, u32>, layers: u32) -> u32 {
    (0..layers)
        .map(|layer| {
            let single = LayerRange::new(layer, layer + 1);
            capacities
                .iter()
                .filter(|(range, _)| range.contains(single))
                .fold(0_u32, |sum, (_, capacity)| sum.saturating_add(*capacity))
        })
        .min()
        .unwrap_or(0)
}
