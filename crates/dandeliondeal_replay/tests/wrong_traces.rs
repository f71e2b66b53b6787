//! Traces with wrong expectations, and traces that cannot be parsed or replayed.

use dandeliondeal_replay::{Trace, replay};

const HEADER: &str =
    r#"{"trace":"t","version":1,"seed":1,"settings":{"engines":[{"id":"e1","start":0,"end":6}]}}"#;
const REQUEST: &str = r#"{"at":0,"event":"request","request":"r1","prompt":"quote","tokens":3}"#;
const KEYED: &str = r#"{"at":0,"event":"keyed","request":"d1","key":"k1","service":"order-desk"}"#;

fn trace(lines: &[&str]) -> String {
    [&[HEADER], lines].concat().join("\n")
}

fn mismatch_line(lines: &[&str]) -> Option<usize> {
    let report = replay(&Trace::parse(&trace(lines)).unwrap()).unwrap();
    report.mismatches.first().map(|mismatch| mismatch.line)
}

fn error_line(lines: &[&str]) -> usize {
    match Trace::parse(&trace(lines)) {
        Err(error) => error.line(),
        Ok(trace) => replay(&trace).unwrap_err().line(),
    }
}

#[test]
fn wrong_outcomes() {
    let wrong = [
        r#"{"at":900,"expect":"outcome","request":"r1","outcome":"not-run"}"#,
        r#"{"at":900,"expect":"outcome","request":"d1","outcome":"in-doubt"}"#,
        r#"{"at":900,"expect":"delivered","request":"r1","tokens":2}"#,
        r#"{"at":900,"expect":"runs","key":"k1","count":2}"#,
        r#"{"at":900,"expect":"sessions","endpoint":"e1","count":1}"#,
        r#"{"at":900,"expect":"met","request":"r1","count":"fed","least":1}"#,
        r#"{"at":900,"expect":"ran","endpoint":"e1","least":8}"#,
        r#"{"at":900,"expect":"stopped","instance":"entry-1"}"#,
        r#"{"at":1,"expect":"outcome","request":"r1","outcome":"answered"}"#,
    ];
    for line in wrong {
        assert_eq!(mismatch_line(&[REQUEST, KEYED, line]), Some(4), "{line}");
    }
}

#[test]
fn right_outcomes() {
    let right = [
        r#"{"at":900,"expect":"outcome","request":"r1","outcome":"answered"}"#,
        r#"{"at":900,"expect":"delivered","request":"r1","tokens":3}"#,
        r#"{"at":900,"expect":"runs","key":"k1","count":1}"#,
        r#"{"at":900,"expect":"ran","endpoint":"e1","least":7}"#,
    ];
    let lines = [&[REQUEST, KEYED][..], &right].concat();
    assert_eq!(mismatch_line(&lines), None);
}

#[test]
fn unreadable_lines() {
    let wrong = [
        "{",
        r#"{"event":"kill","endpoint":"e1"}"#,
        r#"{"at":5,"event":"explode","endpoint":"e1"}"#,
        r#"{"at":5,"event":"kill","endpoint":"e1","extra":1}"#,
        r#"{"at":5,"event":"kill","endpoint":"e9"}"#,
        r#"{"at":5,"expect":"outcome","request":"r9","outcome":"answered"}"#,
        r#"{"at":5,"expect":"met","request":"r1","count":"none","least":1}"#,
    ];
    for line in wrong {
        assert_eq!(error_line(&[REQUEST, line]), 3, "{line}");
    }
    let unordered = [r#"{"at":5,"event":"leave","endpoint":"e1"}"#, REQUEST];
    assert_eq!(error_line(&unordered), 3);
    assert_eq!(Trace::parse("").unwrap_err().line(), 1);
    let version = HEADER.replace("\"version\":1", "\"version\":2");
    assert_eq!(Trace::parse(&version).unwrap_err().line(), 1);
}

#[test]
fn same_report() {
    let lines = [
        REQUEST,
        KEYED,
        r#"{"at":2,"expect":"runs","key":"k1","count":9}"#,
    ];
    let report = || {
        replay(&Trace::parse(&trace(&lines)).unwrap())
            .unwrap()
            .mismatches
    };
    assert_eq!(report(), report());
}
