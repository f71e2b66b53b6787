//! Compiles the entities of each kind into entries of the model.

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

use crate::sheet_cells::{EntityRef, SheetCells};
use crate::{SheetColumn, SheetKind};

/// Maximum number of layers of a model.
const MODEL_LAYERS_LIMIT: u32 = 4_096;
/// Maximum context length, in tokens.
const CONTEXT_TOKENS_LIMIT: u32 = 16_777_216;
/// Capacity of an endpoint without a value in the sheet, in concurrent requests.
const DEFAULT_CAPACITY: u32 = 8;
/// Timeout of a service without a value in the sheet, in milliseconds.
const DEFAULT_TIMEOUT_MILLISECONDS: u64 = 30_000;
/// Length of a SHA-256 in hexadecimal digits.
const HASH_DIGITS: usize = 64;

fn read_kind<Entry, Read>(
    cells: &mut SheetCells<'_>,
    kind: SheetKind,
    read: Read,
) -> BTreeMap<Arc<str>, Entry>
where
    Read: for<'sheet> Fn(&mut SheetCells<'sheet>, EntityRef<'sheet>) -> Entry,
{
    let entities = cells.entities(kind);
    entities
        .into_iter()
        .map(|entity| (entity.name.into(), read(cells, entity)))
        .collect()
}

pub(crate) fn read_failure_domains(cells: &mut SheetCells<'_>) -> BTreeMap<FailureDomain, Region> {
    read_kind(cells, SheetKind::FailureDomain, |cells, entity| {
        cells.text(entity, "region")
    })
}

pub(crate) fn read_accelerators(
    cells: &mut SheetCells<'_>,
) -> BTreeMap<AcceleratorKind, AcceleratorEntry> {
    read_kind(cells, SheetKind::Accelerator, |cells, entity| {
        AcceleratorEntry {
            layer_nanoseconds: cells.number(entity, "layer_ns", 1, 1..=1_000_000_000),
        }
    })
}

pub(crate) fn read_models(cells: &mut SheetCells<'_>) -> BTreeMap<ModelId, ModelEntry> {
    read_kind(cells, SheetKind::Model, |cells, entity| ModelEntry {
        layers: cells.number_u32(entity, "layers", 1, 1..=MODEL_LAYERS_LIMIT),
        context_tokens: cells.number_u32(entity, "context_tokens", 1, 1..=CONTEXT_TOKENS_LIMIT),
        version: read_version(cells, entity),
    })
}

fn read_version<'sheet>(cells: &mut SheetCells<'sheet>, entity: EntityRef<'sheet>) -> Arc<str> {
    let Some(cell) = cells.cell(entity, "version") else {
        return "".into();
    };
    if cell.text.parse::<f64>().is_ok() {
        // A spreadsheet would turn 1.10 into 1.1.
        cells.report_bad_value(cell, "a version that starts with a letter, such as v1.10");
    }
    Arc::clone(&cell.text)
}

pub(crate) fn read_services(cells: &mut SheetCells<'_>) -> BTreeMap<ServiceId, ServiceEntry> {
    read_kind(cells, SheetKind::Service, |cells, entity| ServiceEntry {
        repeatable: cells.flag(entity, "repeatable", false),
        settles: cells.flag(entity, "settles", false),
        timeout: Duration::from_millis(cells.number(
            entity,
            "timeout_ms",
            DEFAULT_TIMEOUT_MILLISECONDS,
            1..=86_400_000,
        )),
    })
}

pub(crate) fn read_routes(cells: &mut SheetCells<'_>) -> BTreeMap<RouteId, RouteEntry> {
    read_kind(cells, SheetKind::Route, |cells, entity| RouteEntry {
        pipeline: cells.reference(entity, "pipeline", SheetKind::Pipeline),
        repeatable: cells.flag(entity, "repeatable", true),
        priority: u8::try_from(cells.number_u32(entity, "priority", 5, 0..=9)).unwrap_or(5),
    })
}

pub(crate) fn read_pipelines(cells: &mut SheetCells<'_>) -> BTreeMap<PipelineId, PipelineEntry> {
    read_kind(cells, SheetKind::Pipeline, |cells, entity| PipelineEntry {
        model: cells.reference(entity, "model", SheetKind::Model),
        failure_domains: cells.references(entity, "failure_domains", SheetKind::FailureDomain),
    })
}

pub(crate) fn read_endpoints(
    cells: &mut SheetCells<'_>,
    region_by_domain: &BTreeMap<FailureDomain, Region>,
    models: &BTreeMap<ModelId, ModelEntry>,
) -> BTreeMap<EndpointId, EndpointEntry> {
    let endpoints = read_kind(cells, SheetKind::Endpoint, |cells, entity| {
        let failure_domain = cells.reference(entity, "failure_domain", SheetKind::FailureDomain);
        EndpointEntry {
            address: cells.address(entity, "address"),
            target: read_target(cells, entity, models),
            accelerator: cells.reference(entity, "accelerator", SheetKind::Accelerator),
            region: region_by_domain
                .get(&failure_domain)
                .cloned()
                .unwrap_or_else(|| "".into()),
            failure_domain,
            checks_fencing: cells.flag(entity, "checks_fencing", false),
            capacity: cells.number_u32(entity, "capacity", DEFAULT_CAPACITY, 1..=65_536),
        }
    });
    check_addresses(cells, &endpoints);
    endpoints
}

fn read_target<'sheet>(
    cells: &mut SheetCells<'sheet>,
    entity: EntityRef<'sheet>,
    models: &BTreeMap<ModelId, ModelEntry>,
) -> EndpointTarget {
    if cells.cell(entity, "service").is_some() {
        for attribute in ["model", "layers", "accelerator", "checks_fencing"] {
            if let Some(cell) = cells.cell(entity, attribute) {
                let problem = format!("a replica of a service has `{attribute}`");
                cells.push_error(
                    cell.line,
                    SheetColumn::Attribute,
                    problem,
                    "either `service` or `model`",
                );
            }
        }
        return EndpointTarget::Service {
            service: cells.reference(entity, "service", SheetKind::Service),
        };
    }
    for attribute in ["model", "layers", "accelerator"] {
        if cells.cell(entity, attribute).is_none() {
            cells.report_missing(entity, attribute);
        }
    }
    let model = cells.reference(entity, "model", SheetKind::Model);
    let range = cells.range(entity, "layers");
    check_range(cells, entity, models.get(&model), range);
    EndpointTarget::Layers { model, range }
}

fn check_range<'sheet>(
    cells: &mut SheetCells<'sheet>,
    entity: EntityRef<'sheet>,
    model: Option<&ModelEntry>,
    range: LayerRange,
) {
    let Some(model) = model.filter(|model| range.end > model.layers) else {
        return;
    };
    if let Some(cell) = cells.cell(entity, "layers") {
        cells.report_bad_value(cell, format!("layers within 0..{}", model.layers));
    }
}

fn check_addresses(cells: &mut SheetCells<'_>, endpoints: &BTreeMap<EndpointId, EndpointEntry>) {
    let mut owner_by_address = BTreeMap::new();
    for entity in cells.entities(SheetKind::Endpoint) {
        let Some(entry) = endpoints
            .get(entity.name)
            .filter(|entry| entry.address.port() != 0)
        else {
            continue;
        };
        if let Some(owner) = owner_by_address.insert(entry.address, entity.name) {
            let problem = format!(
                "{} and {owner} have the address {}",
                entity.name, entry.address
            );
            let line = cells
                .cell(entity, "address")
                .map_or(entity.line, |cell| cell.line);
            cells.push_error(line, SheetColumn::Value, problem, "an address of its own");
        }
    }
}

pub(crate) fn read_organisations(
    cells: &mut SheetCells<'_>,
) -> BTreeMap<OrganisationId, OrganisationEntry> {
    let mut owner_by_hash = BTreeMap::new();
    let mut organisations = BTreeMap::new();
    for entity in cells.entities(SheetKind::Organisation) {
        let entry = OrganisationEntry {
            key_hashes: read_hashes(cells, entity, &mut owner_by_hash),
            weight: cells.number_u32(entity, "weight", 1, 1..=1_000_000),
        };
        organisations.insert(entity.name.into(), entry);
    }
    organisations
}

fn read_hashes<'sheet>(
    cells: &mut SheetCells<'sheet>,
    entity: EntityRef<'sheet>,
    owner_by_hash: &mut BTreeMap<&'sheet str, &'sheet str>,
) -> Vec<Arc<str>> {
    let Some(cell) = cells.cell(entity, "key_sha256") else {
        return Vec::new();
    };
    let mut hashes = Vec::new();
    for hash in cell.text.split(' ') {
        let is_hex = hash
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if hash.len() != HASH_DIGITS || !is_hex {
            // The text may be a secret key that was entered by mistake, so the error does not show
            // it.
            let problem = format!("a key hash of {} letters", hash.len());
            let expected = "the SHA-256 of the key as 64 lower-case hexadecimal digits";
            cells.push_error(cell.line, SheetColumn::Value, problem, expected);
        }
        if let Some(owner) = owner_by_hash.insert(hash, entity.name) {
            let problem = format!("{owner} has the same key");
            cells.push_error(
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
    read_kind(cells, SheetKind::Limit, |cells, entity| {
        cells.check_reference(
            entity.line,
            SheetColumn::Name,
            SheetKind::Organisation,
            entity.name,
        );
        LimitEntry {
            requests_per_second: cells.number_u32(entity, "requests_per_second", 0, 1..=1_000_000),
            tokens_per_second: cells.number_u32(entity, "tokens_per_second", 0, 1..=100_000_000),
            concurrency: cells.number_u32(entity, "concurrency", 0, 1..=1_000_000),
        }
    })
}

pub(crate) fn read_links(cells: &mut SheetCells<'_>) -> Vec<LinkEntry> {
    let mut linked_domains = BTreeSet::new();
    let mut links = Vec::new();
    for entity in cells.entities(SheetKind::Link) {
        let (from, to) = entity.name.split_once('/').unwrap_or((entity.name, ""));
        for end in [from, to] {
            cells.check_reference(
                entity.line,
                SheetColumn::Name,
                SheetKind::FailureDomain,
                end,
            );
        }
        if from == to || !linked_domains.insert((from.min(to), from.max(to))) {
            let problem = format!("link {} is doubled or has one end", entity.name);
            let expected = "one link for each two failure domains, named `A/B`";
            cells.push_error(entity.line, SheetColumn::Name, problem, expected);
        }
        links.push(LinkEntry {
            from: from.into(),
            to: to.into(),
            delay_microseconds: cells.number(entity, "delay_us", 0, 0..=60_000_000),
            kilobytes_per_second: cells.number(entity, "rate_kbytes", 1, 1..=1_000_000_000_000),
        });
    }
    links
}

/// Checks that endpoints cover all layers of each pipeline and that each service has a replica.
pub(crate) fn check_coverage(cells: &mut SheetCells<'_>, model: &SheetModel) {
    for entity in cells.entities(SheetKind::Pipeline) {
        if let Some(pipeline) = model.pipelines.get(entity.name) {
            check_pipeline(cells, entity, model, pipeline);
        }
    }
    for entity in cells.entities(SheetKind::Service) {
        let is_served = model.endpoints.values().any(|entry| {
            matches!(
                &entry.target,
                EndpointTarget::Service { service } if &**service == entity.name
            )
        });
        if !is_served {
            let problem = format!("service {} has no endpoint", entity.name);
            cells.push_error(
                entity.line,
                SheetColumn::Name,
                problem,
                "at least one replica",
            );
        }
    }
}

fn check_pipeline(
    cells: &mut SheetCells<'_>,
    entity: EntityRef<'_>,
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
    // The ranges are sorted by their start, so one pass finds every layer boundary that a chain
    // of adjacent ranges reaches.
    let mut reachable_layers = BTreeSet::from([0]);
    for range in &ranges {
        if reachable_layers.contains(&range.start) {
            reachable_layers.insert(range.end);
        }
    }
    let furthest_layer = reachable_layers.last().copied().unwrap_or(0);
    if furthest_layer < layers {
        let problem = format!(
            "no chain of endpoints covers layers 0..{layers} of {}: \
             gap or overlap at layer {furthest_layer}",
            pipeline.model
        );
        let expected = format!("an endpoint whose layers start at {furthest_layer}");
        cells.push_error(entity.line, SheetColumn::Name, problem, expected);
    }
}
