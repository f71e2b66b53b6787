//! Example sheet, which `sheet example` prints and standalone mode uses.

/// API key of the organisation in the example sheet, as a caller sends it.
pub const EXAMPLE_KEY: &str = "example-key-of-workshop-didube";

/// Returns a sheet with a model on four engines of two accelerator kinds, and a plain service.
pub fn example_sheet() -> &'static str {
    include_str!("../data/example-sheet.csv")
}
