//! Hand-written serialisation of step calls and answers.

use std::sync::Arc;

use dandeliondeal_types::{LayerRange, StepAnswer, StepCall, StepName};

fn step_name() -> StepName {
    StepName {
        request: Arc::from("r-1"),
        lineage: 2,
        position: 7,
        range: LayerRange::new(4, 8),
    }
}

#[test]
fn call_round_trip() {
    let call = StepCall {
        name: step_name(),
        model: Arc::from("m"),
        inputs: Arc::from([1, u64::MAX]),
        life_milliseconds: 5_000,
        priority: 3,
    };
    let text = serde_json::to_string(&call).unwrap();
    assert_eq!(serde_json::from_str::<StepCall>(&text).unwrap(), call);
}

#[test]
fn answer_round_trip() {
    let answer = StepAnswer {
        name: step_name(),
        outputs: Arc::from([9]),
    };
    let text = serde_json::to_string(&answer).unwrap();
    assert_eq!(serde_json::from_str::<StepAnswer>(&text).unwrap(), answer);
}

#[test]
fn missing_field() {
    let error = serde_json::from_str::<StepAnswer>(r#"{"request":"r","outputs":[]}"#).unwrap_err();
    assert!(error.to_string().contains("lineage"), "{error}");
}

#[test]
fn unknown_field() {
    let text = r#"{"request":"r","lineage":1,"position":0,"start":0,"end":1,"outputs":[3],"x":{}}"#;
    assert_eq!(
        &*serde_json::from_str::<StepAnswer>(text).unwrap().outputs,
        &[3]
    );
}
