//! The splitter returns complete events, each once and in order, however the bytes are cut.

use std::time::{Duration, Instant};

use dandeliondeal_relay::{EventError, EventSplitter};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: tokens of {id}\n\n")
}

#[test]
fn complete_events() {
    let mut splitter = EventSplitter::default();
    let text = event(0) + &event(1);
    let out = splitter.push(text.as_bytes()).expect("in order");
    assert_eq!(out, text);
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn cut_at_every_byte() {
    let text = event(7) + &event(8) + "id: 9\r\ndata: x\r\n\r\n";
    for cut in 0..=text.len() {
        let mut splitter = EventSplitter::starting_after(Some(6));
        let (first, second) = text.as_bytes().split_at(cut);
        let mut out = splitter.push(first).expect("in order").to_vec();
        out.extend_from_slice(&splitter.push(second).expect("in order"));
        assert_eq!(out, text.as_bytes(), "cut at {cut}");
        assert!(!splitter.is_partial());
    }
}

#[test]
fn partial_event() {
    let mut splitter = EventSplitter::default();
    let text = event(0);
    let out = splitter
        .push(&text.as_bytes()[..text.len() - 1])
        .expect("in order");
    assert!(out.is_empty());
    assert!(splitter.is_partial());
    splitter.discard_partial();
    assert!(!splitter.is_partial());
    assert_eq!(splitter.last_id(), None);
}

#[test]
fn repeated_events() {
    let mut splitter = EventSplitter::starting_after(Some(3));
    let text = event(2) + &event(3) + &event(4);
    let out = splitter.push(text.as_bytes()).expect("in order");
    assert_eq!(out, event(4));
}

#[test]
fn missing_event() {
    let mut splitter = EventSplitter::starting_after(Some(3));
    let error = splitter
        .push(event(5).as_bytes())
        .expect_err("4 is missing");
    assert_eq!(error, EventError::Gap { last: 3, found: 5 });
}

#[test]
fn oversized_event() {
    let mut splitter = EventSplitter::default();
    let error = splitter.push(&vec![b'x'; 70_000]).expect_err("no end");
    assert_eq!(error, EventError::TooLong);
}

// An engine sends an event without end in chunks of one byte: each chunk was searched together with
// all bytes before it, so that the event loop stood still for seconds.
#[test]
fn byte_by_byte() {
    let started = Instant::now();
    let mut splitter = EventSplitter::default();
    let text = format!("id: 0\ndata: {}\n\n", "x".repeat(60_000));
    for byte in &text.as_bytes()[..text.len() - 1] {
        let out = splitter.push(&[*byte]).expect("a short event");
        assert!(out.is_empty());
    }
    assert_eq!(splitter.push(b"\n").expect("the end"), text);
    assert!(started.elapsed() < Duration::from_secs(1));
}

// Events that arrive together with an error were lost, but counted as passed on: the stream went on
// at another engine without them.
#[test]
fn events_before_error() {
    let mut splitter = EventSplitter::starting_after(Some(3));
    let text = event(4) + &event(6);
    let out = splitter.push(text.as_bytes()).expect("event 4");
    assert_eq!(out, event(4));
    assert_eq!(splitter.last_id(), Some(4));
    assert!(splitter.is_partial());
    let gap = EventError::Gap { last: 4, found: 6 };
    assert_eq!(splitter.check(), Err(gap));
    splitter.discard_partial();
    let text = event(5) + &"x".repeat(70_000);
    let out = splitter.push(text.as_bytes()).expect("event 5");
    assert_eq!(out, event(5));
    assert_eq!(splitter.push(b""), Err(EventError::TooLong));
}

// An engine sends events without ids without end: each was passed on and counted as progress, so
// that the caller got bytes that are no answer until the stream's time was over.
#[test]
fn unnumbered_events() {
    let mut splitter = EventSplitter::starting_after(Some(3));
    let unnumbered = "data: x\n\n: comment\n\n\n";
    let out = splitter.push(unnumbered.as_bytes()).expect("few bytes");
    assert!(out.is_empty());
    assert!(!splitter.is_partial());
    let text = event(4) + unnumbered;
    let out = splitter.push(text.as_bytes()).expect("in order");
    assert_eq!(out, unnumbered.to_owned() + &event(4));
    assert_eq!(splitter.take_rest(), unnumbered);
    let endless = unnumbered.repeat(10_000);
    assert_eq!(
        splitter.push(endless.as_bytes()),
        Err(EventError::Unnumbered)
    );
}

#[test]
fn unnumbered_before_repeated() {
    let mut splitter = EventSplitter::starting_after(Some(3));
    let text = "data: x\n\n".to_owned() + &event(3) + &event(4);
    assert_eq!(splitter.push(text.as_bytes()).expect("in order"), event(4));
}

// An engine repeats an event without end.
#[test]
fn endless_repeats() {
    let mut splitter = EventSplitter::starting_after(Some(3));
    let repeats = event(3).repeat(1_000);
    let results: Vec<_> = (0..100)
        .map(|_| splitter.push(repeats.as_bytes()))
        .collect();
    assert!(results[0].as_ref().is_ok_and(bytes::Bytes::is_empty));
    assert_eq!(results[99], Err(EventError::Repeats));
}
