//! Generates a sheet at the target scale, the size that the router is designed for.

use std::fmt::Write;

use dandeliondeal_config::sheet_rows::{SHEET_END, SHEET_HEADER};

use crate::fleet_testbed::FAILURE_DOMAINS;

/// Number of replicas at the target scale.
pub const REPLICAS: usize = 1_700;
/// Number of organisations at the target scale.
pub const ORGANISATIONS: usize = 220;
/// Number of models at the target scale.
pub const MODELS: usize = 13;
/// Number of accelerator kinds at the target scale.
pub const ACCELERATORS: usize = 7;

/// Number of layers of each model.
const LAYERS: usize = 48;
/// Number of layer ranges that a model is divided into.
const STAGES: usize = 4;

/// Returns the sheet as CSV text, in which the first endpoint has the given capacity.
pub fn target_sheet(capacity: u32) -> String {
    let mut csv = format!("{SHEET_HEADER}\n");
    for index in 0..FAILURE_DOMAINS {
        let _ = writeln!(
            csv,
            "failure-domain,domain-{index},region,region-{}",
            index % 2
        );
    }
    for index in 0..ACCELERATORS {
        let _ = writeln!(csv, "accelerator,kind-{index},layer_ns,{}", 50_000 + index);
    }
    for index in 0..MODELS {
        let _ = writeln!(
            csv,
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
            csv,
            "endpoint,engine-{index},address,10.0.{}.{}:9000\n\
             endpoint,engine-{index},failure_domain,domain-{}\n\
             endpoint,engine-{index},model,model-{}\n\
             endpoint,engine-{index},layers,{start}..{end}\n\
             endpoint,engine-{index},accelerator,kind-{}\n\
             endpoint,engine-{index},capacity,{capacity}",
            index / 250,
            index % 250 + 1,
            index % FAILURE_DOMAINS,
            index % MODELS,
            index % ACCELERATORS,
        );
    }
    for index in 0..ORGANISATIONS {
        let _ = writeln!(
            csv,
            "organisation,organisation-{index},key_sha256,{index:064x}\n\
             limit,organisation-{index},tokens_per_second,{}",
            1_000 + index
        );
    }
    let _ = writeln!(csv, "{SHEET_END}");
    csv
}
