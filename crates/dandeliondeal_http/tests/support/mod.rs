//! Endpoints for tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod raw_endpoint;
