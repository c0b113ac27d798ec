//! `azuretide programs`: lists the programs.

use crate::answer::ProgramRow;
use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_answer;
use crate::error::ToolError;
use crate::output::{or_dash, table, time_text, word};

/// Lists the programs of all entries.
pub(crate) async fn run(options: &EntryOptions) -> Result<String, ToolError> {
    print_answer(options, AdminRequest::get("programs"), |answer| {
        let programs: Vec<ProgramRow> = answer.decode()?;
        Ok(program_table(&programs))
    })
    .await
}

/// Returns one line for each program.
pub(crate) fn program_table(programs: &[ProgramRow]) -> String {
    let header = [
        "PROGRAM", "TEAM", "PARENT", "URGENCY", "DEADLINE", "PHASE", "TENURE", "FINISHED", "OPEN", "CHARGED",
        "MESSAGES",
    ];
    let rows = programs.iter().map(|program| {
        [
            program.program.to_string(),
            program.team.to_string(),
            or_dash(program.parent),
            word(&program.urgency),
            or_dash(program.deadline.map(time_text)),
            word(&program.phase),
            program.tenure.to_string(),
            program.finished_calls.to_string(),
            program.open_calls.to_string(),
            program.charged.to_string(),
            program.messages.to_string(),
        ]
    });
    table(header, rows)
}
