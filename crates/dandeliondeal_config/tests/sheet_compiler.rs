//! Tests of validating and compiling a sheet.

use dandeliondeal_config::{compile_sheet, example_sheet, read_sheet};
use dandeliondeal_types::sheet_model::EndpointTarget;

/// Returns the errors of the example sheet after `from` is replaced by `to`.
fn problems_after(from: &str, to: &str) -> Vec<String> {
    assert!(example_sheet().contains(from), "{from}");
    let sheet = read_sheet(example_sheet().replace(from, to).as_bytes()).unwrap();
    match compile_sheet(1, &sheet) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn example_compiles() {
    let sheet = read_sheet(example_sheet().as_bytes()).unwrap();
    let model = compile_sheet(7, &sheet).unwrap();
    assert_eq!(model.revision, 7);
    assert_eq!(model.endpoints.len(), 5);
    assert_eq!(&*model.endpoints["engine-4"].region, "tbilisi");
    assert!(!model.services["order-desk"].repeatable);
    let target = &model.endpoints["engine-2"].target;
    assert!(matches!(target, EndpointTarget::Layers { range, .. } if range.start == 12));
}

#[test]
fn invalid_numbers() {
    for value in [
        "1,5",
        "1.5",
        "-1",
        "+1",
        "016",
        "1e3",
        "70000",
        "99999999999999999999",
        "0",
    ] {
        let found = problems_after(
            "engine-1,capacity,16",
            &format!("engine-1,capacity,\"{value}\""),
        );
        assert_eq!(found.len(), 1, "{value}");
        assert!(found[0].contains("row 30, column value"), "{}", found[0]);
    }
}

#[test]
fn unknown_references() {
    for (from, to, suggestion) in [
        (
            "desk,pipeline,drafting",
            "desk,pipeline,draftin",
            "`drafting`",
        ),
        (
            "drafting,model,drafter",
            "drafting,model,draftr",
            "`drafter`",
        ),
        (
            "engine-1,accelerator,a10",
            "engine-1,accelerator,a100",
            "`a10`",
        ),
        (
            "engine-1,failure_domain,didube",
            "engine-1,failure_domain,didubi",
            "`didube`",
        ),
        (
            "orders-1,service,order-desk",
            "orders-1,service,order-dsk",
            "`order-desk`",
        ),
    ] {
        let found = problems_after(from, to);
        assert!(
            found.iter().any(|problem| problem.contains(suggestion)),
            "{found:?}"
        );
    }
}

#[test]
fn layer_coverage() {
    for to in ["12..23", "13..24", "11..24"] {
        let text = example_sheet().replace("layers,12..24", &format!("layers,{to}"));
        let sheet = read_sheet(text.as_bytes()).unwrap();
        let errors = compile_sheet(1, &sheet).unwrap_err();
        assert!(errors[0].problem.contains("no chain of endpoints"), "{to}");
    }
    // Two endpoints have this range, so one replacement gives two errors.
    assert_eq!(problems_after("layers,12..24", "layers,12..25").len(), 2);
    assert_eq!(problems_after("layers,12..24", "layers,12-24").len(), 2);
}

#[test]
fn invalid_rows() {
    // Duplicate address.
    assert_eq!(
        problems_after(
            "engine-2,address,127.0.0.1:9002",
            "engine-2,address,127.0.0.1:9001"
        )
        .len(),
        1
    );
    // Duplicate link, with its ends exchanged.
    assert_eq!(
        problems_after("link,isani/saburtalo", "link,saburtalo/didube").len(),
        1
    );
    // Both a service and a model.
    assert_eq!(
        problems_after("orders-1,capacity,16", "orders-1,model,drafter").len(),
        1
    );
    // Version that does not start with a letter.
    assert_eq!(
        problems_after("drafter,version,v1", "drafter,version,1.10").len(),
        1
    );
    // Unknown organisation.
    assert_eq!(
        problems_after(
            "limit,workshop-didube,tokens",
            "limit,workshop-didub,tokens"
        )
        .len(),
        1
    );
    // Boolean in capitals instead of `yes` or `no`.
    assert_eq!(
        problems_after("order-desk,repeatable,no", "order-desk,repeatable,FALSE").len(),
        1
    );
}

#[test]
fn key_hash_length() {
    let found = problems_after("key_sha256,", "key_sha256,0");
    assert!(found[0].contains("a key hash of 65 letters"));
}

#[test]
fn documented_example() {
    let page = include_str!("../../../docs/SHEET.md");
    let example = page.split("```csv\n").nth(1).unwrap();
    let example = example.split("```").next().unwrap();
    let sheet = read_sheet(example.as_bytes()).unwrap();
    let model = compile_sheet(1, &sheet).unwrap();
    assert!(model.routes.contains_key("redacteur"));
    assert!(!model.services["portail"].repeatable);
}
