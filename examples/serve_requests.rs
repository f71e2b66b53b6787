//! Serves one completion by an entry instance before two stand-in engines, then stops.

use std::error::Error;
use std::sync::Arc;

use dandeliondeal::config::{EXAMPLE_KEY, example_sheet};
use dandeliondeal::prelude::*;
use dandeliondeal_standin::{EngineSettings, EngineStandin};

/// Port 0 is any free port. The instance is alone: it calls no platform, and no balancer has to
/// notice its stop.
const SETTINGS: &str = "[instance]\nid = entry-1\nfailure_domain = didube\nregion = tbilisi\n\
    [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
    [platform]\naddress = 127.0.0.1:9000\n\
    [secrets]\npeer = unused-by-one-alone\noperator = unused-by-one-alone\n\
    [stop]\nbalancer_lag = 0ms\n";
const ASK: &str = r#"{"model":"drafting-desk","prompt":"a copper kettle","max_tokens":6}"#;

fn engine(range: LayerRange) -> Result<EngineStandin, Box<dyn Error>> {
    Ok(EngineStandin::start(EngineSettings {
        model: "drafter".into(),
        layers: 24,
        range,
        ..EngineSettings::default()
    })?)
}

/// The example sheet with these two engines alone, at the addresses they listen on.
fn sheet(front: &EngineStandin, back: &EngineStandin) -> Result<SheetModel, Box<dyn Error>> {
    let rows = read_sheet(example_sheet().as_bytes()).map_err(|errors| format!("{errors:?}"))?;
    let mut sheet = compile_sheet(1, &rows).map_err(|errors| format!("{errors:?}"))?;
    let mut endpoints = std::mem::take(&mut sheet.endpoints);
    for (name, engine) in [("engine-1", front), ("engine-2", back)] {
        let (id, mut entry) = endpoints.remove_entry(name).ok_or("no such engine")?;
        entry.address = engine.address();
        sheet.endpoints.insert(id, entry);
    }
    Ok(sheet)
}

async fn run() -> Result<(), Box<dyn Error>> {
    // Neither engine holds the whole model: every token passes through both.
    let front = engine(LayerRange::new(0, 12))?;
    let back = engine(LayerRange::new(12, 24))?;
    let settings = EntrySettings::parse("example.ini", SETTINGS);
    let settings = settings.map_err(|errors| format!("{errors:?}"))?;
    let entry = EntryServer::start(settings, SystemClock).await?;
    entry.install(Arc::new(sheet(&front, &back)?));

    let url = format!("http://{}/v1/completions", entry.caller_address());
    let request = awc::Client::default().post(url).bearer_auth(EXAMPLE_KEY);
    let answer = request.send_body(ASK).await;
    let mut answer = answer.map_err(|error| error.to_string())?;
    // The header tells the true outcome also where the status alone would leave it open.
    let outcome = answer.headers().get("dandeliondeal-outcome");
    println!("status {}, outcome {outcome:?}", answer.status());
    println!("{}", String::from_utf8_lossy(&answer.body().await?));
    let steps = [front.ledger().len(), back.ledger().len()];
    println!("steps at the two engines: {steps:?}");

    // A graceful stop lets open requests finish; here none is left.
    entry.stop().await;
    println!("stopped");
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    actix_rt::System::new().block_on(run())
}
