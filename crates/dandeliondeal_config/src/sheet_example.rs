//! The sheet that `sheet example` prints and standalone mode runs.

/// Key of the organisation in the example, as a caller sends it.
pub const EXAMPLE_KEY: &str = "example-key-of-workshop-didube";

/// A sheet with a model over four engines of two accelerator kinds, and a plain service.
pub fn example_sheet() -> &'static str {
    include_str!("../data/example-sheet.csv")
}
