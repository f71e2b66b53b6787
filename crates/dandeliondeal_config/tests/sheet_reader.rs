//! Tests of parsing a sheet from CSV.

use dandeliondeal_config::{SheetColumn, SheetError, SheetKind, example_sheet, read_sheet};

const END_ROW: &str = "end,sheet,complete,yes\n";

fn errors_of(rows: &str) -> Vec<SheetError> {
    let text = format!("kind,name,attribute,value\n{rows}{END_ROW}");
    read_sheet(text.as_bytes()).unwrap_err()
}

#[test]
fn export_formats() {
    let plain = read_sheet(example_sheet().as_bytes()).unwrap();
    let windows = format!("\u{feff}{}", example_sheet().replace('\n', "\r\n"));
    assert_eq!(read_sheet(windows.as_bytes()).unwrap(), plain);
    let semicolons = example_sheet()
        .replace(',', ";")
        .replace("schedules;", "schedules,");
    let semicolons = semicolons.replace("Quotations;", "Quotations,");
    assert_eq!(read_sheet(semicolons.as_bytes()).unwrap(), plain);
    assert_eq!(read_sheet(plain.to_csv().as_bytes()).unwrap(), plain);
}

#[test]
fn quoted_newline() {
    let text = "kind,name,attribute,value\nmodel,m,note,\"two\nlines\"\nmodel,m,layerz,4\n";
    let errors = read_sheet(format!("{text}{END_ROW}").as_bytes()).unwrap_err();
    assert_eq!(
        (errors[0].row, errors[0].column),
        (4, SheetColumn::Attribute)
    );
    assert_eq!(&*errors[0].expected, "`layers`");
}

#[test]
fn invalid_files() {
    for (bytes, problem) in [
        (&b""[..], "the sheet is empty"),
        (
            b"kind,name,attribute,value\nend,sheet,complete,yes\n",
            "the sheet is empty",
        ),
        (
            b"kind,name,attribute\n",
            "unknown columns `kind,name,attribute`",
        ),
        (
            b"kind,name,attribute,value\nmodel,m\xff,layers,4\n",
            "the row is not UTF-8",
        ),
    ] {
        assert_eq!(&*read_sheet(bytes).unwrap_err()[0].problem, problem);
    }
    let large = vec![b'x'; 50 * 1_048_576];
    assert!(
        read_sheet(&large).unwrap_err()[0]
            .problem
            .contains("52428800 bytes")
    );
}

#[test]
fn truncated_file() {
    let text = example_sheet();
    for end in 0..text.len() {
        assert!(
            read_sheet(&text.as_bytes()[..end]).is_err(),
            "cut at byte {end}"
        );
    }
}

#[test]
fn duplicate_rows() {
    let errors = errors_of("model,m,layers,4\nmodel,m,layers,4\nmodel,m,layers,5\n");
    assert_eq!(&*errors[0].problem, "model m layers repeats line 2");
    assert_eq!(&*errors[1].problem, "model m layers contradicts line 2");
}

#[test]
fn invalid_cells() {
    let errors = errors_of(
        "modle,m,layers,4\nmodel,007,layers,4\nmodel,m m,layers,4\nmodel,m,layers\nmodel,m,layers,\n",
    );
    let places: Vec<_> = errors
        .iter()
        .map(|error| (error.row, error.column))
        .collect();
    let expected = [
        (2, SheetColumn::Kind),
        (3, SheetColumn::Name),
        (4, SheetColumn::Name),
        (5, SheetColumn::Row),
        (6, SheetColumn::Value),
    ];
    assert_eq!(places, expected);
    assert_eq!(&*errors[0].expected, "`model`");
}

#[test]
fn row_changes() {
    let older = read_sheet(example_sheet().as_bytes()).unwrap();
    let mut newer = older.clone();
    newer.rows.retain(|key, _| key.kind != SheetKind::Limit);
    let changes = newer.changes_since(&older);
    assert_eq!(changes.len(), 3);
    assert_eq!(
        changes[0].to_string(),
        "limit workshop-didube concurrency: 64 -> (none)"
    );
    assert!(newer.removed_share(&older) > 0.0);
}
