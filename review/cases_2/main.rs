//! Cases of the second review: `case NAME FOLDER` plays one and writes `record.txt` into its folder.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod http;
mod json;
mod record;
mod replica;
mod restored_store;
mod router;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    let outcome = match name.as_str() {
        "restored-store" => restored_store::play(&record, has_trouble),
        _ => Outcome::NotRun(format!("no case {name}")),
    };
    match outcome {
        Outcome::Broken => {
            record.tell("result: the rule was broken");
            ExitCode::from(1)
        }
        Outcome::Held => {
            record.tell("result: the rule held");
            ExitCode::SUCCESS
        }
        Outcome::NotRun(reason) => {
            record.tell(&format!("result: the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Returns a configuration with one plain service; `keys` are the API keys of its tenants.
pub fn config(version: u64, keys: &[(&str, &str)]) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout-ms\":1500,\"slo-ms\":100,\"priority\":2,\
             \"service\":\"order-desk\",\"attempts\":{attempts},\"public\":false,\
             \"sticky\":false,\"resumable\":false}}"
        )
    };
    let tenants: Vec<String> = keys
        .iter()
        .map(|(tenant, key)| format!("{{\"name\":\"{tenant}\",\"api-keys\":[{key}]}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"order-desk\",\
         \"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\"}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{}]}}",
        route("deposit-confirm", "unsafe", 1),
        route("order-status", "safe", 2),
        tenants.join(",")
    )
}
