//! The route table in force, which is replaced as a whole.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dandeliondeal_types::Revision;

use crate::route_table::RouteTable;

/// Holds the [`RouteTable`] in force; clones share it.
///
/// A request reads the table once and uses it until its end.
#[derive(Clone, Debug, Default)]
pub struct TableCell {
    table: Rc<RefCell<Arc<RouteTable>>>,
}

impl TableCell {
    /// Returns the table in force.
    pub fn current(&self) -> Arc<RouteTable> {
        Arc::clone(&self.table.borrow())
    }

    /// Returns the revision of the sheet in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.table.borrow().sheet.revision
    }

    /// Puts a table in force if its revision is higher; returns whether it did.
    pub fn install(&self, table: RouteTable) -> bool {
        if table.sheet.revision <= self.revision() {
            return false;
        }
        *self.table.borrow_mut() = Arc::new(table);
        true
    }
}
