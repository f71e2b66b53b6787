//! Typed client of the object API and the instance list.
