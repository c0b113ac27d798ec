//! `azuretide cancel`: cancels a program.

use domain::ProgramKey;

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_response;
use crate::cmd::programs::program_table;
use crate::error::ToolError;
use crate::response::ProgramRow;

/// Cancels a program and shows its final state.
pub(crate) async fn run(options: &EntryOptions, program: ProgramKey) -> Result<String, ToolError> {
    print_response(
        options,
        AdminRequest::post(format!("programs/{program}/cancel")),
        |response| {
            let program: ProgramRow = response.decode()?;
            Ok(program_table(&[program]))
        },
    )
    .await
}
