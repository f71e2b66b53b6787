//! Rows of a sheet, in an order that does not depend on the order in the file.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::SheetKind;

/// First line of a sheet.
pub const SHEET_HEADER: &str = "kind,name,attribute,value";
/// Last line of a sheet, which proves that the file is not truncated.
pub const SHEET_END: &str = "end,sheet,complete,yes";

/// Entity and attribute that a row describes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RowKey {
    /// Kind of the entity.
    pub kind: SheetKind,
    /// Name of the entity.
    pub name: Arc<str>,
    /// Name of the attribute.
    pub attribute: Arc<str>,
}

/// Value of a row, with its line in the file.
#[derive(Clone, Debug)]
pub struct RowValue {
    /// Value as written in the file.
    pub text: Arc<str>,
    /// Line of the file; 0 if the row was not read from a file.
    pub line: u64,
}

impl PartialEq for RowValue {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for RowValue {}

/// Rows of a sheet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SheetRows {
    /// Value of each row by entity and attribute.
    pub rows: BTreeMap<RowKey, RowValue>,
}

/// Difference of one row between two sheets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowChange {
    /// Entity and attribute of the row.
    pub key: RowKey,
    /// Value in the older sheet; `None` if it has no such row.
    pub before: Option<Arc<str>>,
    /// Value in the newer sheet; `None` if it has no such row.
    pub after: Option<Arc<str>>,
}

impl std::fmt::Display for RowChange {
    fn fmt(&self, output: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let RowKey {
            kind,
            name,
            attribute,
        } = &self.key;
        let before = self.before.as_deref().unwrap_or("(none)");
        let after = self.after.as_deref().unwrap_or("(none)");
        write!(output, "{kind} {name} {attribute}: {before} -> {after}")
    }
}

impl SheetRows {
    /// Returns the rows that differ from an older sheet, sorted by key.
    pub fn changes_since(&self, older: &Self) -> Vec<RowChange> {
        let removed = older
            .rows
            .keys()
            .filter(|key| !self.rows.contains_key(*key));
        let mut keys: Vec<&RowKey> = self.rows.keys().chain(removed).collect();
        keys.sort_unstable();
        keys.into_iter()
            .filter(|key| self.rows.get(*key) != older.rows.get(*key))
            .map(|key| RowChange {
                key: key.clone(),
                before: older.rows.get(key).map(|value| Arc::clone(&value.text)),
                after: self.rows.get(key).map(|value| Arc::clone(&value.text)),
            })
            .collect()
    }

    /// Returns the share of the older sheet's entities, from 0 to 1, that this sheet lacks.
    pub fn removed_share(&self, older: &Self) -> f64 {
        let entity_names = older.entity_names();
        if entity_names.is_empty() {
            return 0.0;
        }
        let remaining = self.entity_names();
        let removed = entity_names
            .iter()
            .filter(|name| !remaining.contains(*name))
            .count();
        removed as f64 / entity_names.len() as f64
    }

    /// Returns whether the sheet has an entity of this kind and name.
    pub fn contains(&self, kind: SheetKind, name: &str) -> bool {
        self.entity_names().contains(&(kind, name))
    }

    /// Inserts or replaces one row.
    pub fn set(&mut self, key: RowKey, text: Arc<str>) {
        self.rows.insert(key, RowValue { text, line: 0 });
    }

    /// Formats the sheet as canonical CSV, which [`read_sheet`](crate::read_sheet) accepts.
    pub fn to_csv(&self) -> String {
        let mut output = format!("{SHEET_HEADER}\n");
        for (key, value) in &self.rows {
            write_row(&mut output, key, &value.text);
        }
        output.push_str(SHEET_END);
        output.push('\n');
        output
    }

    fn entity_names(&self) -> std::collections::BTreeSet<(SheetKind, &str)> {
        self.rows.keys().map(|key| (key.kind, &*key.name)).collect()
    }
}

/// Appends one row as CSV, with quotes where they are needed.
pub(crate) fn write_row(output: &mut String, key: &RowKey, value: &str) {
    output.push_str(key.kind.label());
    for cell in [&*key.name, &*key.attribute, value] {
        output.push(',');
        if cell.contains([',', ';', '"', '\n', '\r']) {
            output.push('"');
            output.push_str(&cell.replace('"', "\"\""));
            output.push('"');
        } else {
            output.push_str(cell);
        }
    }
    output.push('\n');
}
