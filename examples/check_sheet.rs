//! Reads and compiles the example sheet, then shows what is wrong with broken ones.

use std::error::Error;

use dandeliondeal::config::{SheetError, example_sheet};
use dandeliondeal::prelude::{SheetModel, compile_sheet, read_sheet};

/// Reading checks names and shape; compiling checks values and what they refer to.
///
/// Each step reports all of its errors at once, so that an operator mends them in one go.
fn check(text: &str) -> Result<SheetModel, Vec<SheetError>> {
    let rows = read_sheet(text.as_bytes())?;
    compile_sheet(1, &rows)
}

fn joined(errors: &[SheetError]) -> String {
    let lines: Vec<String> = errors.iter().map(SheetError::to_string).collect();
    lines.join("\n")
}

fn show_broken(what: &str, text: &str) -> Result<(), Box<dyn Error>> {
    match check(text) {
        Ok(_) => Err(format!("a sheet with {what} passed").into()),
        Err(errors) => {
            println!("{what}:\n{}", joined(&errors));
            Ok(())
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let sound = example_sheet();
    let sheet = check(sound).map_err(|errors| joined(&errors))?;
    println!(
        "sound: {} routes, {} models, {} endpoints, {} organisations",
        sheet.routes.len(),
        sheet.models.len(),
        sheet.endpoints.len(),
        sheet.organisations.len(),
    );
    let misspelt =
        sound
            .replacen(",accelerator,", ",acelerator,", 1)
            .replacen(",capacity,", ",capasity,", 1);
    show_broken("misspelt attributes", &misspelt)?;
    let wrong = sound.replacen("layers,0..12", "layers,12..0", 1).replacen(
        "pipeline,drafting,model,drafter",
        "pipeline,drafting,model,draft",
        1,
    );
    show_broken("wrong values", &wrong)
}
