//! The board as the planner sees it, for one request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::{EndpointId, EndpointView};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::endpoint_board::EndpointBoard;

/// The endpoints that one request may use.
///
/// Of each group only a few sampled endpoints are usable, the same for the life of the view, so
/// that instances which plan at the same moment do not all meet at the one that looks best.
#[derive(Debug)]
pub struct BoardView<'board> {
    board: &'board EndpointBoard,
    now: Instant,
    is_repeatable: bool,
    random: RefCell<SmallRng>,
    samples: RefCell<HashMap<Arc<str>, Vec<usize>>>,
}

impl<'board> BoardView<'board> {
    pub(crate) fn new(
        board: &'board EndpointBoard,
        is_repeatable: bool,
        seed: u64,
        now: Instant,
    ) -> Self {
        Self {
            board,
            now,
            is_repeatable,
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            samples: RefCell::default(),
        }
    }
}

impl EndpointView for BoardView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        let Some(slot) = self.board.slot_of(endpoint) else {
            return false;
        };
        let group = self.board.group_of(slot);
        let mut samples = self.samples.borrow_mut();
        if let Some(slots) = samples.get(group) {
            return slots.contains(&slot);
        }
        let random = &mut *self.random.borrow_mut();
        let slots = self.board.sample(group, self.is_repeatable, random);
        let is_usable = slots.contains(&slot);
        samples.insert(Arc::clone(group), slots);
        is_usable
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.board.expected_wait(endpoint, self.now)
    }
}

/// Every endpoint that one request may use.
#[derive(Debug)]
pub struct WholeView<'board> {
    board: &'board EndpointBoard,
    now: Instant,
    is_repeatable: bool,
}

impl<'board> WholeView<'board> {
    pub(crate) fn new(board: &'board EndpointBoard, is_repeatable: bool, now: Instant) -> Self {
        Self {
            board,
            now,
            is_repeatable,
        }
    }
}

impl EndpointView for WholeView<'_> {
    fn is_usable(&self, endpoint: &EndpointId) -> bool {
        self.board.is_usable(endpoint, self.is_repeatable)
    }

    fn expected_wait(&self, endpoint: &EndpointId) -> Duration {
        self.board.expected_wait(endpoint, self.now)
    }
}
