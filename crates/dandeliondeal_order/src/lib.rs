//! Orders to endpoints with fencing numbers.
