//! Fingerprint by which copies of a request are recognised.

use dandeliondeal_types::{FeatureId, OrganisationId};
use xxhash_rust::xxh3::Xxh3;

/// Start of a fingerprint, which no id of a prompt part has.
const PREFIX: &str = "request:";

/// What two requests have in common if one is a copy of the other.
///
/// Ids, deadlines and other headers differ between copies and are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'request> {
    /// HTTP method.
    pub method: &'request str,
    /// Host, as received.
    pub host: &'request str,
    /// Path and query, as received.
    pub path: &'request str,
    /// Organisation of the caller; `None` for a public route.
    pub organisation: Option<&'request OrganisationId>,
    /// Complete body.
    pub body: &'request [u8],
}

impl RequestIdentity<'_> {
    /// Returns the fingerprint, which is the same on all instances.
    pub fn fingerprint(&self) -> FeatureId {
        let organisation = self.organisation.map_or("", |id| id);
        let host = self.host.to_ascii_lowercase();
        let mut hash = Xxh3::new();
        for field in [self.method, &host, self.path, organisation] {
            // Lengths keep fields apart.
            hash.update(&(field.len() as u64).to_le_bytes());
            hash.update(field.as_bytes());
        }
        hash.update(self.body);
        format!("{PREFIX}{:032x}", hash.digest128()).into()
    }
}

/// Returns whether a feature is the fingerprint of a whole request.
pub fn is_fingerprint(feature: &str) -> bool {
    feature.starts_with(PREFIX)
}
