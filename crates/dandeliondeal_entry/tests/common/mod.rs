//! One entry instance with stand-ins of engines and a service, all on loopback sockets.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use dandeliondeal_config::{EntrySettings, InstanceSettings, ListenSettings, StopSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_entry::route_table::key_hash;
use dandeliondeal_entry::token_text::token_text;
use dandeliondeal_standin::engine_sheet::{EngineSheetSettings, engine_sheet, sheet_endpoint};
use dandeliondeal_standin::{EngineSettings, EngineStandin, ServiceSettings, ServiceStandin};
use dandeliondeal_types::sheet_model::{EndpointTarget, ServiceEntry};
use dandeliondeal_types::{LayerRange, SheetModel, SystemClock};

/// Key of the organisation `org-a`.
pub const KEY: &str = "key-a";
/// Key of the organisation `org-b`.
pub const OTHER_KEY: &str = "key-b";
/// Number of layers of the test model.
pub const LAYERS: u32 = 8;

/// An entry instance, the stand-ins that it calls, and a client of it.
pub struct TestSite {
    pub entry: EntryServer<SystemClock>,
    pub engines: Vec<EngineStandin>,
    pub service: ServiceStandin,
    pub client: Client,
}

/// Answer to one request, with the headers that the tests check.
pub struct TestAnswer {
    pub status: u16,
    pub outcome: String,
    pub request: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// Returns settings with free ports and a stop that doesn't wait for a load balancer.
pub fn test_settings() -> EntrySettings {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    EntrySettings {
        instance: InstanceSettings::new("entry-1", "domain-a", "region-a"),
        listen: ListenSettings {
            callers: any_port,
            operators: any_port,
            peers: any_port,
        },
        stop: StopSettings {
            balancer_lag: Duration::ZERO,
            ..StopSettings::default()
        },
        ..EntrySettings::default()
    }
}

/// Returns settings of an engine for `range` of the test model.
pub fn engine_settings(range: LayerRange) -> EngineSettings {
    EngineSettings {
        model: "model-a".into(),
        layers: LAYERS,
        range,
        ..EngineSettings::default()
    }
}

impl TestSite {
    /// Starts an entry instance, an engine for each of `engines`, and one service `orders`.
    pub async fn start(settings: EntrySettings, engines: Vec<EngineSettings>) -> Self {
        let ranges: Vec<LayerRange> = engines.iter().map(|engine| engine.range).collect();
        let engines: Vec<EngineStandin> = engines
            .into_iter()
            .map(|engine| EngineStandin::start(engine).unwrap())
            .collect();
        let service = ServiceStandin::start(ServiceSettings {
            name: "orders".into(),
            ..ServiceSettings::default()
        })
        .unwrap();
        let entry = EntryServer::start(settings, SystemClock).await.unwrap();
        entry.install(Arc::new(test_sheet(&engines, &ranges, service.address())));
        let client = Client::builder().disable_timeout().finish();
        Self {
            entry,
            engines,
            service,
            client,
        }
    }

    /// Calls the entry instance with the key of `org-a`.
    pub async fn call(&self, method: Method, path: &str, body: &str) -> TestAnswer {
        self.call_with(method, path, body, &[("authorization", "Bearer key-a")])
            .await
    }

    /// Calls the entry instance with `headers`.
    pub async fn call_with(
        &self,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&'static str, &str)],
    ) -> TestAnswer {
        let url = format!("http://{}{path}", self.entry.caller_address());
        let mut request = self.client.request(method, url);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut answer = request.send_body(body.to_owned()).await.unwrap();
        let header = |name: &str| {
            answer
                .headers()
                .get(name)
                .map(|value| value.to_str().unwrap().to_owned())
        };
        TestAnswer {
            status: answer.status().as_u16(),
            outcome: header("dandeliondeal-outcome").unwrap_or_default(),
            request: header("dandeliondeal-request-id").unwrap_or_default(),
            retry_after: header("retry-after"),
            body: String::from_utf8(answer.body().await.unwrap().to_vec()).unwrap(),
        }
    }
}

/// Returns the body of a completion request for `count` tokens.
pub fn completion(prompt: &str, count: u32, stream: bool) -> String {
    format!(r#"{{"model":"desk","prompt":"{prompt}","max_tokens":{count},"stream":{stream}}}"#)
}

/// Returns the text of `tokens`.
pub fn tokens_text(tokens: &[u64]) -> String {
    tokens
        .iter()
        .map(|token| token_text(u32::try_from(*token).unwrap()))
        .collect()
}

/// Returns the text of all chunks of a streamed completion.
pub fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// Returns a sheet with the route `desk`, the service `orders` and two organisations.
pub fn test_sheet(
    engines: &[EngineStandin],
    ranges: &[LayerRange],
    service: SocketAddr,
) -> SheetModel {
    let organisations = [("org-a", KEY), ("org-b", OTHER_KEY)];
    let settings = EngineSheetSettings {
        layers: LAYERS,
        context_tokens: 4_096,
        capacity: 64,
        organisations: organisations
            .map(|(name, key)| (name.into(), key_hash(key)))
            .to_vec(),
    };
    let addresses = engines.iter().map(EngineStandin::address);
    let engines: Vec<(SocketAddr, LayerRange)> = addresses.zip(ranges.iter().copied()).collect();
    let mut sheet = engine_sheet(&settings, &engines);
    let orders = ServiceEntry {
        repeatable: false,
        settles: true,
        timeout: Duration::from_secs(5),
    };
    sheet.services.insert("orders".into(), orders);
    let target = EndpointTarget::Service {
        service: "orders".into(),
    };
    let replica = sheet_endpoint(&settings, service, target);
    sheet.endpoints.insert("orders-1".into(), replica);
    sheet
}
