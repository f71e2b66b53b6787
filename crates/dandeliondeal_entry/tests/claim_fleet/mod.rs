//! Stand-ins of a platform, services and an engine, and three entry instances, on loopback sockets.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_config::{
    EntrySettings, InstanceSettings, ListenSettings, PlatformSettings, RequestSettings,
};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_entry::route_table::key_hash;
use dandeliondeal_standin::{
    EngineSettings, EngineStandin, PlatformStandin, ServiceEntry, ServiceSettings, ServiceStandin,
};
use dandeliondeal_types::sheet_model::{
    EndpointEntry, EndpointTarget, ModelEntry, OrganisationEntry, PipelineEntry, RouteEntry,
    ServiceEntry as SheetService,
};
use dandeliondeal_types::{EndpointId, LayerRange, SheetModel, SystemClock};

const API_KEY: &str = "test-key";
const INSTANCES: usize = 3;

pub struct FleetSettings {
    /// Number of endpoints of the service `order-desk`.
    pub services: usize,
    /// Whether the service answers settlement requests.
    pub settles: bool,
    /// Time limit for one call to the service.
    pub service_timeout: Duration,
    /// Default time limit for a request.
    pub deadline: Duration,
    /// Whether instances join a fleet and forward claims to the preferred instance of a shard.
    pub forwards_claims: bool,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            services: 1,
            settles: true,
            service_timeout: Duration::from_secs(2),
            deadline: Duration::from_secs(3),
            forwards_claims: false,
        }
    }
}

/// Entry instances that share a claim log, and the stand-ins that they call.
pub struct ClaimFleet {
    pub platform: PlatformStandin,
    pub services: Vec<ServiceStandin>,
    pub engine: EngineStandin,
    pub entries: Vec<EntryServer<SystemClock>>,
}

/// Reply to one request, with the headers that the tests check.
#[derive(Debug)]
pub struct CallReply {
    pub status: u16,
    pub outcome: String,
    pub request: String,
    pub body: String,
}

impl ClaimFleet {
    pub async fn start(settings: FleetSettings) -> Self {
        let platform = PlatformStandin::start(dandeliondeal_standin::PlatformSettings {
            writes_per_second: 0,
            reads_per_second: 0,
            ..Default::default()
        })
        .expect("platform");
        let services: Vec<ServiceStandin> = (0..settings.services)
            .map(|_index| {
                ServiceStandin::start(ServiceSettings {
                    settles: settings.settles,
                    capacity: 1000,
                    ..ServiceSettings::default()
                })
                .expect("service")
            })
            .collect();
        let engine = EngineStandin::start(EngineSettings::default()).expect("engine");
        let sheet = Arc::new(fleet_sheet(&settings, &services, engine.address()));
        let mut entries = Vec::new();
        for index in 0..INSTANCES {
            let entry = EntryServer::start(
                entry_settings(index, platform.address(), settings.deadline),
                SystemClock,
            )
            .await
            .expect("entry");
            entry.install(Arc::clone(&sheet));
            entries.push(entry);
        }
        if settings.forwards_claims {
            join_fleet(&platform, &mut entries).await;
        }
        Self {
            platform,
            services,
            engine,
            entries,
        }
    }

    /// Calls the service `order-desk` through one entry instance.
    pub async fn call(&self, entry: usize, key: Option<&str>, path: &str) -> CallReply {
        self.call_with(entry, key, path, "body").await
    }

    pub async fn call_with(
        &self,
        entry: usize,
        key: Option<&str>,
        path: &str,
        body: &str,
    ) -> CallReply {
        let path = format!("services/order-desk/{path}");
        self.post(entry, key, &path, body).await
    }

    /// Requests a completion of four tokens from one entry instance.
    pub async fn complete(&self, entry: usize, key: &str, stream: bool) -> CallReply {
        let body = format!(
            "{{\"model\":\"drafting-desk\",\"prompt\":\"a kettle\",\"max_tokens\":4,\"stream\":{stream}}}"
        );
        self.post(entry, Some(key), "completions", &body).await
    }

    async fn post(&self, entry: usize, key: Option<&str>, path: &str, body: &str) -> CallReply {
        let address = self.entries[entry].caller_address();
        let mut request = awc::Client::builder()
            .disable_timeout()
            .finish()
            .post(format!("http://{address}/v1/{path}"))
            .insert_header(("authorization", format!("Bearer {API_KEY}")));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        let sent = request.send_body(body.to_owned()).await;
        read_reply(sent.expect("answer")).await
    }

    /// Reads the state of a request from one entry instance.
    pub async fn request_state(&self, entry: usize, request: &str) -> CallReply {
        let address = self.entries[entry].caller_address();
        let sent = awc::Client::default()
            .get(format!("http://{address}/v1/requests/{request}"))
            .insert_header(("authorization", format!("Bearer {API_KEY}")))
            .send()
            .await;
        read_reply(sent.expect("answer")).await
    }

    /// Returns the calls that ran, at all endpoints of the service.
    pub fn ledger(&self) -> Vec<ServiceEntry> {
        self.services
            .iter()
            .flat_map(ServiceStandin::ledger)
            .collect()
    }
}

async fn read_reply<Payload>(mut answer: awc::ClientResponse<Payload>) -> CallReply
where
    Payload: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>>
        + Unpin
        + 'static,
{
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    let (outcome, request) = (
        header("dandeliondeal-outcome"),
        header("dandeliondeal-request-id"),
    );
    let status = answer.status().as_u16();
    let body = answer.body().await.expect("body");
    CallReply {
        status,
        outcome,
        request,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

fn entry_settings(index: usize, platform: SocketAddr, deadline: Duration) -> EntrySettings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    EntrySettings {
        instance: InstanceSettings::new(
            format!("entry-{index}"),
            "didube".into(),
            "tbilisi".into(),
        ),
        listen: ListenSettings {
            callers: any_port,
            operators: any_port,
            peers: any_port,
        },
        platform: PlatformSettings {
            address: platform,
            timeout: Duration::from_millis(300),
            ..PlatformSettings::default()
        },
        requests: RequestSettings {
            deadline,
            ..RequestSettings::default()
        },
        ..EntrySettings::default()
    }
}

fn fleet_sheet(
    settings: &FleetSettings,
    services: &[ServiceStandin],
    engine: SocketAddr,
) -> SheetModel {
    let service = SheetService {
        repeatable: false,
        settles: settings.settles,
        timeout: settings.service_timeout,
    };
    let organisation = OrganisationEntry {
        key_hashes: vec![key_hash(API_KEY)],
        weight: 1,
    };
    let service_target = EndpointTarget::Service {
        service: "order-desk".into(),
    };
    let mut endpoints: BTreeMap<EndpointId, EndpointEntry> = services
        .iter()
        .enumerate()
        .map(|(index, service)| {
            let entry = endpoint_entry(service.address(), service_target.clone());
            (format!("order-desk-{index}").into(), entry)
        })
        .collect();
    let engine_target = EndpointTarget::Layers {
        model: "model-a".into(),
        range: LayerRange::new(0, 8),
    };
    endpoints.insert("engine".into(), endpoint_entry(engine, engine_target));
    let route = RouteEntry {
        pipeline: "drafting".into(),
        repeatable: false,
        priority: 0,
    };
    let pipeline = PipelineEntry {
        model: "model-a".into(),
        failure_domains: Vec::new(),
    };
    let model = ModelEntry {
        layers: 8,
        context_tokens: 1000,
        version: "1".into(),
    };
    SheetModel {
        revision: 1,
        endpoints,
        routes: BTreeMap::from([("drafting-desk".into(), route)]),
        pipelines: BTreeMap::from([("drafting".into(), pipeline)]),
        models: BTreeMap::from([("model-a".into(), model)]),
        services: BTreeMap::from([("order-desk".into(), service)]),
        organisations: BTreeMap::from([("guild".into(), organisation)]),
        ..SheetModel::default()
    }
}

fn endpoint_entry(address: SocketAddr, target: EndpointTarget) -> EndpointEntry {
    EndpointEntry {
        address,
        target,
        accelerator: "".into(),
        failure_domain: "didube".into(),
        region: "tbilisi".into(),
        checks_fencing: false,
        capacity: 64,
    }
}

/// Joins the instances to one fleet, and waits until each sees all of them as live.
async fn join_fleet(platform: &PlatformStandin, entries: &mut [EntryServer<SystemClock>]) {
    for entry in &mut *entries {
        entry.join_fleet().expect("peers' address");
        platform.put_instance(entry.link().expect("link").record());
    }
    let sees_all = |entry: &EntryServer<SystemClock>| {
        entry.link().expect("link").directory().live_members().len() == INSTANCES
    };
    for _attempt in 0..200 {
        if entries.iter().all(sees_all) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the instances did not see each other as live in time");
}
