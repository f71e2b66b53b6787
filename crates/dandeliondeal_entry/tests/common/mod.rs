//! One entry instance before stand-in engines and a service, all on loopback sockets.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use awc::http::Method;
use dandeliondeal_config::{EntrySettings, InstanceSettings, ListenSettings, StopSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_entry::route_table::key_hash;
use dandeliondeal_entry::token_text::token_text;
use dandeliondeal_standin::site_sheet::{SiteSettings, site_endpoint, site_sheet};
use dandeliondeal_standin::{EngineSettings, EngineStandin, ServiceSettings, ServiceStandin};
use dandeliondeal_types::sheet_model::{EndpointTarget, ServiceEntry};
use dandeliondeal_types::{LayerRange, SheetModel, SystemClock};

/// Key of the organisation `org-a`.
pub const KEY: &str = "key-a";
/// Key of the organisation `org-b`.
pub const OTHER_KEY: &str = "key-b";
/// Layers of the model.
pub const LAYERS: u32 = 8;

/// What stands behind the entry instance.
pub struct TestSite {
    pub entry: EntryServer<SystemClock>,
    pub engines: Vec<EngineStandin>,
    pub service: ServiceStandin,
    pub client: Client,
}

/// An answer, read whole.
pub struct TestAnswer {
    pub status: u16,
    pub outcome: String,
    pub request: String,
    pub retry_after: Option<String>,
    pub body: String,
}

/// Settings of an instance on free ports that stops without waiting for a balancer.
pub fn settings() -> EntrySettings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    EntrySettings {
        instance: InstanceSettings::new("entry-1", "domain-a", "region-a"),
        listen: ListenSettings {
            callers: any,
            operators: any,
            peers: any,
        },
        stop: StopSettings {
            balancer_lag: Duration::ZERO,
            ..StopSettings::default()
        },
        ..EntrySettings::default()
    }
}

/// An engine for `range` of the test model.
pub fn engine(range: LayerRange) -> EngineSettings {
    EngineSettings {
        model: "model-a".into(),
        layers: LAYERS,
        range,
        ..EngineSettings::default()
    }
}

impl TestSite {
    /// Starts a site with an engine for each settings and one service `orders`.
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
        entry.install(Arc::new(sheet(&engines, &ranges, service.address())));
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

    /// Calls the entry instance with these headers.
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

/// The body of a completion of `count` tokens.
pub fn completion(prompt: &str, count: u32, stream: bool) -> String {
    format!(r#"{{"model":"desk","prompt":"{prompt}","max_tokens":{count},"stream":{stream}}}"#)
}

/// The text of these tokens.
pub fn text_of(tokens: &[u64]) -> String {
    tokens
        .iter()
        .map(|token| token_text(u32::try_from(*token).unwrap()))
        .collect()
}

/// The text of the chunks of a stream of completions.
pub fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
        .collect()
}

/// The sheet of the site: route `desk`, service `orders`, two organisations.
pub fn sheet(engines: &[EngineStandin], ranges: &[LayerRange], service: SocketAddr) -> SheetModel {
    let organisations = [("org-a", KEY), ("org-b", OTHER_KEY)];
    let settings = SiteSettings {
        layers: LAYERS,
        context_tokens: 4_096,
        capacity: 64,
        organisations: organisations
            .map(|(name, key)| (name.into(), key_hash(key)))
            .to_vec(),
    };
    let addresses = engines.iter().map(EngineStandin::address);
    let engines: Vec<(SocketAddr, LayerRange)> = addresses.zip(ranges.iter().copied()).collect();
    let mut sheet = site_sheet(&settings, &engines);
    let orders = ServiceEntry {
        repeatable: false,
        settles: true,
        timeout: Duration::from_secs(5),
    };
    sheet.services.insert("orders".into(), orders);
    let target = EndpointTarget::Service {
        service: "orders".into(),
    };
    let replica = site_endpoint(&settings, service, target);
    sheet.endpoints.insert("orders-1".into(), replica);
    sheet
}
