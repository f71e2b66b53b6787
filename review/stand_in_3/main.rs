//! Plays a case of the third review: the router as separate processes, everything else as stand-ins.
//!
//! usage: case NAME RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod config_feed;
mod deadly_request;
mod deployment;
mod http;
mod json;
mod large_bodies;
mod machine;
mod record;
mod replica;
mod store;

use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, replica @ ..] = &arguments[..]
        && role == "replica"
    {
        let served = deadly_request::serve_replica(replica);
        return ExitCode::from(u8::from(served.is_err()));
    }
    let [_, name, path] = &arguments[..] else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = Record::create(path)
        .map_err(|error| error.to_string())
        .and_then(|record| {
            let verdict = match &**name {
                "config-feed" => config_feed::play(&record, has_trouble),
                "deadly-request" => deadly_request::play(&record, has_trouble),
                "large-bodies" => large_bodies::play(&record, has_trouble),
                _ => Err(format!("no case {name}")),
            };
            record.flush();
            verdict
        });
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
