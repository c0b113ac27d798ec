//! One module for each subcommand.

mod apply;
mod audit;
mod cancel;
mod check;
mod drain;
mod history;
mod programs;
mod show;
mod status;
mod usage;

use domain::Generation;

use crate::cli::{EntryOptions, ToolCommand};
use crate::client::{AdminClient, AdminRequest, EntryResponse};
use crate::error::ToolError;

/// Runs a command and returns the text for standard output.
pub(crate) async fn run(command: ToolCommand) -> Result<String, ToolError> {
    match command {
        ToolCommand::Check { json, file } => check::run(json, &file),
        ToolCommand::Apply { options, base, file } => apply::run(&options, Generation(base), &file).await,
        ToolCommand::Show { options } => show::run(&options).await,
        ToolCommand::Status { options } => status::run(&options).await,
        ToolCommand::Audit { options, after } => audit::run(&options, after).await,
        ToolCommand::Usage { options, team } => usage::run(&options, &team).await,
        ToolCommand::Programs { options } => programs::run(&options).await,
        ToolCommand::History { options, program } => history::run(&options, program).await,
        ToolCommand::Drain { options, host } => drain::run(&options, &host).await,
        ToolCommand::Cancel { options, program } => cancel::run(&options, program).await,
    }
}

/// Sends a request and returns the unchanged body with `--json`, otherwise the text that `print` makes of it.
async fn print_response(
    options: &EntryOptions,
    request: AdminRequest,
    print: impl FnOnce(&EntryResponse) -> Result<String, ToolError>,
) -> Result<String, ToolError> {
    let response = AdminClient::new(options)?.call(&request).await?;
    if options.json {
        Ok(format!("{}\n", response.text()))
    } else {
        print(&response)
    }
}
