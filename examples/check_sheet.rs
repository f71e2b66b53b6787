//! Reads and compiles the example sheet, then prints the errors of two invalid sheets.

use std::error::Error;

use dandeliondeal::config::{SheetError, example_sheet};
use dandeliondeal::prelude::{SheetModel, compile_sheet, read_sheet};

/// Validates a sheet in two steps.
///
/// Reading checks names and columns; compiling checks values and references. Each step reports all
/// of its errors, so that an operator can correct them together.
fn check(text: &str) -> Result<SheetModel, Vec<SheetError>> {
    let rows = read_sheet(text.as_bytes())?;
    compile_sheet(1, &rows)
}

fn join_errors(errors: &[SheetError]) -> String {
    let lines: Vec<String> = errors.iter().map(SheetError::to_string).collect();
    lines.join("\n")
}

fn show_errors(label: &str, text: &str) -> Result<(), Box<dyn Error>> {
    match check(text) {
        Ok(_) => Err(format!("a sheet with {label} was accepted").into()),
        Err(errors) => {
            println!("{label}:\n{}", join_errors(&errors));
            Ok(())
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let valid_sheet = example_sheet();
    let sheet = check(valid_sheet).map_err(|errors| join_errors(&errors))?;
    println!(
        "sound: {} routes, {} models, {} endpoints, {} organisations",
        sheet.routes.len(),
        sheet.models.len(),
        sheet.endpoints.len(),
        sheet.organisations.len(),
    );
    let misspelt = valid_sheet
        .replacen(",accelerator,", ",acelerator,", 1)
        .replacen(",capacity,", ",capasity,", 1);
    show_errors("misspelt attributes", &misspelt)?;
    let wrong_values = valid_sheet
        .replacen("layers,0..12", "layers,12..0", 1)
        .replacen(
            "pipeline,drafting,model,drafter",
            "pipeline,drafting,model,draft",
            1,
        );
    show_errors("wrong values", &wrong_values)
}
