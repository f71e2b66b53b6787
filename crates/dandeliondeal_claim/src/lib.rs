//! At-most-once claims for non-repeatable requests.
