//! A sheet as a set of rows, in one order whatever the order of the file.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::SheetKind;

/// First line of every sheet.
pub const SHEET_HEADER: &str = "kind,name,attribute,value";
/// Last line of every sheet, which shows that the file is not cut off.
pub const SHEET_END: &str = "end,sheet,complete,yes";

/// What a row speaks of.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RowKey {
    /// Kind of thing.
    pub kind: SheetKind,
    /// Name of the thing.
    pub name: Arc<str>,
    /// Attribute.
    pub attribute: Arc<str>,
}

/// The value of a row and the line that it came from.
#[derive(Clone, Debug)]
pub struct RowValue {
    /// The text as written.
    pub text: Arc<str>,
    /// Line of the file; 0 if it did not come from one.
    pub line: u64,
}

impl PartialEq for RowValue {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for RowValue {}

/// The rows of a sheet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SheetRows {
    /// Value of each row.
    pub rows: BTreeMap<RowKey, RowValue>,
}

/// How one row differs between two sheets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RowChange {
    /// What the row speaks of.
    pub key: RowKey,
    /// Value in the older sheet, `None` if it has no such row.
    pub before: Option<Arc<str>>,
    /// Value in the newer sheet, `None` if it has no such row.
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
    /// The rows that differ from an older sheet, in order.
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

    /// Share of the older sheet's things, from 0 to 1, that this sheet no longer has.
    pub fn removed_share(&self, older: &Self) -> f64 {
        let names = older.names();
        if names.is_empty() {
            return 0.0;
        }
        let kept = self.names();
        let removed = names.iter().filter(|name| !kept.contains(*name)).count();
        removed as f64 / names.len() as f64
    }

    /// Whether the sheet has a thing of this name.
    pub fn has(&self, kind: SheetKind, name: &str) -> bool {
        self.names().contains(&(kind, name))
    }

    /// Sets one row.
    pub fn set(&mut self, key: RowKey, text: Arc<str>) {
        self.rows.insert(key, RowValue { text, line: 0 });
    }

    /// Prints the sheet in its canonical form, which [`read_sheet`](crate::read_sheet) accepts.
    pub fn to_csv(&self) -> String {
        let mut output = format!("{SHEET_HEADER}\n");
        for (key, value) in &self.rows {
            write_row(&mut output, key, &value.text);
        }
        output.push_str(SHEET_END);
        output.push('\n');
        output
    }

    fn names(&self) -> std::collections::BTreeSet<(SheetKind, &str)> {
        self.rows.keys().map(|key| (key.kind, &*key.name)).collect()
    }
}

/// Appends one row, quoted where needed.
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
