//! Serves one completion with an entry instance and two stand-in engines, then stops.

use std::error::Error;
use std::sync::Arc;

use dandeliondeal::config::{EXAMPLE_KEY, example_sheet};
use dandeliondeal::prelude::*;
use dandeliondeal_standin::{EngineSettings, EngineStandin};

/// Settings of an instance that runs alone: it makes no platform calls, and no load balancer has to
/// notice its stop. Port 0 selects any free port.
const SETTINGS: &str = "[instance]\nid = entry-1\nfailure_domain = didube\nregion = tbilisi\n\
    [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9000\n\
    [secrets]\npeer = unused-by-one-alone\noperator = unused-by-one-alone\n\
    [stop]\nbalancer_lag = 0ms\n";
const REQUEST_BODY: &str = r#"{"model":"drafting-desk","prompt":"a copper kettle","max_tokens":6}"#;

fn engine(range: LayerRange) -> Result<EngineStandin, Box<dyn Error>> {
    Ok(EngineStandin::start(EngineSettings {
        model: "drafter".into(),
        layers: 24,
        range,
        ..EngineSettings::default()
    })?)
}

/// Returns the example sheet with only these two engines, at the addresses that they listen on.
fn sheet(front: &EngineStandin, back: &EngineStandin) -> Result<SheetModel, Box<dyn Error>> {
    let rows = read_sheet(example_sheet().as_bytes()).map_err(|errors| format!("{errors:?}"))?;
    let mut sheet = compile_sheet(1, &rows).map_err(|errors| format!("{errors:?}"))?;
    let mut endpoints = std::mem::take(&mut sheet.endpoints);
    for (name, engine) in [("engine-1", front), ("engine-2", back)] {
        let (id, mut entry) = endpoints
            .remove_entry(name)
            .ok_or("the sheet has no such engine")?;
        entry.address = engine.address();
        sheet.endpoints.insert(id, entry);
    }
    Ok(sheet)
}

async fn run() -> Result<(), Box<dyn Error>> {
    // Each engine has half of the layers, so that every token passes through both.
    let front = engine(LayerRange::new(0, 12))?;
    let back = engine(LayerRange::new(12, 24))?;
    let settings = EntrySettings::parse("example.ini", SETTINGS);
    let settings = settings.map_err(|errors| format!("{errors:?}"))?;
    let entry = EntryServer::start(settings, SystemClock).await?;
    entry.install(Arc::new(sheet(&front, &back)?));

    let url = format!("http://{}/v1/completions", entry.caller_address());
    let request = awc::Client::default().post(url).bearer_auth(EXAMPLE_KEY);
    let answer = request.send_body(REQUEST_BODY).await;
    let mut answer = answer.map_err(|error| error.to_string())?;
    // The header reports the outcome of the request even if the status alone is ambiguous.
    let outcome = answer.headers().get("dandeliondeal-outcome");
    println!("status {}, outcome {outcome:?}", answer.status());
    println!("{}", String::from_utf8_lossy(&answer.body().await?));
    let steps = [front.ledger().len(), back.ledger().len()];
    println!("steps at the two engines: {steps:?}");

    // A graceful stop waits for open requests to finish; here there are none.
    entry.stop().await;
    println!("stopped");
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    actix_rt::System::new().block_on(run())
}
