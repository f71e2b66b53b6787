//! Membership between instances and the spread of revisions.
