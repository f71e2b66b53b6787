//! The active configuration, indexed for lookups.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use dandeliondeal_types::{OrganisationId, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::route_config::{CallerLimits, RouteConfig, RouteRule, ServiceRule};
use crate::urgency_scale::{UrgencyPair, UrgencyScale};

/// Routes, API keys and services of one configuration version.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: u64,
    /// Routes by host, with the longest path prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<RouteRule>>>,
    services: HashMap<ServiceId, Arc<ServiceRule>>,
    /// Organisation and its urgency by API key.
    key_owners: HashMap<Arc<str>, (OrganisationId, Option<u8>)>,
    /// Whether routes that are not public need an API key.
    requires_keys: bool,
    limits: CallerLimits,
}

/// Result of a successful lookup for one request.
#[derive(Clone, Debug)]
pub struct RouteMatch {
    /// The matching route.
    pub route: Arc<RouteRule>,
    /// The organisation that the API key belongs to; `None` without a known key.
    pub organisation: Option<OrganisationId>,
    /// Urgency of the organisation, or of the route if the organisation states none.
    pub urgency: u8,
}

/// Reason why a request has no match.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MatchError {
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
}

impl RouteTable {
    /// Builds the lookup tables of a configuration.
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
        let requires_keys = !config.organisations.is_empty();
        let mut key_owners = HashMap::new();
        for organisation in config.organisations {
            for key in organisation.keys {
                let owner = (
                    OrganisationId::clone(&organisation.id),
                    organisation.urgency,
                );
                key_owners.insert(key, owner);
            }
        }
        Self {
            version: config.version,
            routes,
            services,
            key_owners,
            requires_keys,
            limits: config.limits,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.values().flatten()
    }

    /// Returns the configuration of a service.
    pub fn service(&self, id: &str) -> Option<&Arc<ServiceRule>> {
        self.services.get(id)
    }

    /// Returns the configuration of all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }

    /// Returns the routes that send requests to a service.
    pub fn routes_of<'table>(
        &'table self,
        service: &'table str,
    ) -> impl Iterator<Item = &'table RouteRule> {
        let routes = self.routes().map(|route| &**route);
        routes.filter(move |route| {
            let mut shares = route.service_shares.iter();
            shares.any(|share| *share.service == *service && share.weight > 0)
        })
    }

    /// Returns the order of a service's requests by the urgencies of organisation and route.
    pub fn urgency_scale(&self, service: &str) -> UrgencyScale {
        let owners = self.key_owners.values();
        let stated: BTreeSet<Option<u8>> = owners.map(|(_, urgency)| *urgency).collect();
        let pairs = self.routes_of(service).flat_map(|route| {
            let has_no_owner = route.is_public || !self.requires_keys;
            let without_owner = has_no_owner.then_some(None);
            let urgencies = stated.iter().copied().chain(without_owner);
            urgencies.map(|urgency| UrgencyPair {
                urgency: urgency.unwrap_or(route.urgency),
                route_urgency: route.urgency,
            })
        });
        UrgencyScale::new(pairs)
    }

    /// Returns whether organisations with an API key differ in the urgency that they state.
    pub fn has_different_urgencies(&self) -> bool {
        let mut urgencies = self.key_owners.values().map(|(_, urgency)| urgency);
        let first = urgencies.next();
        urgencies.any(|urgency| Some(urgency) != first)
    }

    /// Finds the route and the organisation of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`MatchError`] if no route matches, or if the route needs an API key and `key` is
    /// missing or unknown.
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
        let owner = key.and_then(|key| self.key_owners.get(key));
        if owner.is_none() && self.requires_keys && !route.is_public {
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

impl RouteMatch {
    /// Returns the urgencies that order the requests of a graded service.
    pub fn urgency_pair(&self) -> UrgencyPair {
        UrgencyPair {
            urgency: self.urgency,
            route_urgency: self.route.urgency,
        }
    }
}

impl RouteRule {
    /// Returns the service that handles a request, chosen by weight.
    ///
    /// The same request id always gives the same service. Returns `None` if the weights add up to 0.
    pub fn service_for(&self, request: &str) -> Option<&ServiceId> {
        let total_weight: u64 = self
            .service_shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut offset = xxh3_64(request.as_bytes()).checked_rem(total_weight)?;
        for share in &self.service_shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return Some(&share.service);
            }
            offset -= weight;
        }
        None
    }
}

/// Returns the host name in lower case and without a port, as the key for lookups.
fn host_key(host: &str) -> Arc<str> {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    });
    name.to_ascii_lowercase().into()
}
