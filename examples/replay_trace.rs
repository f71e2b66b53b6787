//! Replays a recorded failure, then a trace whose expected outcome is wrong.

use std::error::Error;

use dandeliondeal::replay::{Trace, replay};

/// Both engines of a running request fail, and the request continues on other engines.
const RECORDED_TRACE: &str = include_str!("../traces/stage-death.jsonl");

/// The request succeeds, but the trace expects that it does not run.
const WRONG_TRACE: &str = r#"
{"trace":"wrong","version":1,"seed":1,"settings":{"engines":[{"id":"e1","start":0,"end":6}]}}
{"at":0,"event":"request","request":"r1","prompt":"quote","tokens":3}
{"at":1000,"expect":"outcome","request":"r1","outcome":"not-run"}
"#;

fn main() -> Result<(), Box<dyn Error>> {
    for text in [RECORDED_TRACE, WRONG_TRACE] {
        // A replay uses a simulated clock, so that minutes of a trace take only milliseconds.
        let report = replay(&Trace::parse(text)?)?;
        println!(
            "{}: {} events, {} stated outcomes, as stated: {}",
            report.trace,
            report.events,
            report.outcomes,
            report.is_match(),
        );
        for mismatch in &report.mismatches {
            println!("  {mismatch}");
        }
    }
    Ok(())
}
