//! Compiles the things of each kind.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dandeliondeal_types::sheet_model::{
    AcceleratorEntry, EndpointEntry, EndpointTarget, LimitEntry, LinkEntry, ModelEntry,
    OrganisationEntry, PipelineEntry, RouteEntry, ServiceEntry,
};
use dandeliondeal_types::{
    AcceleratorKind, EndpointId, FailureDomain, LayerRange, ModelId, OrganisationId, PipelineId,
    Region, RouteId, ServiceId, SheetModel,
};

use crate::sheet_cells::{SheetCells, ThingRef};
use crate::{SheetColumn, SheetKind};

/// Layers that a model may have.
const LAYER_LIMIT: u32 = 4_096;
/// Tokens that a context may have.
const CONTEXT_LIMIT: u32 = 16_777_216;
/// Capacity of an endpoint for which the sheet names none.
const DEFAULT_CAPACITY: u32 = 8;
/// Timeout of a service for which the sheet names none, in milliseconds.
const DEFAULT_TIMEOUT: u64 = 30_000;
/// Length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

fn read_kind<Entry, Read>(
    cells: &mut SheetCells<'_>,
    kind: SheetKind,
    read: Read,
) -> BTreeMap<Arc<str>, Entry>
where
    Read: for<'sheet> Fn(&mut SheetCells<'sheet>, ThingRef<'sheet>) -> Entry,
{
    let things = cells.things(kind);
    things
        .into_iter()
        .map(|thing| (thing.name.into(), read(cells, thing)))
        .collect()
}

pub(crate) fn read_failure_domains(cells: &mut SheetCells<'_>) -> BTreeMap<FailureDomain, Region> {
    read_kind(cells, SheetKind::FailureDomain, |cells, thing| {
        cells.text(thing, "region")
    })
}

pub(crate) fn read_accelerators(
    cells: &mut SheetCells<'_>,
) -> BTreeMap<AcceleratorKind, AcceleratorEntry> {
    read_kind(cells, SheetKind::Accelerator, |cells, thing| {
        AcceleratorEntry {
            layer_nanoseconds: cells.number(thing, "layer_ns", 1, 1..=1_000_000_000),
        }
    })
}

pub(crate) fn read_models(cells: &mut SheetCells<'_>) -> BTreeMap<ModelId, ModelEntry> {
    read_kind(cells, SheetKind::Model, |cells, thing| ModelEntry {
        layers: cells.small_number(thing, "layers", 1, 1..=LAYER_LIMIT),
        context_tokens: cells.small_number(thing, "context_tokens", 1, 1..=CONTEXT_LIMIT),
        version: read_version(cells, thing),
    })
}

fn read_version<'sheet>(cells: &mut SheetCells<'sheet>, thing: ThingRef<'sheet>) -> Arc<str> {
    let Some(cell) = cells.cell(thing, "version") else {
        return "".into();
    };
    if cell.text.parse::<f64>().is_ok() {
        // A spreadsheet turns 1.10 into 1.1.
        cells.bad_value(cell, "a version that starts with a letter, such as v1.10");
    }
    Arc::clone(&cell.text)
}

pub(crate) fn read_services(cells: &mut SheetCells<'_>) -> BTreeMap<ServiceId, ServiceEntry> {
    read_kind(cells, SheetKind::Service, |cells, thing| ServiceEntry {
        repeatable: cells.flag(thing, "repeatable", false),
        settles: cells.flag(thing, "settles", false),
        timeout: Duration::from_millis(cells.number(
            thing,
            "timeout_ms",
            DEFAULT_TIMEOUT,
            1..=86_400_000,
        )),
    })
}

pub(crate) fn read_routes(cells: &mut SheetCells<'_>) -> BTreeMap<RouteId, RouteEntry> {
    read_kind(cells, SheetKind::Route, |cells, thing| RouteEntry {
        pipeline: cells.reference(thing, "pipeline", SheetKind::Pipeline),
        repeatable: cells.flag(thing, "repeatable", true),
        priority: u8::try_from(cells.small_number(thing, "priority", 5, 0..=9)).unwrap_or(5),
    })
}

pub(crate) fn read_pipelines(cells: &mut SheetCells<'_>) -> BTreeMap<PipelineId, PipelineEntry> {
    read_kind(cells, SheetKind::Pipeline, |cells, thing| PipelineEntry {
        model: cells.reference(thing, "model", SheetKind::Model),
        failure_domains: cells.references(thing, "failure_domains", SheetKind::FailureDomain),
    })
}

pub(crate) fn read_endpoints(
    cells: &mut SheetCells<'_>,
    domains: &BTreeMap<FailureDomain, Region>,
    models: &BTreeMap<ModelId, ModelEntry>,
) -> BTreeMap<EndpointId, EndpointEntry> {
    let endpoints = read_kind(cells, SheetKind::Endpoint, |cells, thing| {
        let failure_domain = cells.reference(thing, "failure_domain", SheetKind::FailureDomain);
        EndpointEntry {
            address: cells.address(thing, "address"),
            target: read_target(cells, thing, models),
            accelerator: cells.reference(thing, "accelerator", SheetKind::Accelerator),
            region: domains
                .get(&failure_domain)
                .cloned()
                .unwrap_or_else(|| "".into()),
            failure_domain,
            checks_fencing: cells.flag(thing, "checks_fencing", false),
            capacity: cells.small_number(thing, "capacity", DEFAULT_CAPACITY, 1..=65_536),
        }
    });
    check_addresses(cells, &endpoints);
    endpoints
}

fn read_target<'sheet>(
    cells: &mut SheetCells<'sheet>,
    thing: ThingRef<'sheet>,
    models: &BTreeMap<ModelId, ModelEntry>,
) -> EndpointTarget {
    if cells.cell(thing, "service").is_some() {
        for attribute in ["model", "layers", "accelerator", "checks_fencing"] {
            if let Some(cell) = cells.cell(thing, attribute) {
                let problem = format!("a replica of a service has `{attribute}`");
                cells.report(
                    cell.line,
                    SheetColumn::Attribute,
                    problem,
                    "either `service` or `model`",
                );
            }
        }
        return EndpointTarget::Service {
            service: cells.reference(thing, "service", SheetKind::Service),
        };
    }
    for attribute in ["model", "layers", "accelerator"] {
        if cells.cell(thing, attribute).is_none() {
            cells.missing(thing, attribute);
        }
    }
    let model = cells.reference(thing, "model", SheetKind::Model);
    let range = cells.range(thing, "layers");
    check_range(cells, thing, models.get(&model), range);
    EndpointTarget::Layers { model, range }
}

fn check_range<'sheet>(
    cells: &mut SheetCells<'sheet>,
    thing: ThingRef<'sheet>,
    model: Option<&ModelEntry>,
    range: LayerRange,
) {
    let Some(model) = model.filter(|model| range.end > model.layers) else {
        return;
    };
    if let Some(cell) = cells.cell(thing, "layers") {
        cells.bad_value(cell, format!("layers within 0..{}", model.layers));
    }
}

fn check_addresses(cells: &mut SheetCells<'_>, endpoints: &BTreeMap<EndpointId, EndpointEntry>) {
    let mut owners = BTreeMap::new();
    for thing in cells.things(SheetKind::Endpoint) {
        let Some(entry) = endpoints
            .get(thing.name)
            .filter(|entry| entry.address.port() != 0)
        else {
            continue;
        };
        if let Some(owner) = owners.insert(entry.address, thing.name) {
            let problem = format!(
                "{} and {owner} have the address {}",
                thing.name, entry.address
            );
            let line = cells
                .cell(thing, "address")
                .map_or(thing.line, |cell| cell.line);
            cells.report(line, SheetColumn::Value, problem, "an address of its own");
        }
    }
}

pub(crate) fn read_organisations(
    cells: &mut SheetCells<'_>,
) -> BTreeMap<OrganisationId, OrganisationEntry> {
    let mut owners = BTreeMap::new();
    let mut organisations = BTreeMap::new();
    for thing in cells.things(SheetKind::Organisation) {
        let entry = OrganisationEntry {
            key_hashes: read_hashes(cells, thing, &mut owners),
            weight: cells.small_number(thing, "weight", 1, 1..=1_000_000),
        };
        organisations.insert(thing.name.into(), entry);
    }
    organisations
}

fn read_hashes<'sheet>(
    cells: &mut SheetCells<'sheet>,
    thing: ThingRef<'sheet>,
    owners: &mut BTreeMap<&'sheet str, &'sheet str>,
) -> Vec<Arc<str>> {
    let Some(cell) = cells.cell(thing, "key_sha256") else {
        return Vec::new();
    };
    let mut hashes = Vec::new();
    for hash in cell.text.split(' ') {
        let is_hex = hash
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if hash.len() != HASH_DIGITS || !is_hex {
            // The text may be a key by mistake, so it is not shown.
            let problem = format!("a key hash of {} letters", hash.len());
            let expected = "the SHA-256 of the key as 64 lower-case hexadecimal digits";
            cells.report(cell.line, SheetColumn::Value, problem, expected);
        }
        if let Some(owner) = owners.insert(hash, thing.name) {
            let problem = format!("{owner} has the same key");
            cells.report(
                cell.line,
                SheetColumn::Value,
                problem,
                "a key of one organisation",
            );
        }
        hashes.push(hash.into());
    }
    hashes
}

pub(crate) fn read_limits(cells: &mut SheetCells<'_>) -> BTreeMap<OrganisationId, LimitEntry> {
    read_kind(cells, SheetKind::Limit, |cells, thing| {
        cells.check_reference(
            thing.line,
            SheetColumn::Name,
            SheetKind::Organisation,
            thing.name,
        );
        LimitEntry {
            requests_per_second: cells.small_number(thing, "requests_per_second", 0, 1..=1_000_000),
            tokens_per_second: cells.small_number(thing, "tokens_per_second", 0, 1..=100_000_000),
            concurrency: cells.small_number(thing, "concurrency", 0, 1..=1_000_000),
        }
    })
}

pub(crate) fn read_links(cells: &mut SheetCells<'_>) -> Vec<LinkEntry> {
    let mut seen = BTreeSet::new();
    let mut links = Vec::new();
    for thing in cells.things(SheetKind::Link) {
        let (from, to) = thing.name.split_once('/').unwrap_or((thing.name, ""));
        for end in [from, to] {
            cells.check_reference(thing.line, SheetColumn::Name, SheetKind::FailureDomain, end);
        }
        if from == to || !seen.insert((from.min(to), from.max(to))) {
            let problem = format!("link {} is doubled or has one end", thing.name);
            let expected = "one link for each two failure domains, named `A/B`";
            cells.report(thing.line, SheetColumn::Name, problem, expected);
        }
        links.push(LinkEntry {
            from: from.into(),
            to: to.into(),
            delay_microseconds: cells.number(thing, "delay_us", 0, 0..=60_000_000),
            kilobytes_per_second: cells.number(thing, "rate_kbytes", 1, 1..=1_000_000_000_000),
        });
    }
    links
}

/// Checks that each pipeline has a chain of ranges over all layers, and each service a replica.
pub(crate) fn check_coverage(cells: &mut SheetCells<'_>, model: &SheetModel) {
    for thing in cells.things(SheetKind::Pipeline) {
        if let Some(pipeline) = model.pipelines.get(thing.name) {
            check_pipeline(cells, thing, model, pipeline);
        }
    }
    for thing in cells.things(SheetKind::Service) {
        let is_served = model.endpoints.values().any(|entry| {
            matches!(&entry.target, EndpointTarget::Service { service } if &**service == thing.name)
        });
        if !is_served {
            let problem = format!("service {} has no endpoint", thing.name);
            cells.report(
                thing.line,
                SheetColumn::Name,
                problem,
                "at least one replica",
            );
        }
    }
}

fn check_pipeline(
    cells: &mut SheetCells<'_>,
    thing: ThingRef<'_>,
    model: &SheetModel,
    pipeline: &PipelineEntry,
) {
    let layers = model
        .models
        .get(&pipeline.model)
        .map_or(0, |entry| entry.layers);
    let ranges: BTreeSet<LayerRange> = model
        .endpoints
        .values()
        .filter(|entry| {
            pipeline.failure_domains.is_empty()
                || pipeline.failure_domains.contains(&entry.failure_domain)
        })
        .filter_map(|entry| match &entry.target {
            EndpointTarget::Layers { model, range } if *model == pipeline.model => Some(*range),
            _ => None,
        })
        .collect();
    // Ranges are in order of their start, so one pass finds every boundary that a chain reaches.
    let mut reached = BTreeSet::from([0]);
    for range in &ranges {
        if reached.contains(&range.start) {
            reached.insert(range.end);
        }
    }
    let furthest = reached.last().copied().unwrap_or(0);
    if furthest < layers {
        let problem = format!(
            "no chain of endpoints covers layers 0..{layers} of {}: gap or overlap at layer {furthest}",
            pipeline.model
        );
        let expected = format!("an endpoint whose layers start at {furthest}");
        cells.report(thing.line, SheetColumn::Name, problem, expected);
    }
}
