//! Measures the overhead of the router: time to the first token compared to the engines' own time,
//! and processor time per token.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use awc::Client;
use dandeliondeal_config::{EntrySettings, InstanceSettings, ListenSettings};
use dandeliondeal_entry::EntryServer;
use dandeliondeal_entry::engine_http::EngineHttp;
use dandeliondeal_entry::http_pool::HttpPool;
use dandeliondeal_entry::route_table::RouteTable;
use dandeliondeal_entry::token_text::prompt_tokens;
use dandeliondeal_standin::EngineStandin;
use dandeliondeal_types::{EngineClient, LayerRange, StepCall, StepName, SystemClock};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::engine_setup::{API_KEY, MODEL_LAYERS, engine_settings, engine_sheet};
use crate::{MeasureError, MeasureSettings};

const MEASUREMENT: &str = "overhead";
/// Number of requests per series.
const SHORT_REQUESTS: u32 = 60;
/// Number of requests per series in the long form.
const LONG_REQUESTS: u32 = 1_000;
/// Number of tokens in each answer.
const ANSWER_TOKENS: u32 = 16;
const PROMPT: &str = "a copper kettle with a brass spout";
/// Time of one layer for a batch in microseconds.
const LAYER_MICROSECONDS: u64 = 500;

/// Figures of one measurement run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadFigures {
    /// Median time from request to first token through the router in microseconds.
    pub first_token_micros: u64,
    /// Median time of the same steps sent directly to the engines in microseconds.
    pub direct_micros: u64,
    /// [`first_token_micros`](Self::first_token_micros) divided by
    /// [`direct_micros`](Self::direct_micros).
    pub first_token_ratio: f64,
    /// Processor time per token of router, stand-ins and caller together in microseconds.
    pub processor_micros_per_token: f64,
    /// Resident memory of the process after the run in kilobytes.
    pub resident_kilobytes: u64,
}

/// Runs the measurement and prints its figures.
///
/// # Errors
///
/// Returns an error if the setup fails or an answer is wrong.
pub async fn run(settings: MeasureSettings) -> Result<(), MeasureError> {
    let figures = measure(settings).await?;
    println!(
        "first token through the router   {:>8} us (median)",
        figures.first_token_micros
    );
    println!(
        "same steps without the router    {:>8} us (median)",
        figures.direct_micros
    );
    println!(
        "ratio                            {:>8.2}",
        figures.first_token_ratio
    );
    println!(
        "processor time a token           {:>8.1} us (router, engines, caller)",
        figures.processor_micros_per_token
    );
    println!(
        "resident memory                  {:>8} kB",
        figures.resident_kilobytes
    );
    println!("{}", serde_json::to_string(&figures).unwrap_or_default());
    Ok(())
}

async fn measure(settings: MeasureSettings) -> Result<OverheadFigures, MeasureError> {
    let ranges = [
        LayerRange::new(0, MODEL_LAYERS / 2),
        LayerRange::new(MODEL_LAYERS / 2, MODEL_LAYERS),
    ];
    let mut engines = Vec::new();
    for range in ranges {
        let engine = EngineStandin::start(engine_settings(range, LAYER_MICROSECONDS))
            .map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))?;
        engines.push((engine, range));
    }
    let sheet = Arc::new(engine_sheet(&engines));
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let entry_settings = EntrySettings {
        instance: InstanceSettings::new("entry-1", "domain-a", "region-a"),
        listen: ListenSettings {
            callers: any_port,
            operators: any_port,
            peers: any_port,
        },
        ..EntrySettings::default()
    };
    let entry = EntryServer::start(entry_settings, SystemClock)
        .await
        .map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))?;
    entry.install(Arc::clone(&sheet));
    let requests = if settings.long {
        LONG_REQUESTS
    } else {
        SHORT_REQUESTS
    };
    let client = Client::builder().disable_timeout().finish();
    let mut routed = new_histogram()?;
    let mut direct = new_histogram()?;
    let cpu_time_before = processor_time();
    for _ in 0..requests {
        record(
            &mut routed,
            first_token_time(&client, entry.caller_address()).await?,
        )?;
    }
    let cpu_time = processor_time().saturating_sub(cpu_time_before);
    let pool = HttpPool::new(Duration::from_secs(1));
    let engine = EngineHttp::new(pool, Arc::new(RouteTable::new(sheet)));
    for number in 0..requests {
        record(&mut direct, direct_time(&engine, &ranges, number).await?)?;
    }
    let first_token_micros = routed.value_at_quantile(0.5);
    let direct_micros = direct.value_at_quantile(0.5);
    Ok(OverheadFigures {
        first_token_micros,
        direct_micros,
        first_token_ratio: first_token_micros as f64 / direct_micros.max(1) as f64,
        processor_micros_per_token: cpu_time.as_secs_f64() * 1e6
            / f64::from(requests * ANSWER_TOKENS),
        resident_kilobytes: resident_kilobytes(),
    })
}

/// Returns the time to the first token of one request through the router.
async fn first_token_time(client: &Client, callers: SocketAddr) -> Result<Duration, MeasureError> {
    let body = format!(
        r#"{{"model":"desk","prompt":"{PROMPT}","max_tokens":{ANSWER_TOKENS},"stream":true}}"#
    );
    let start = Instant::now();
    let mut answer = client
        .post(format!("http://{callers}/v1/completions"))
        .insert_header(("authorization", format!("Bearer {API_KEY}")))
        .send_body(body)
        .await
        .map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))?;
    let mut first_token = None;
    let mut received = Vec::new();
    while let Some(chunk) = answer.next().await {
        let chunk = chunk.map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))?;
        first_token.get_or_insert_with(|| start.elapsed());
        received.extend_from_slice(&chunk);
    }
    if !received.ends_with(b"data: [DONE]\n\n") {
        return Err(MeasureError::new(MEASUREMENT, "an answer was incomplete"));
    }
    first_token.ok_or_else(|| MeasureError::new(MEASUREMENT, "an answer was empty"))
}

/// Returns the time of a first token's steps, sent directly to one engine after another.
async fn direct_time(
    engine: &EngineHttp,
    ranges: &[LayerRange],
    number: u32,
) -> Result<Duration, MeasureError> {
    let start = Instant::now();
    let mut inputs: Arc<[u64]> = prompt_tokens(PROMPT)
        .iter()
        .map(|token| u64::from(*token))
        .collect();
    for (index, range) in ranges.iter().enumerate() {
        let name = StepName {
            request: format!("direct-{number}").into(),
            lineage: 1,
            position: 0,
            range: *range,
        };
        let call = StepCall {
            name,
            model: "model-a".into(),
            inputs,
            life_milliseconds: 1_000,
            priority: 0,
        };
        let endpoint = format!("engine-{}", index + 1).into();
        let answer = engine
            .step(&endpoint, call, Duration::from_secs(5), false)
            .await
            .map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))?;
        inputs = answer.outputs;
    }
    Ok(start.elapsed())
}

fn new_histogram() -> Result<Histogram<u64>, MeasureError> {
    Histogram::new(3).map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))
}

/// Adds a time to a histogram in microseconds.
fn record(histogram: &mut Histogram<u64>, time: Duration) -> Result<(), MeasureError> {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(micros)
        .map_err(|error| MeasureError::new(MEASUREMENT, error.to_string()))
}

/// Returns the user and system processor time that this process has used.
pub fn processor_time() -> Duration {
    /// Clock ticks per second in `/proc`.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name is in parentheses and may contain spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND)
}

/// Returns the resident memory of this process in kilobytes.
pub fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}
