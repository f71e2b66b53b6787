//! The sheet in force, with the indexes that requests need.

use std::collections::HashMap;
use std::sync::Arc;

use dandeliondeal_pipeline::{PlanIndex, PlanSettings};
use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{
    EndpointId, ErrorKind, OrganisationId, RequestStep, RouteError, ServiceId, SheetModel,
};
use sha2::{Digest, Sha256};

/// Immutable indexes of one sheet revision; the next revision replaces the whole table.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Sheet that the table was built from.
    pub sheet: Arc<SheetModel>,
    /// Index of the engines for planning.
    pub plans: PlanIndex,
    keys: HashMap<Arc<str>, OrganisationId>,
    replicas: HashMap<ServiceId, Vec<EndpointId>>,
}

impl RouteTable {
    /// Builds the indexes for a sheet.
    pub fn new(sheet: Arc<SheetModel>) -> Self {
        let mut keys = HashMap::new();
        for (organisation, entry) in &sheet.organisations {
            for hash in &entry.key_hashes {
                keys.insert(Arc::clone(hash), Arc::clone(organisation));
            }
        }
        let mut replicas: HashMap<ServiceId, Vec<EndpointId>> = HashMap::new();
        for (endpoint, entry) in &sheet.endpoints {
            if let EndpointTarget::Service { service } = &entry.target {
                replicas
                    .entry(Arc::clone(service))
                    .or_default()
                    .push(Arc::clone(endpoint));
            }
        }
        let mut plans = PlanIndex::new(PlanSettings::default());
        plans.update(&sheet);
        Self {
            sheet,
            plans,
            keys,
            replicas,
        }
    }

    /// Returns the organisation that a caller's key belongs to.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unauthorised`] if the key is unknown.
    pub fn organisation(&self, key: &str) -> Result<&OrganisationId, RouteError> {
        self.keys.get(&*key_hash(key)).ok_or_else(|| {
            RouteError::new(
                ErrorKind::Unauthorised,
                RequestStep::Input,
                "the key is not known",
            )
            .at("caller")
            .field("Authorization")
        })
    }

    /// Returns the replicas of a service.
    pub fn replicas(&self, service: &str) -> &[EndpointId] {
        self.replicas.get(service).map_or(&[], Vec::as_slice)
    }
}

/// Returns the hash of a key as stored in the sheet: SHA-256 in lower-case hexadecimal.
pub fn key_hash(key: &str) -> Arc<str> {
    use std::fmt::Write as _;

    let digest = Sha256::digest(key.as_bytes());
    let mut text = String::with_capacity(2 * digest.len());
    for byte in digest {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
