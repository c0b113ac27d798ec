//! Command-line tool for the operators of azuretide.

mod cli;
mod client;
mod cmd;
mod error;
mod output;
mod response;

use std::io::Write as _;
use std::process::ExitCode;

use crate::cli::{ToolCommand, tool_command};
use crate::error::{ExitStatus, ToolError};

const MESSAGE_WIDTH_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let command = match tool_command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH_COLUMNS);
            let status = if failure.exit_code() == 0 {
                ExitStatus::Done
            } else {
                ExitStatus::Usage
            };
            return status.into();
        }
    };
    let json = command.prints_json();
    match run(command) {
        Ok(text) => {
            print(&text);
            ExitStatus::Done.into()
        }
        Err(error) => {
            if json {
                print(&format!("{}\n", error.to_json()));
            } else {
                eprint!("{}", error.to_text());
            }
            error.status().into()
        }
    }
}

fn run(command: ToolCommand) -> Result<String, ToolError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.map_err(|error| ToolError::Usage(format!("the runtime does not start: {error}")))?;
    runtime.block_on(cmd::run(command))
}

/// Prints on standard output. A failed write is not reported, because it means that the reader has closed the
/// pipe and needs no further output.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}
