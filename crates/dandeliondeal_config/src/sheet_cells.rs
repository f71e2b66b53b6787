//! Reads typed values from the cells of a sheet and collects errors.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use dandeliondeal_types::LayerRange;

use crate::nearest_name::suggest_names;
use crate::{RowValue, SheetColumn, SheetError, SheetKind, SheetRows};

/// Values of one entity by attribute.
pub(crate) type EntityCells<'sheet> = BTreeMap<&'sheet str, &'sheet RowValue>;
/// Entities of one kind by name.
pub(crate) type KindEntities<'sheet> = BTreeMap<&'sheet str, EntityCells<'sheet>>;

/// All entities of a sheet, and the errors found so far.
pub(crate) struct SheetCells<'sheet> {
    entities: BTreeMap<SheetKind, KindEntities<'sheet>>,
    pub(crate) errors: Vec<SheetError>,
}

/// Reference to an entity whose values are read.
#[derive(Clone, Copy)]
pub(crate) struct EntityRef<'sheet> {
    pub(crate) kind: SheetKind,
    pub(crate) name: &'sheet str,
    pub(crate) line: u64,
}

impl<'sheet> SheetCells<'sheet> {
    pub(crate) fn new(sheet: &'sheet SheetRows) -> Self {
        let mut entities: BTreeMap<SheetKind, KindEntities<'sheet>> = BTreeMap::new();
        for (key, value) in &sheet.rows {
            let cells = entities.entry(key.kind).or_default();
            let cells = cells.entry(&key.name).or_default();
            cells.insert(&key.attribute, value);
        }
        Self {
            entities,
            errors: Vec::new(),
        }
    }

    /// Returns all entities of a kind, each with its first line.
    pub(crate) fn entities(&self, kind: SheetKind) -> Vec<EntityRef<'sheet>> {
        let entities = self.entities.get(&kind).into_iter().flatten();
        entities
            .map(|(name, cells)| EntityRef {
                kind,
                name,
                line: cells.values().map(|cell| cell.line).min().unwrap_or(0),
            })
            .collect()
    }

    /// Returns whether the sheet defines the entity.
    pub(crate) fn contains(&self, kind: SheetKind, name: &str) -> bool {
        self.entities
            .get(&kind)
            .is_some_and(|entities| entities.contains_key(name))
    }

    /// Returns the value of an attribute; reports an error if a required one is missing.
    pub(crate) fn cell(
        &mut self,
        entity: EntityRef<'sheet>,
        attribute: &str,
    ) -> Option<&'sheet RowValue> {
        let entities = self.entities.get(&entity.kind);
        let found = entities
            .and_then(|entities| entities.get(entity.name))
            .and_then(|cells| cells.get(attribute))
            .copied();
        let schema = entity.kind.attributes().iter();
        let is_required = schema
            .filter(|candidate| candidate.required)
            .any(|candidate| candidate.name == attribute);
        if found.is_none() && is_required {
            self.report_missing(entity, attribute);
        }
        found
    }

    /// Reports that an entity has no row for an attribute.
    pub(crate) fn report_missing(&mut self, entity: EntityRef<'sheet>, attribute: &str) {
        let problem = format!("{} {} has no `{attribute}`", entity.kind, entity.name);
        let expected = format!("a row for `{attribute}`");
        self.push_error(entity.line, SheetColumn::Attribute, problem, expected);
    }

    pub(crate) fn text(&mut self, entity: EntityRef<'sheet>, attribute: &str) -> Arc<str> {
        self.cell(entity, attribute)
            .map_or_else(|| "".into(), |cell| Arc::clone(&cell.text))
    }

    pub(crate) fn number(
        &mut self,
        entity: EntityRef<'sheet>,
        attribute: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(cell) = self.cell(entity, attribute) else {
            return default;
        };
        let value = parse_number(&cell.text).filter(|value| range.contains(value));
        value.unwrap_or_else(|| {
            let expected = format!(
                "a whole number from {} to {} in plain digits",
                range.start(),
                range.end()
            );
            self.report_bad_value(cell, expected);
            default
        })
    }

    pub(crate) fn number_u32(
        &mut self,
        entity: EntityRef<'sheet>,
        attribute: &str,
        default: u32,
        range: RangeInclusive<u32>,
    ) -> u32 {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let value = self.number(entity, attribute, u64::from(default), range);
        u32::try_from(value).unwrap_or(default)
    }

    pub(crate) fn flag(
        &mut self,
        entity: EntityRef<'sheet>,
        attribute: &str,
        default: bool,
    ) -> bool {
        let Some(cell) = self.cell(entity, attribute) else {
            return default;
        };
        match &*cell.text {
            "yes" => true,
            "no" => false,
            _ => {
                self.report_bad_value(cell, "`yes` or `no`");
                default
            }
        }
    }

    pub(crate) fn address(&mut self, entity: EntityRef<'sheet>, attribute: &str) -> SocketAddr {
        let unset_address = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(cell) = self.cell(entity, attribute) else {
            return unset_address;
        };
        let address: Option<SocketAddr> = cell.text.parse().ok();
        let usable_address =
            address.filter(|address| address.port() != 0 && !address.ip().is_unspecified());
        usable_address.unwrap_or_else(|| {
            self.report_bad_value(cell, "an IP address and port such as 10.0.0.7:9000");
            unset_address
        })
    }

    pub(crate) fn range(&mut self, entity: EntityRef<'sheet>, attribute: &str) -> LayerRange {
        let Some(cell) = self.cell(entity, attribute) else {
            return LayerRange::default();
        };
        let parse = |text: &str| parse_number(text).and_then(|value| u32::try_from(value).ok());
        let range = cell
            .text
            .split_once("..")
            .and_then(|(start, end)| Some(LayerRange::new(parse(start)?, parse(end)?)));
        range.filter(|range| !range.is_empty()).unwrap_or_else(|| {
            self.report_bad_value(cell, "layers `START..END` with END excluded, such as 0..12");
            LayerRange::default()
        })
    }

    /// Returns the name of a referenced entity; reports an error if the sheet does not define it.
    pub(crate) fn reference(
        &mut self,
        entity: EntityRef<'sheet>,
        attribute: &str,
        kind: SheetKind,
    ) -> Arc<str> {
        let Some(cell) = self.cell(entity, attribute) else {
            return "".into();
        };
        self.check_reference(cell.line, SheetColumn::Value, kind, &cell.text);
        Arc::clone(&cell.text)
    }

    /// Returns the names of referenced entities, separated by spaces in the cell.
    pub(crate) fn references(
        &mut self,
        entity: EntityRef<'sheet>,
        attribute: &str,
        kind: SheetKind,
    ) -> Vec<Arc<str>> {
        let Some(cell) = self.cell(entity, attribute) else {
            return Vec::new();
        };
        let mut names: Vec<Arc<str>> = Vec::new();
        for name in cell.text.split(' ') {
            self.check_reference(cell.line, SheetColumn::Value, kind, name);
            if names.iter().any(|previous| &**previous == name) {
                self.report_bad_value(cell, "each name once");
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
        if !self.contains(kind, name) {
            let candidates = self.entities.get(&kind).into_iter().flatten();
            let expected = suggest_names(name, candidates.map(|(name, _)| *name));
            let problem = format!("unknown {kind} `{name}`");
            self.push_error(line, column, problem, expected);
        }
    }

    pub(crate) fn report_bad_value<Expected>(&mut self, cell: &RowValue, expected: Expected)
    where
        Expected: Into<Arc<str>>,
    {
        let problem = format!("bad value `{}`", cell.text);
        self.push_error(cell.line, SheetColumn::Value, problem, expected);
    }

    pub(crate) fn push_error<Problem, Expected>(
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

/// Parses a number of digits without leading zeros.
///
/// Leading zeros are rejected: `007` may be a name that a spreadsheet turned into a number.
fn parse_number(text: &str) -> Option<u64> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let is_plain = is_digits && (text == "0" || !text.starts_with('0'));
    is_plain.then(|| text.parse().ok()).flatten()
}
