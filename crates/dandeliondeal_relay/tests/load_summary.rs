//! Load summaries between instances of earlier and later versions.

use std::collections::BTreeMap;
use std::time::Duration;

use dandeliondeal_limit::DemandReport;
use dandeliondeal_relay::load_exchange::LoadSummary;

/// Summary as an instance without graded services writes it.
const EARLIER: &str = r#"{"engines":{"e1":{"running":2.0,"tokens":900.0}},"crossing":0.25,"suspects":["e2"],"offers":{},"has_lease":true}"#;

fn graded_summary() -> LoadSummary {
    let demand = DemandReport {
        ranks: BTreeMap::from([(0, 120.0), (5, 40.0)]),
        ..DemandReport::default()
    };
    LoadSummary {
        demand: BTreeMap::from([("drafting".into(), demand)]),
        open_calls: BTreeMap::from([("orders".into(), 3.0)]),
        ..LoadSummary::default()
    }
}

#[test]
fn earlier_report() {
    let summary: LoadSummary = serde_json::from_str(EARLIER).expect("a summary");
    assert!(summary.demand.is_empty());
    assert!(summary.open_calls.is_empty());
    assert!((summary.engines["e1"].tokens - 900.0).abs() < 0.1);
}

// Without graded services nothing new may be sent, so that an earlier instance reads the same bytes.
#[test]
fn unchanged_report() {
    let summary: LoadSummary = serde_json::from_str(EARLIER).expect("a summary");
    let text = serde_json::to_string(&summary).expect("JSON");
    assert_eq!(text, EARLIER);
}

#[test]
fn graded_report() {
    let summary = graded_summary();
    let text = serde_json::to_string(&summary).expect("JSON");
    let read: LoadSummary = serde_json::from_str(&text).expect("a summary");
    assert_eq!(read, summary);
}

#[test]
fn added_demand() {
    let mut total = graded_summary();
    total.add(&graded_summary(), Duration::from_millis(200));
    total.add(&LoadSummary::default(), Duration::ZERO);
    assert!((total.demand["drafting"].ranks[&5] - 80.0).abs() < 1e-9);
    assert!((total.open_calls["orders"] - 6.0).abs() < 1e-9);
}
