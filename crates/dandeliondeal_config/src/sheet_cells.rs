//! Reads the values of one thing of a sheet and notes what is wrong.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use dandeliondeal_types::LayerRange;

use crate::nearest_name::suggestion;
use crate::{RowValue, SheetColumn, SheetError, SheetKind, SheetRows};

/// The rows of one thing.
pub(crate) type ThingCells<'sheet> = BTreeMap<&'sheet str, &'sheet RowValue>;
/// The things of each kind by name.
pub(crate) type KindThings<'sheet> = BTreeMap<&'sheet str, ThingCells<'sheet>>;

/// All things of a sheet, and the errors found so far.
pub(crate) struct SheetCells<'sheet> {
    things: BTreeMap<SheetKind, KindThings<'sheet>>,
    pub(crate) errors: Vec<SheetError>,
}

/// One thing whose values are being read.
#[derive(Clone, Copy)]
pub(crate) struct ThingRef<'sheet> {
    pub(crate) kind: SheetKind,
    pub(crate) name: &'sheet str,
    pub(crate) line: u64,
}

impl<'sheet> SheetCells<'sheet> {
    pub(crate) fn new(sheet: &'sheet SheetRows) -> Self {
        let mut things: BTreeMap<SheetKind, KindThings<'sheet>> = BTreeMap::new();
        for (key, value) in &sheet.rows {
            let cells = things.entry(key.kind).or_default();
            let cells = cells.entry(&key.name).or_default();
            cells.insert(&key.attribute, value);
        }
        Self {
            things,
            errors: Vec::new(),
        }
    }

    /// Every thing of a kind, with its first line.
    pub(crate) fn things(&self, kind: SheetKind) -> Vec<ThingRef<'sheet>> {
        let things = self.things.get(&kind).into_iter().flatten();
        things
            .map(|(name, cells)| ThingRef {
                kind,
                name,
                line: cells.values().map(|cell| cell.line).min().unwrap_or(0),
            })
            .collect()
    }

    /// Whether the sheet has this thing.
    pub(crate) fn has(&self, kind: SheetKind, name: &str) -> bool {
        self.things
            .get(&kind)
            .is_some_and(|things| things.contains_key(name))
    }

    /// The cell of an attribute; a missing required one is an error.
    pub(crate) fn cell(
        &mut self,
        thing: ThingRef<'sheet>,
        attribute: &str,
    ) -> Option<&'sheet RowValue> {
        let things = self.things.get(&thing.kind);
        let found = things
            .and_then(|things| things.get(thing.name))
            .and_then(|cells| cells.get(attribute))
            .copied();
        let known = thing.kind.attributes().iter();
        let is_required = known
            .filter(|known| known.required)
            .any(|known| known.name == attribute);
        if found.is_none() && is_required {
            self.missing(thing, attribute);
        }
        found
    }

    /// Notes that a thing lacks an attribute.
    pub(crate) fn missing(&mut self, thing: ThingRef<'sheet>, attribute: &str) {
        let problem = format!("{} {} has no `{attribute}`", thing.kind, thing.name);
        let expected = format!("a row for `{attribute}`");
        self.report(thing.line, SheetColumn::Attribute, problem, expected);
    }

    pub(crate) fn text(&mut self, thing: ThingRef<'sheet>, attribute: &str) -> Arc<str> {
        self.cell(thing, attribute)
            .map_or_else(|| "".into(), |cell| Arc::clone(&cell.text))
    }

    pub(crate) fn number(
        &mut self,
        thing: ThingRef<'sheet>,
        attribute: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(cell) = self.cell(thing, attribute) else {
            return default;
        };
        let value = plain_number(&cell.text).filter(|value| range.contains(value));
        value.unwrap_or_else(|| {
            let expected = format!(
                "a whole number from {} to {} in plain digits",
                range.start(),
                range.end()
            );
            self.bad_value(cell, expected);
            default
        })
    }

    pub(crate) fn small_number(
        &mut self,
        thing: ThingRef<'sheet>,
        attribute: &str,
        default: u32,
        range: RangeInclusive<u32>,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.number(thing, attribute, u64::from(default), range);
        u32::try_from(value).unwrap_or(default)
    }

    pub(crate) fn flag(&mut self, thing: ThingRef<'sheet>, attribute: &str, default: bool) -> bool {
        let Some(cell) = self.cell(thing, attribute) else {
            return default;
        };
        match &*cell.text {
            "yes" => true,
            "no" => false,
            _ => {
                self.bad_value(cell, "`yes` or `no`");
                default
            }
        }
    }

    pub(crate) fn address(&mut self, thing: ThingRef<'sheet>, attribute: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(cell) = self.cell(thing, attribute) else {
            return unset;
        };
        let address: Option<SocketAddr> = cell.text.parse().ok();
        let usable =
            address.filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        usable.unwrap_or_else(|| {
            self.bad_value(cell, "an IP address and port such as 10.0.0.7:9000");
            unset
        })
    }

    pub(crate) fn range(&mut self, thing: ThingRef<'sheet>, attribute: &str) -> LayerRange {
        let Some(cell) = self.cell(thing, attribute) else {
            return LayerRange::default();
        };
        let parse = |text: &str| plain_number(text).and_then(|value| u32::try_from(value).ok());
        let range = cell
            .text
            .split_once("..")
            .and_then(|(start, end)| Some(LayerRange::new(parse(start)?, parse(end)?)));
        range.filter(|range| !range.is_empty()).unwrap_or_else(|| {
            self.bad_value(cell, "layers `START..END` with END excluded, such as 0..12");
            LayerRange::default()
        })
    }

    /// A reference to a thing that the sheet has to define.
    pub(crate) fn reference(
        &mut self,
        thing: ThingRef<'sheet>,
        attribute: &str,
        kind: SheetKind,
    ) -> Arc<str> {
        let Some(cell) = self.cell(thing, attribute) else {
            return "".into();
        };
        self.check_reference(cell.line, SheetColumn::Value, kind, &cell.text);
        Arc::clone(&cell.text)
    }

    /// References separated by spaces.
    pub(crate) fn references(
        &mut self,
        thing: ThingRef<'sheet>,
        attribute: &str,
        kind: SheetKind,
    ) -> Vec<Arc<str>> {
        let Some(cell) = self.cell(thing, attribute) else {
            return Vec::new();
        };
        let mut names: Vec<Arc<str>> = Vec::new();
        for name in cell.text.split(' ') {
            self.check_reference(cell.line, SheetColumn::Value, kind, name);
            if names.iter().any(|known| &**known == name) {
                self.bad_value(cell, "each name once");
            }
            names.push(name.into());
        }
        names
    }

    pub(crate) fn check_reference(
        &mut self,
        line: u64,
        column: SheetColumn,
        kind: SheetKind,
        name: &str,
    ) {
        if !self.has(kind, name) {
            let known = self.things.get(&kind).into_iter().flatten();
            let expected = suggestion(name, known.map(|(name, _)| *name));
            let problem = format!("unknown {kind} `{name}`");
            self.report(line, column, problem, expected);
        }
    }

    pub(crate) fn bad_value<Expected>(&mut self, cell: &RowValue, expected: Expected)
    where
        Expected: Into<Arc<str>>,
    {
        let problem = format!("bad value `{}`", cell.text);
        self.report(cell.line, SheetColumn::Value, problem, expected);
    }

    pub(crate) fn report<Problem, Expected>(
        &mut self,
        line: u64,
        column: SheetColumn,
        problem: Problem,
        expected: Expected,
    ) where
        Problem: Into<Arc<str>>,
        Expected: Into<Arc<str>>,
    {
        self.errors
            .push(SheetError::new(line, column, problem, expected));
    }
}

/// Digits only, and no leading zero: `007` may be a name that a spreadsheet turned into a number.
fn plain_number(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let is_plain = is_digits && (text == "0" || !text.starts_with('0'));
    is_plain.then(|| text.parse().ok()).flatten()
}
