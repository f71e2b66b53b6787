//! Slow engines that one instance finds are known to all.
//!
//! Guards against chains through engines that are many times slower than usual: they fail nothing, so
//! each instance learned of them only by chance, and most chains of eleven engines contained one.

use std::time::{Duration, Instant};

use dandeliondeal_relay::engine_survey::{EngineSurvey, SlowEngines, add_slow_engines};
use dandeliondeal_relay::load_exchange::{HubState, LoadSummary};
use dandeliondeal_types::EndpointId;

fn engine(name: &str) -> EndpointId {
    EndpointId::from(name)
}

fn slow_summary(name: &str, slowness: f64) -> LoadSummary {
    LoadSummary {
        slow_engines: SlowEngines::from([(engine(name), slowness)]),
        ..LoadSummary::default()
    }
}

#[test]
fn slow_found() {
    let survey = EngineSurvey::default();
    let now = Instant::now();
    survey.record(&engine("slow"), 12.0, now);
    survey.record(&engine("usual"), 1.05, now);
    let expected = SlowEngines::from([(engine("slow"), 12.0)]);
    assert_eq!(survey.slow_engines(now), expected);
}

#[test]
fn recovery_noticed() {
    let survey = EngineSurvey::default();
    let now = Instant::now();
    survey.record(&engine("slow"), 12.0, now);
    survey.record(&engine("slow"), 1.0, now + Duration::from_secs(1));
    assert!(survey.slow_engines(now + Duration::from_secs(1)).is_empty());
}

#[test]
fn finding_expires() {
    let survey = EngineSurvey::default();
    let now = Instant::now();
    survey.record(&engine("slow"), 12.0, now);
    assert!(survey.slow_engines(now + Duration::from_secs(5)).is_empty());
}

#[test]
fn highest_counts() {
    let mut total = SlowEngines::from([(engine("a"), 2.0)]);
    let other = SlowEngines::from([(engine("a"), 5.0), (engine("b"), 3.0)]);
    add_slow_engines(&mut total, &other);
    let expected = SlowEngines::from([(engine("a"), 5.0), (engine("b"), 3.0)]);
    assert_eq!(total, expected);
}

#[test]
fn domains_joined() {
    let now = Instant::now();
    let mut hub = HubState::default();
    hub.record_instance("instance-1".into(), slow_summary("near", 4.0), now);
    hub.record_domain("other".into(), slow_summary("far", 6.0), now);
    let total = hub.fleet_total(now).slow_engines;
    let expected = SlowEngines::from([(engine("far"), 6.0), (engine("near"), 4.0)]);
    assert_eq!(total, expected);
}

#[test]
fn older_reports() {
    let report = r#"{"engines":{},"crossing":0.0}"#;
    let summary: LoadSummary = serde_json::from_str(report).expect("a report without the field");
    assert!(summary.slow_engines.is_empty());
    let text = serde_json::to_string(&summary).expect("a summary");
    assert!(!text.contains("slow_engines"));
}
