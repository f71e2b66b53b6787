//! Endpoint health, choice, slow start and the retry budget.
