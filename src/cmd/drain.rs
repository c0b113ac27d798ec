//! `azuretide drain`: takes a process out of service.

use domain::HostName;

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_answer;
use crate::error::ToolError;

/// Tells a process to leave.
pub(crate) async fn run(options: &EntryOptions, host: &HostName) -> Result<String, ToolError> {
    let request = AdminRequest::post(format!("hosts/{host}/drain"));
    print_answer(options, request, |_answer| Ok(format!("{host} is leaving\n"))).await
}
