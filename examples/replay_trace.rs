//! Replays a recorded failure, then a trace that states a wrong outcome.

use std::error::Error;

use dandeliondeal::replay::{Trace, replay};

/// Both stages of a running request die; it goes on at the other engines.
const RECORDED: &str = include_str!("../traces/stage-death.jsonl");

/// A sound request whose stated outcome is wrong.
const WRONG: &str = r#"
{"trace":"wrong","version":1,"seed":1,"settings":{"engines":[{"id":"e1","start":0,"end":6}]}}
{"at":0,"event":"request","request":"r1","prompt":"quote","tokens":3}
{"at":1000,"expect":"outcome","request":"r1","outcome":"not-run"}
"#;

fn main() -> Result<(), Box<dyn Error>> {
    for text in [RECORDED, WRONG] {
        // The clock of a replay is its own: minutes of a trace pass in milliseconds.
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
