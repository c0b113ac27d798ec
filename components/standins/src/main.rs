//! Binary that runs one of the stand-ins, the demo or the measurement.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    match standins::standin_command().run().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
