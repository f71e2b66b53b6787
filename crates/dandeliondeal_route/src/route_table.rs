//! The configuration in force, arranged for lookups.

use std::collections::HashMap;
use std::sync::Arc;

use dandeliondeal_types::{OrganisationId, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::route_config::{CallerLimits, RouteConfig, RouteRule, ServiceRule};

/// Routes, keys and services of one version of the configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    /// By host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
    services: HashMap<ServiceId, Arc<ServiceRule>>,
    keys: HashMap<Arc<str>, (OrganisationId, Option<u8>)>,
    needs_keys: bool,
    limits: CallerLimits,
}

/// What the configuration says of one request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The route.
    pub route: Arc<RouteRule>,
    /// The organisation that holds the key, if the route needs one.
    pub organisation: Option<OrganisationId>,
    /// Urgency of the request.
    pub urgency: u8,
}

/// Why a request has no match.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MatchError {
    /// No route has the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

impl RouteTable {
    /// Arranges a configuration.
    pub fn new(config: RouteConfig) -> Self {
        let mut routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>> = HashMap::new();
        for rule in config.routes {
            let host = host_key(&rule.host);
            routes.entry(host).or_default().push(Arc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let services = config
            .services
            .into_iter()
            .map(|rule| (ServiceId::clone(&rule.id), Arc::new(rule)))
            .collect();
        let needs_keys = !config.organisations.is_empty();
        let mut keys = HashMap::new();
        for organisation in config.organisations {
            for key in organisation.keys {
                let owner = (
                    OrganisationId::clone(&organisation.id),
                    organisation.urgency,
                );
                keys.insert(key, owner);
            }
        }
        Self {
            version: config.version,
            routes,
            services,
            keys,
            needs_keys,
            limits: config.limits,
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The rule of a service.
    pub fn service(&self, id: &str) -> Option<&Arc<ServiceRule>> {
        self.services.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }

    /// Finds the route and the organisation of a request.
    ///
    /// # Errors
    ///
    /// [`MatchError`] if there is no route, or the route needs a key and `key` is not known.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch, MatchError> {
        let rules = self.routes.get(&*host_key(host));
        let route = rules
            .into_iter()
            .flatten()
            .find(|rule| path.starts_with(&*rule.path_prefix))
            .ok_or(MatchError::NoRoute)?;
        let owner = key.and_then(|key| self.keys.get(key));
        if owner.is_none() && self.needs_keys && !route.is_public {
            return Err(MatchError::UnknownKey);
        }
        let urgency = owner.and_then(|(_, urgency)| *urgency);
        Ok(RouteMatch {
            route: Arc::clone(route),
            organisation: owner.map(|(organisation, _)| OrganisationId::clone(organisation)),
            urgency: urgency.unwrap_or(route.urgency),
        })
    }
}

impl RouteRule {
    /// The service that a request goes to; the same one for the same id.
    pub fn service_for(&self, request: &str) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = xxh3_64(request.as_bytes()).checked_rem(total)?;
        for share in &self.split {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// Host names compare without case and port.
fn host_key(host: &str) -> Arc<str> {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    });
    name.to_ascii_lowercase().into()
}
