//! The timeline of one request from the logs of several instances.

use dandeliondeal_command::request_timeline::{InstanceLog, LineRole, request_timeline};

fn log_line(second: u32, message: &str, fields: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-12-04T10:00:{second:02}.5Z\",\"level\":\"INFO\",\
         \"message\":\"{message}\"{fields}}}\n"
    )
}

fn logs() -> Vec<InstanceLog> {
    let first = [
        log_line(1, "store lost", ",\"kind\":\"servers\""),
        log_line(9, "store lost", ",\"kind\":\"servers\""),
        log_line(
            10,
            "engine stated not run",
            ",\"request\":\"r1\",\"engine\":\"e7\",\"status\":503",
        ),
        log_line(
            10,
            "request ended",
            ",\"request\":\"r2\",\"outcome\":\"answered\",\"chain\":\"e7:0..4\"",
        ),
        log_line(
            11,
            "request ended",
            ",\"request\":\"r1\",\"outcome\":\"rejected\",\"chain\":\"\"",
        ),
        "not a line of the log\n".to_owned(),
    ];
    let second = [
        log_line(
            8,
            "engine does not answer; taken out of use",
            ",\"engine\":\"e7\",\"cause\":\"rejection\"",
        ),
        log_line(9, "engine checked", ",\"engine\":\"e8\""),
        log_line(9, "store lost", ",\"kind\":\"servers\""),
    ];
    vec![
        InstanceLog {
            name: "router-1".to_owned(),
            text: first.concat(),
        },
        InstanceLog {
            name: "router-2".to_owned(),
            text: second.concat(),
        },
    ]
}

#[test]
fn full_timeline() {
    let timeline = request_timeline("r1", &logs());
    let entries: Vec<(LineRole, &str, &str)> = timeline
        .iter()
        .map(|entry| (entry.role, &*entry.instance, &*entry.message))
        .collect();
    let expected = [
        (
            LineRole::Engine,
            "router-2",
            "engine does not answer; taken out of use",
        ),
        (LineRole::Instance, "router-1", "store lost"),
        (LineRole::Request, "router-1", "engine stated not run"),
        (LineRole::Request, "router-1", "request ended"),
    ];
    assert_eq!(entries, expected);
    assert!(timeline[2].fields.contains("status=503"));
}

#[test]
fn unknown_request() {
    assert!(request_timeline("r9", &logs()).is_empty());
}

// A refusal by admission must be traceable to the share of its rank.
#[test]
fn admission_lines() {
    let text = [
        log_line(
            8,
            "admission share changed",
            ",\"service\":\"drafting\",\"rank\":4,\"from\":1.0,\"share\":0.3,\"fill\":0.97",
        ),
        log_line(
            9,
            "request admission",
            ",\"request\":\"r1\",\"rank\":4,\"share\":0.3,\"decision\":\"refuse\"",
        ),
        log_line(
            9,
            "request ended",
            ",\"request\":\"r1\",\"outcome\":\"overloaded\",\"status\":503",
        ),
    ];
    let log = InstanceLog {
        name: "router-1".to_owned(),
        text: text.concat(),
    };
    let timeline = request_timeline("r1", &[log]);
    let messages: Vec<&str> = timeline.iter().map(|entry| &*entry.message).collect();
    let expected = [
        "admission share changed",
        "request admission",
        "request ended",
    ];
    assert_eq!(messages, expected);
    assert!(timeline[1].fields.contains("decision=refuse"));
    assert!(timeline[1].fields.contains("share=0.3"));
}
