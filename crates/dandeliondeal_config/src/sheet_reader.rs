//! Parses a sheet from the CSV formats that spreadsheets export.

use csv::{ReaderBuilder, StringRecord};

use crate::nearest_name::suggest_names;
use crate::sheet_rows::{RowKey, RowValue, SHEET_END, SHEET_HEADER};
use crate::sheet_schema::NOTE_ATTRIBUTE;
use crate::{SheetColumn, SheetError, SheetKind, SheetRows};

/// Maximum size of a sheet, in bytes.
pub const SHEET_BYTES_LIMIT: usize = 16 * 1_048_576;
/// Maximum size of a cell, in bytes.
pub const CELL_BYTES_LIMIT: usize = 4_096;
/// Maximum length of a name, in bytes.
pub const NAME_BYTES_LIMIT: usize = 128;
/// Number of errors after which parsing stops.
pub const ERROR_COUNT_LIMIT: usize = 1_000;

const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Parses the rows of a sheet and validates each row on its own.
///
/// # Errors
///
/// Returns the errors of the file; parsing stops after the row that reaches
/// [`ERROR_COUNT_LIMIT`].
pub fn read_sheet(bytes: &[u8]) -> Result<SheetRows, Vec<SheetError>> {
    let text = decode_text(bytes).map_err(|error| vec![error])?;
    let delimiter = find_delimiter(text).map_err(|error| vec![error])?;
    let mut reader = RowReader::default();
    reader.read_text(text, delimiter);
    reader.finish(text)
}

fn decode_text(bytes: &[u8]) -> Result<&str, SheetError> {
    if bytes.len() > SHEET_BYTES_LIMIT {
        let problem = format!("the file has {} bytes", bytes.len());
        let expected = format!("at most {SHEET_BYTES_LIMIT} bytes");
        return Err(SheetError::new(1, SheetColumn::Row, problem, expected));
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        let line = valid.split(|byte| *byte == b'\n').count();
        let expected = "a file saved as CSV UTF-8";
        SheetError::new(
            line as u64,
            SheetColumn::Row,
            "the row is not UTF-8",
            expected,
        )
    })?;
    Ok(text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text))
}

fn find_delimiter(text: &str) -> Result<u8, SheetError> {
    let header = text.lines().next().unwrap_or("").replace('"', "");
    [b',', b';']
        .into_iter()
        .find(|delimiter| header == SHEET_HEADER.replace(',', &char::from(*delimiter).to_string()))
        .ok_or_else(|| {
            let problem = if text.trim().is_empty() {
                "the sheet is empty".to_owned()
            } else {
                format!("unknown columns `{}`", truncate_text(&header))
            };
            SheetError::new(
                1,
                SheetColumn::Row,
                problem,
                format!("the columns `{SHEET_HEADER}`"),
            )
        })
}

#[derive(Default)]
struct RowReader {
    sheet: SheetRows,
    errors: Vec<SheetError>,
    end_line: Option<u64>,
}

impl RowReader {
    fn read_text(&mut self, text: &str, delimiter: u8) {
        let mut reader = ReaderBuilder::new()
            .delimiter(delimiter)
            .flexible(true)
            .has_headers(true)
            .from_reader(text.as_bytes());
        let mut record = StringRecord::new();
        while self.errors.len() < ERROR_COUNT_LIMIT {
            match reader.read_record(&mut record) {
                Ok(true) => self.read_record(&record),
                Ok(false) => break,
                Err(error) => {
                    let line = error.position().map_or(1, csv::Position::line);
                    self.push_error(line, SheetColumn::Row, error.to_string(), "a row of CSV");
                    break;
                }
            }
        }
    }

    fn read_record(&mut self, record: &StringRecord) {
        let line = record.position().map_or(1, csv::Position::line);
        if record.iter().all(|cell| cell.trim().is_empty()) {
            return;
        }
        if let Some(end) = self.end_line {
            let problem = format!("a row after the end row on line {end}");
            return self.push_error(line, SheetColumn::Row, problem, "no further rows");
        }
        let has_extra = record.iter().skip(4).any(|cell| !cell.is_empty());
        if record.len() < 4 || has_extra {
            let problem = format!("{} cells", record.len());
            return self.push_error(line, SheetColumn::Row, problem, "4 cells");
        }
        if SHEET_END.split(',').eq(record.iter().take(4)) {
            self.end_line = Some(line);
            return;
        }
        self.read_row(line, [&record[0], &record[1], &record[2], &record[3]]);
    }

    fn read_row(&mut self, line: u64, [kind, name, attribute, value]: [&str; 4]) {
        let error_count = self.errors.len();
        let parsed_kind = SheetKind::from_label(kind);
        if parsed_kind.is_none() {
            let expected = suggest_names(kind, SheetKind::ALL.map(SheetKind::label));
            let problem = format!("unknown kind `{}`", truncate_text(kind));
            self.push_error(line, SheetColumn::Kind, problem, expected);
        }
        if let Err((problem, expected)) = check_name(name) {
            self.push_error(line, SheetColumn::Name, problem, expected);
        }
        if let Some(kind) = parsed_kind.filter(|kind| !kind.has_attribute(attribute)) {
            let candidates = kind.attributes().iter().map(|candidate| candidate.name);
            let expected = suggest_names(attribute, candidates.chain([NOTE_ATTRIBUTE]));
            let problem = format!("{kind} has no attribute `{}`", truncate_text(attribute));
            self.push_error(line, SheetColumn::Attribute, problem, expected);
        }
        if let Err((problem, expected)) = check_value(attribute, value) {
            self.push_error(line, SheetColumn::Value, problem, expected);
        }
        if let Some(kind) = parsed_kind.filter(|_| self.errors.len() == error_count) {
            self.add_row(line, kind, name, attribute, value);
        }
    }

    fn add_row(&mut self, line: u64, kind: SheetKind, name: &str, attribute: &str, value: &str) {
        let key = RowKey {
            kind,
            name: name.into(),
            attribute: attribute.into(),
        };
        let row = RowValue {
            text: value.into(),
            line,
        };
        if let Some(first) = self.sheet.rows.get(&key) {
            let relation = if *first == row {
                "repeats"
            } else {
                "contradicts"
            };
            let problem = format!("{kind} {name} {attribute} {relation} line {}", first.line);
            return self.push_error(line, SheetColumn::Row, problem, "each attribute once");
        }
        self.sheet.rows.insert(key, row);
    }

    fn finish(mut self, text: &str) -> Result<SheetRows, Vec<SheetError>> {
        let last_line = text.lines().count().max(1) as u64;
        let is_limit_reached = self.errors.len() >= ERROR_COUNT_LIMIT;
        if !is_limit_reached && (self.end_line.is_none() || !text.ends_with('\n')) {
            let problem = "the end row is missing, so the file may be cut off";
            let expected = format!("`{SHEET_END}` and a line end");
            self.push_error(last_line, SheetColumn::Row, problem, expected);
        } else if !is_limit_reached && self.errors.is_empty() && self.sheet.rows.is_empty() {
            self.push_error(
                last_line,
                SheetColumn::Row,
                "the sheet is empty",
                "at least one row",
            );
        }
        if self.errors.is_empty() {
            Ok(self.sheet)
        } else {
            Err(self.errors)
        }
    }

    fn push_error<Problem, Expected>(
        &mut self,
        line: u64,
        column: SheetColumn,
        problem: Problem,
        expected: Expected,
    ) where
        Problem: Into<std::sync::Arc<str>>,
        Expected: Into<std::sync::Arc<str>>,
    {
        self.errors
            .push(SheetError::new(line, column, problem, expected));
    }
}

fn check_name(name: &str) -> Result<(), (String, &'static str)> {
    let is_valid_charset = name
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte));
    if name.is_empty() || name.len() > NAME_BYTES_LIMIT || !is_valid_charset {
        let expected = "1 to 128 letters, digits, `-`, `_`, `.` and `/`";
        return Err((format!("bad name `{}`", truncate_text(name)), expected));
    }
    if name.parse::<f64>().is_ok() {
        // A spreadsheet would drop leading zeros and rewrite exponents in such a cell.
        let expected = "a name that a spreadsheet does not take for a number";
        return Err((format!("name `{name}` looks like a number"), expected));
    }
    Ok(())
}

fn check_value(attribute: &str, value: &str) -> Result<(), (String, &'static str)> {
    if value.len() > CELL_BYTES_LIMIT {
        return Err((format!("{} bytes", value.len()), "at most 4096 bytes"));
    }
    if attribute == NOTE_ATTRIBUTE {
        return Ok(());
    }
    if value.chars().any(char::is_control) {
        return Err((
            "a line break or control character".to_owned(),
            "one line of text",
        ));
    }
    if value.is_empty() || value.trim() != value {
        let expected = "a value without spaces around it; leave the row out for the default";
        return Err((format!("value `{}`", truncate_text(value)), expected));
    }
    Ok(())
}

/// Escapes and truncates text from a file, so that an error message is one short line.
fn truncate_text(text: &str) -> String {
    const CHARACTER_LIMIT: usize = 40;
    let mut output: String = text.escape_debug().take(CHARACTER_LIMIT).collect();
    if text.chars().count() > CHARACTER_LIMIT {
        output.push_str("...");
    }
    output
}
