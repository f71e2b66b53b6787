//! The story of one request out of the logs of several instances.

use dandeliondeal_command::log_story::{InstanceLog, LineRole, request_story};

fn line(second: u32, message: &str, fields: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-12-04T10:00:{second:02}.5Z\",\"level\":\"INFO\",\
         \"message\":\"{message}\"{fields}}}\n"
    )
}

fn logs() -> Vec<InstanceLog> {
    let first = [
        line(1, "store lost", ",\"kind\":\"servers\""),
        line(9, "store lost", ",\"kind\":\"servers\""),
        line(
            10,
            "engine stated not run",
            ",\"request\":\"r1\",\"engine\":\"e7\",\"status\":503",
        ),
        line(
            10,
            "request ended",
            ",\"request\":\"r2\",\"outcome\":\"answered\",\"chain\":\"e7:0..4\"",
        ),
        line(
            11,
            "request ended",
            ",\"request\":\"r1\",\"outcome\":\"rejected\",\"chain\":\"\"",
        ),
        "not a line of the log\n".to_owned(),
    ];
    let second = [
        line(
            8,
            "engine does not answer; taken out of use",
            ",\"engine\":\"e7\",\"cause\":\"rejection\"",
        ),
        line(9, "engine checked", ",\"engine\":\"e8\""),
        line(9, "store lost", ",\"kind\":\"servers\""),
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
fn whole_story() {
    let story = request_story("r1", &logs());
    let shown: Vec<(LineRole, &str, &str)> = story
        .iter()
        .map(|line| (line.role, &*line.instance, &*line.message))
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
    assert_eq!(shown, expected);
    assert!(story[2].fields.contains("status=503"));
}

#[test]
fn unknown_request() {
    assert!(request_story("r9", &logs()).is_empty());
}
