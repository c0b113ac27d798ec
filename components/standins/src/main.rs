//! Development stand-ins for the platform, the engines and the services.

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
