//! `azuretide cancel`: cancels a program.

use domain::ProgramKey;

use crate::answer::ProgramRow;
use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_answer;
use crate::cmd::programs::program_table;
use crate::error::ToolError;

/// Cancels a program and shows its final state.
pub(crate) async fn run(options: &EntryOptions, program: ProgramKey) -> Result<String, ToolError> {
    print_answer(
        options,
        AdminRequest::post(format!("programs/{program}/cancel")),
        |answer| {
            let program: ProgramRow = answer.decode()?;
            Ok(program_table(&[program]))
        },
    )
    .await
}
