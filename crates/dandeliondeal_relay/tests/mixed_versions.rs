//! Messages and records of commit 1543bd6, which instances of that version send and expect.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use dandeliondeal_quarantine::CrashReport;
use dandeliondeal_relay::feed_reply::{FeedReply, FeedRequest};
use dandeliondeal_relay::handover_wire::{HandoverFacts, HandoverRefusal};
use dandeliondeal_relay::instance_registry::InstanceEntry;
use dandeliondeal_relay::load_exchange::{LoadReport, LoadSummary};
use dandeliondeal_relay::quarantine_store::StoredVerdict;
use dandeliondeal_relay::refusal::RefusalCause;
use dandeliondeal_types::StoreVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

const TOTAL: &str = r#"{"engines":{"e1":{"running":2.0,"tokens":1796.0}},"crossing":0.25,
    "suspects":["e2"],"offers":{"e1":{"answered":3.5,"failed":0.5}},"has_lease":true,
    "crashes":{"parts":[{"key":{"service":"drafting","part":"p1"},"ends":[{"process":"e2/1000",
    "age_ms":40,"session":7,"has_begun":false,"is_confirmed":true}],"answered_ms":null}],
    "verdicts":[{"key":{"service":"drafting","part":"p2"},"companions":["p3"],
    "processes":["e2/1000","e3/1000"],"age_ms":900,"is_stored":true}],"running":{"e4/1000":12}},
    "rates":{"d1":{"limit":1.5,"age_ms":300,"sent_rate":0.5}},
    "lost_links":{"orders":["router-2"]}}"#;
const CALM_TOTAL: &str =
    r#"{"engines":{},"crossing":0.0,"suspects":[],"offers":{},"has_lease":false}"#;
const FEED_REQUEST: &str = r#"{"kind":"servers","seen":41}"#;
const FEED_CHANGES: &str = r#"{"Changes":{"events":[{"object":{"name":"e1","version":42,
    "body":"{\"seq\":1}"},"is_deleted":false}],"version":42}}"#;
const REGISTRATION: &str = r#"{"address":"10.0.0.1:7200","handover":"10.0.0.1:7300",
    "failure_domain":"didube"}"#;
const VERDICT: &str = r#"{"key":{"service":"drafting","part":"p2"},"companions":["p3"],
    "processes":["e2/1000"],"trials":1}"#;

fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("a recorded message")
}

/// Adds an unknown field to each object with fixed fields; maps by id are left alone.
fn add_fields(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            let is_fixed = ["crossing", "running", "from", "key", "part", "kind"]
                .into_iter()
                .chain([
                    "version", "object", "address", "answered", "limit", "age_ms",
                ])
                .chain(["verdicts"])
                .any(|name| fields.contains_key(name));
            fields.values_mut().for_each(add_fields);
            if is_fixed {
                fields.insert("later".to_owned(), json!({"ranks": [1, 2]}));
            }
        }
        Value::Array(items) => items.iter_mut().for_each(add_fields),
        _ => {}
    }
}

/// Checks that a recorded message is read and written as it was recorded, also with fields that are
/// unknown to its reader.
fn check<Message>(recorded: &Value)
where
    Message: DeserializeOwned + Serialize,
{
    let mut extended = recorded.clone();
    add_fields(&mut extended);
    assert_ne!(&extended, recorded);
    for message in [recorded, &extended] {
        let read: Result<Message, _> = serde_json::from_value(message.clone());
        let written = serde_json::to_value(read.expect("a message")).expect("a message");
        assert_eq!(&written, recorded);
    }
}

// Guards against a message that instances of the earlier version cannot read, and against a reader
// that refuses fields of a later version.
#[test]
fn recorded_messages() {
    for total in [TOTAL, CALM_TOTAL] {
        check::<LoadSummary>(&parse(total));
        check::<LoadReport>(&json!({"from": "router-1", "work": parse(total)}));
    }
    check::<FeedRequest>(&parse(FEED_REQUEST));
    check::<FeedReply>(&parse(FEED_CHANGES));
    for reply in [FeedReply::Unproven, FeedReply::ReadStore] {
        let name = format!("{reply:?}");
        let read: Result<FeedReply, _> = serde_json::from_value(json!(name));
        assert_eq!(read.ok(), Some(reply));
    }
}

// Guards against versions with an era that instances without it cannot read.
#[test]
fn stated_era() {
    let seen = StoreVersion::new(3, 41);
    let request = serde_json::to_value(FeedRequest::new("servers", seen)).expect("a request");
    assert_eq!(request, json!({"kind": "servers", "seen": 41, "era": 3}));
    let mut recorded = parse(FEED_CHANGES);
    recorded["Changes"]["era"] = json!(3);
    check::<FeedReply>(&recorded);
    let reply: FeedReply = serde_json::from_value(recorded).expect("a reply");
    let FeedReply::Changes(changes) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(changes.version, StoreVersion::new(3, 42));
    assert_eq!(changes.events[0].object.version, StoreVersion::new(3, 42));
}

// Guards against stored records that one of the versions cannot read.
#[test]
fn stored_records() {
    check::<InstanceEntry>(&parse(REGISTRATION));
    check::<StoredVerdict>(&parse(VERDICT));
}

// Guards against a reader that requires a field that earlier versions leave out.
#[test]
fn missing_fields() {
    let total: LoadSummary =
        serde_json::from_str(r#"{"engines":{},"crossing":0.0}"#).expect("a total");
    assert_eq!(total, LoadSummary::default());
    let crashes: CrashReport = serde_json::from_str("{}").expect("a report");
    assert!(crashes.is_empty());
    let registration = r#"{"address":"10.0.0.1:7200","failure_domain":"didube"}"#;
    let entry: InstanceEntry = serde_json::from_str(registration).expect("a registration");
    let entry = serde_json::to_value(entry).expect("a registration");
    assert_eq!(entry["handover"], Value::Null);
}

// Guards against handed-over requests that one of the versions does not take.
#[test]
fn handover_headers() {
    let recorded = [
        ("dandeliondeal-handover-secret", "secret"),
        ("dandeliondeal-handover-config", "7"),
        ("dandeliondeal-handover-time-left-ms", "1200"),
        ("dandeliondeal-handover-attempts", "2"),
        ("dandeliondeal-handover-last-event", "4"),
    ];
    let facts = HandoverFacts {
        config_version: 7,
        time_left: Duration::from_millis(1_200),
        attempts: 2,
        last_event: Some(4),
    };
    let mut written = HeaderMap::new();
    facts.write("secret", &mut written);
    assert_eq!(written.len(), recorded.len());
    let mut headers = HeaderMap::new();
    for (name, value) in recorded {
        let text = written.get(name).and_then(|value| value.to_str().ok());
        assert_eq!(text, Some(value), "{name}");
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    let later = HeaderName::from_static("dandeliondeal-handover-rank");
    headers.insert(later, HeaderValue::from_static("3"));
    assert_eq!(HandoverFacts::take("secret", &mut headers), Some(facts));
}

// Guards against another meaning of a refusal in the other version; an unknown cause proves nothing.
#[test]
fn handover_refusals() {
    let cases = [
        ("not-taken", HandoverRefusal::NotTaken),
        (
            "overloaded",
            HandoverRefusal::Ended(RefusalCause::Overloaded),
        ),
        (
            "later-cause",
            HandoverRefusal::Ended(RefusalCause::LostAnswer),
        ),
    ];
    for (name, refusal) in cases {
        let mut headers = HeaderMap::new();
        headers.insert(
            HeaderName::from_static("dandeliondeal-handover-refusal"),
            HeaderValue::from_static(name),
        );
        assert_eq!(HandoverRefusal::read(&headers), Some(refusal));
    }
}
