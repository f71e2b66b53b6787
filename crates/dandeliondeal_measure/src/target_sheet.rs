//! A sheet of the target size.

use std::fmt::Write;

use dandeliondeal_config::sheet_rows::{SHEET_END, SHEET_HEADER};

use crate::fleet_site::DOMAINS;

/// Replicas of the target.
pub const REPLICAS: usize = 1_700;
/// Organisations of the target.
pub const ORGANISATIONS: usize = 220;
/// Models of the target.
pub const MODELS: usize = 13;
/// Accelerator kinds of the target.
pub const ACCELERATORS: usize = 7;

const LAYERS: usize = 48;
/// Layer ranges that a model is divided into.
const STAGES: usize = 4;

/// The sheet as CSV; `capacity` is that of the first endpoint.
pub fn target_sheet(capacity: u32) -> String {
    let mut text = format!("{SHEET_HEADER}\n");
    for index in 0..DOMAINS {
        let _ = writeln!(
            text,
            "failure-domain,domain-{index},region,region-{}",
            index % 2
        );
    }
    for index in 0..ACCELERATORS {
        let _ = writeln!(text, "accelerator,kind-{index},layer_ns,{}", 50_000 + index);
    }
    for index in 0..MODELS {
        let _ = writeln!(
            text,
            "model,model-{index},layers,{LAYERS}\nmodel,model-{index},context_tokens,8192\n\
             model,model-{index},version,v1\npipeline,pipeline-{index},model,model-{index}\n\
             route,route-{index},pipeline,pipeline-{index}"
        );
    }
    for index in 0..REPLICAS {
        let capacity = if index == 0 { capacity } else { 16 };
        let stage = index / MODELS % STAGES;
        let (start, end) = (stage * LAYERS / STAGES, (stage + 1) * LAYERS / STAGES);
        let _ = writeln!(
            text,
            "endpoint,engine-{index},address,10.0.{}.{}:9000\n\
             endpoint,engine-{index},failure_domain,domain-{}\n\
             endpoint,engine-{index},model,model-{}\n\
             endpoint,engine-{index},layers,{start}..{end}\n\
             endpoint,engine-{index},accelerator,kind-{}\n\
             endpoint,engine-{index},capacity,{capacity}",
            index / 250,
            index % 250 + 1,
            index % DOMAINS,
            index % MODELS,
            index % ACCELERATORS,
        );
    }
    for index in 0..ORGANISATIONS {
        let _ = writeln!(
            text,
            "organisation,organisation-{index},key_sha256,{index:064x}\n\
             limit,organisation-{index},tokens_per_second,{}",
            1_000 + index
        );
    }
    let _ = writeln!(text, "{SHEET_END}");
    text
}
