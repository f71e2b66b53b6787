//! Parsing, validating and interpreting charts.

use std::sync::Arc;

use dandeliondeal_chart::{ChartError, ChartMachine, ChartTable, chart_labels};

chart_labels! {
    /// States of a lamp.
    enum LampState { On = "on", Off = "off" }
}
chart_labels! {
    /// Events of a lamp.
    enum LampEvent { Toggle = "toggle", Cut = "cut" }
}

const VALID_CHART: &str = "[chart]\nname=lamp\ninitial=off\n\
    [state on]\ntoggle=off\ncut=off\n[state off]\ntoggle=on\ncut=refuse\n";

fn parse(text: &str) -> Result<ChartTable<LampState, LampEvent>, ChartError> {
    ChartTable::parse(text)
}

#[test]
fn machine_transitions() {
    let mut machine = ChartMachine::new(Arc::new(parse(VALID_CHART).unwrap()));
    assert_eq!(machine.apply(LampEvent::Toggle).unwrap(), LampState::On);
    assert_eq!(machine.apply(LampEvent::Cut).unwrap(), LampState::Off);
    assert!(machine.apply(LampEvent::Cut).unwrap_err().is_refused());
    assert_eq!(machine.state(), LampState::Off);
}

#[test]
fn unknown_target() {
    let error = parse(&VALID_CHART.replace("toggle=on", "toggle=onn")).unwrap_err();
    assert!(matches!(error, ChartError::Unknown { name, .. } if &*name == "onn"));
}

#[test]
fn unknown_event() {
    let error = parse(&VALID_CHART.replace("cut=refuse", "cut=refuse\nkick=on")).unwrap_err();
    assert!(matches!(error, ChartError::Unknown { name, .. } if &*name == "kick"));
}

#[test]
fn missing_event() {
    let error = parse(&VALID_CHART.replace("cut=refuse\n", "")).unwrap_err();
    assert!(matches!(error, ChartError::Missing { .. }));
}

#[test]
fn missing_state() {
    let error = parse("[chart]\nname=lamp\ninitial=off\n[state off]\ntoggle=on\ncut=ignore\n");
    assert!(matches!(error.unwrap_err(), ChartError::Missing { .. }));
}

#[test]
fn unreachable_state() {
    let error = parse(&VALID_CHART.replace("toggle=on", "toggle=ignore")).unwrap_err();
    assert!(matches!(error, ChartError::Unreachable { state, .. } if &*state == "on"));
}
