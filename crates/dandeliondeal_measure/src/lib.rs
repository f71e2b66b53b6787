//! Measurements of the real code on loopback.
