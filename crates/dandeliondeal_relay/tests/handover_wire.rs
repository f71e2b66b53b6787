//! Headers of handed-over requests.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use dandeliondeal_relay::handover_wire::{HandoverFacts, HandoverRefusal};
use dandeliondeal_relay::refusal::RefusalCause;

const FACTS: HandoverFacts = HandoverFacts {
    config_version: 7,
    time_left: Duration::from_millis(1_200),
    attempts: 2,
    last_event: Some(4),
};

#[test]
fn same_facts() {
    for last_event in [None, Some(0), Some(4)] {
        let facts = HandoverFacts {
            last_event,
            ..FACTS
        };
        let mut headers = HeaderMap::new();
        headers.insert(
            HeaderName::from_static("host"),
            HeaderValue::from_static("a"),
        );
        facts.write("secret", &mut headers);
        assert_eq!(HandoverFacts::take("secret", &mut headers), Some(facts));
        // Endpoints do not get these headers.
        assert_eq!(headers.len(), 1);
    }
}

/// Guards against callers that reach the entrance, and headers that are missing or damaged.
#[test]
fn refused_facts() {
    let mut headers = HeaderMap::new();
    FACTS.write("guess", &mut headers);
    assert_eq!(HandoverFacts::take("secret", &mut headers), None);
    assert!(headers.is_empty());
    let mut headers = HeaderMap::new();
    FACTS.write("secret", &mut headers);
    headers.insert(
        HeaderName::from_static("dandeliondeal-handover-attempts"),
        HeaderValue::from_static("many"),
    );
    assert_eq!(HandoverFacts::take("secret", &mut headers), None);
}

/// Guards against a refusal of which the other instance does not know whether the request ran.
#[test]
fn named_refusals() {
    for refusal in [
        HandoverRefusal::NotTaken,
        HandoverRefusal::Ended(RefusalCause::Overloaded),
        HandoverRefusal::Ended(RefusalCause::LateSent),
    ] {
        let mut headers = HeaderMap::new();
        refusal.write(&mut headers);
        assert_eq!(HandoverRefusal::read(&headers), Some(refusal));
    }
    let mut headers = HeaderMap::new();
    assert_eq!(HandoverRefusal::read(&headers), None);
    headers.insert(
        HeaderName::from_static("dandeliondeal-handover-refusal"),
        HeaderValue::from_static("of-a-later-version"),
    );
    let unknown = HandoverRefusal::Ended(RefusalCause::LostAnswer);
    assert_eq!(HandoverRefusal::read(&headers), Some(unknown));
}

/// Guards against a caller whose own header is taken for one of the instance that hands over.
#[test]
fn planted_event() {
    let mut headers = HeaderMap::new();
    headers.insert(
        HeaderName::from_static("dandeliondeal-handover-last-event"),
        HeaderValue::from_static("99"),
    );
    let facts = HandoverFacts {
        last_event: None,
        ..FACTS
    };
    facts.write("secret", &mut headers);
    assert_eq!(HandoverFacts::take("secret", &mut headers), Some(facts));
}
