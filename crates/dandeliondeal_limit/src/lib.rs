//! Organisation limits over the whole fleet, queues and shedding.
