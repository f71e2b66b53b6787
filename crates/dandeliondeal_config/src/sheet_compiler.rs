//! Compiles the rows of a sheet into the model that instances use.

use dandeliondeal_types::{Revision, SheetModel};

use crate::sheet_cells::SheetCells;
use crate::sheet_entries::{
    check_coverage, read_accelerators, read_endpoints, read_failure_domains, read_limits,
    read_links, read_models, read_organisations, read_pipelines, read_routes, read_services,
};
use crate::{SheetError, SheetRows};

/// Validates a whole sheet and compiles it.
///
/// # Errors
///
/// Returns all errors, sorted by row.
///
/// # Examples
///
/// ```
/// use dandeliondeal_config::{compile_sheet, example_sheet, read_sheet};
///
/// let sheet = read_sheet(example_sheet().as_bytes()).unwrap();
/// let model = compile_sheet(1, &sheet).unwrap();
/// assert!(model.routes.contains_key("drafting-desk"));
/// ```
pub fn compile_sheet(revision: Revision, sheet: &SheetRows) -> Result<SheetModel, Vec<SheetError>> {
    let mut cells = SheetCells::new(sheet);
    let failure_domains = read_failure_domains(&mut cells);
    let accelerators = read_accelerators(&mut cells);
    let models = read_models(&mut cells);
    let services = read_services(&mut cells);
    let model = SheetModel {
        revision,
        routes: read_routes(&mut cells),
        pipelines: read_pipelines(&mut cells),
        endpoints: read_endpoints(&mut cells, &failure_domains, &models),
        organisations: read_organisations(&mut cells),
        limits: read_limits(&mut cells),
        links: read_links(&mut cells),
        failure_domains,
        accelerators,
        models,
        services,
    };
    if cells.errors.is_empty() {
        check_coverage(&mut cells, &model);
    }
    if cells.errors.is_empty() {
        return Ok(model);
    }
    cells.errors.sort_by_key(|error| (error.row, error.column));
    Err(cells.errors)
}
