//! Router for model pipelines over mixed accelerators.
