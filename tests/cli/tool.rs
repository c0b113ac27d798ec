//! Subcommands of the tool: requests, printed tables and exit statuses.

use crate::fake_entry::{FakeEntry, ToolFolder, ToolOutput, closed_address};
use expect_test::expect_file;
use googletest::prelude::*;

const TEXT: &str =
    "[cluster]\nfailure-domains = a\nprogram-latency-weight = 600\nwasted-cache-weight = 400\n";
const PROGRAM: &str = r#"{"program":"p-1-2","team":"kelanimatch","parent":"p-1-1","urgency":"interactive",
"deadline":1796330060000,"phase":"running","tenure":2,"finished_calls":5,"open_calls":1,"charged":420,"messages":11}"#;
const STATUS: &str = r#"{"generation":7,"hosts":[
{"name":"entry-1","role":"entry","failure_domain":"colombo-1","start":3,"generation":7,"leaving":false,"heard_ms":12,"load":null},
{"name":"worker-1","role":"agent","failure_domain":"colombo-2","start":99,"generation":6,"leaving":true,"heard_ms":480,
"load":{"service":"matcher","queued":4,"running":8,"capacity":8,"pending_tokens":900,"cache_used":70,"cache_size":100,"healthy":true,"model":"loaded"}}],
"members":{"next":4,"members":[{"incarnation":3,"host":"entry-1","failure_domain":"colombo-1","address":"127.0.0.1:7101",
"joined":1796330000000,"state":"live"}]},
"budgets":[{"team":"kelanimatch","window_start":1796330000000,"limit":50000000,"spent":420,"reserved":80,"left":49999500}]}"#;
const HISTORY: &str = r#"{"program":"p-1-2","messages":[{"role":"user","content":"match invoice 7\nagainst order 9"},
{"role":"assistant","content":"matched \u001b[31m"}]}"#;
const USAGE: &str = r#"{"team":"kelanimatch","window_start":1796330000000,"limit":50000000,"spent":420,"reserved":80,
"left":49999500}"#;
const AUDIT: &str = r#"{"number":1,"time":1796330000000,"operator":"bo","action":"drain","subject":"worker-1",
"detail":""}"#;

fn fake() -> FakeEntry {
    let entry = FakeEntry::start(7, TEXT);
    entry.state().responses.extend([
        ("status", (200, STATUS)),
        ("programs", (200, "[PROGRAM]")),
        ("programs/p-1-2/history", (200, HISTORY)),
        ("programs/p-1-2/cancel", (200, PROGRAM)),
        ("usage/kelanimatch", (200, USAGE)),
        ("hosts/worker-1/drain", (202, "\"worker-1\"")),
    ]);
    entry.state().responses.insert("programs", (200, programs()));
    entry.state().audit.push(AUDIT.to_owned());
    entry
}

fn programs() -> &'static str {
    Box::leak(format!("[{PROGRAM}]").into_boxed_str())
}

/// A subcommand and the requests that it sends; `printed/` holds the expected table.
struct PrintCase {
    command: &'static [&'static str],
    requests: &'static [&'static str],
}

const PRINT_CASES: &[PrintCase] = &[
    PrintCase {
        command: &["status"],
        requests: &["GET status by ana", "GET programs by ana"],
    },
    PrintCase {
        command: &["audit", "--after=0"],
        requests: &["GET audit?after=0 by ana"],
    },
    PrintCase {
        command: &["usage", "kelanimatch"],
        requests: &["GET usage/kelanimatch by ana"],
    },
    PrintCase {
        command: &["programs"],
        requests: &["GET programs by ana"],
    },
    PrintCase {
        command: &["history", "p-1-2"],
        requests: &["GET programs/p-1-2/history by ana"],
    },
    PrintCase {
        command: &["drain", "worker-1"],
        requests: &["POST hosts/worker-1/drain by ana"],
    },
    PrintCase {
        command: &["cancel", "p-1-2"],
        requests: &["POST programs/p-1-2/cancel by ana"],
    },
    PrintCase {
        command: &["show"],
        requests: &["GET configuration by ana"],
    },
];

#[gtest]
fn prints_a_table_by_default() {
    for PrintCase { command, requests } in PRINT_CASES {
        let (entry, folder) = (fake(), ToolFolder::new());
        let output = ToolOutput::run(folder.tool(command[0], &[entry.address]).args(&command[1..]));
        expect_that!(output.status, eq(0), "{output:?}");
        expect_that!(entry.state().requests, eq(requests));
        expect_file![format!("printed/{}.txt", command[0])].assert_eq(&output.stdout);
    }
}

#[gtest]
fn prints_the_unchanged_body_as_json() {
    let (entry, folder) = (fake(), ToolFolder::new());
    let cases = [
        ("status", "", STATUS),
        ("programs", "", programs()),
        ("usage", "kelanimatch", USAGE),
    ];
    for (command, argument, body) in cases {
        let arguments = ["--json", argument]
            .into_iter()
            .filter(|argument| !argument.is_empty());
        let output = ToolOutput::run(folder.tool(command, &[entry.address]).args(arguments));
        expect_that!(output.stdout, eq(&format!("{body}\n")));
    }
    let output = ToolOutput::run(folder.tool("show", &[entry.address]).arg("--json"));
    expect_that!(
        output.stdout,
        eq(&format!(
            "{}\n",
            serde_json::json!({ "generation": 7, "text": TEXT })
        ))
    );
}

#[gtest]
fn prints_the_generation_on_standard_error() {
    let (entry, folder) = (fake(), ToolFolder::new());
    let output = ToolOutput::run(&mut folder.tool("show", &[entry.address]));
    expect_that!(output.stderr, eq("generation 7\n"));
}

/// Arguments, and the expected exit status and part of standard error.
struct StatusCase {
    arguments: &'static [&'static str],
    status: i32,
    stderr: &'static str,
}

const STATUS_CASES: &[StatusCase] = &[
    StatusCase {
        arguments: &["usage", "nobody"],
        status: 1,
        stderr: "refused: 1003 message of the fake entry",
    },
    StatusCase {
        arguments: &["usage", "no/body"],
        status: 2,
        stderr: "a name cannot contain '/'",
    },
    StatusCase {
        arguments: &["cancel", "7"],
        status: 2,
        stderr: "a program id has the form p-N-N",
    },
    StatusCase {
        arguments: &["drain"],
        status: 2,
        stderr: "expected `HOST`",
    },
    StatusCase {
        arguments: &["polish"],
        status: 2,
        stderr: "polish",
    },
    StatusCase {
        arguments: &["status", "--key-file=/nonexistent"],
        status: 2,
        stderr: "key-file",
    },
    StatusCase {
        arguments: &["status", "--operator=a\u{7}b"],
        status: 2,
        stderr: "operator: ",
    },
    StatusCase {
        arguments: &["apply", "--base=1", "/nonexistent"],
        status: 2,
        stderr: "/nonexistent: ",
    },
    StatusCase {
        arguments: &["apply", "--base=-1", "x"],
        status: 2,
        stderr: "couldn't parse `-1`",
    },
];

#[gtest]
fn exits_with_the_documented_status() {
    let (entry, folder) = (fake(), ToolFolder::new());
    for StatusCase {
        arguments,
        status,
        stderr,
    } in STATUS_CASES
    {
        let output = ToolOutput::run(folder.tool(arguments[0], &[entry.address]).args(&arguments[1..]));
        expect_that!(output.status, eq(*status), "{arguments:?} {output:?}");
        expect_that!(output.stderr, contains_substring(*stderr), "{arguments:?}");
    }
    let output = ToolOutput::run(&mut folder.tool("status", &[closed_address(), closed_address()]));
    expect_that!(output.status, eq(5), "{output:?}");
}

#[gtest]
fn is_refused_with_a_wrong_key() {
    let (entry, folder) = (fake(), ToolFolder::new());
    folder.file("operator.key", "another key\n");
    let output = ToolOutput::run(&mut folder.tool("status", &[entry.address]));
    expect_that!(output.status, eq(1));
    expect_that!(
        output.stderr,
        eq("azuretide: refused: 2001 message of the fake entry\n")
    );
    let output = ToolOutput::run(folder.tool("status", &[entry.address]).arg("--json"));
    expect_that!(output.stdout, starts_with("{\"error\":{\"code\":2001,"));
}

#[gtest]
fn checks_a_text_without_an_entry() {
    let folder = ToolFolder::new();
    let check = |name: &str, content: &str, json: bool| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_azuretide"));
        command
            .arg("check")
            .args(json.then_some("--json"))
            .arg(folder.file(name, content));
        ToolOutput::run(&mut command)
    };
    let output = check("good.ini", TEXT, false);
    expect_that!(output.status, eq(0));
    expect_that!(
        output.stdout,
        eq("no fault: 1 failure domains, 0 teams, 0 services\n")
    );
    let output = check("bad.ini", "[cluster]\nx = \u{1b}[2J\n", false);
    expect_that!(output.status, eq(3));
    expect_that!(output.stderr, contains_substring("line 2 [cluster] x: 6004"));
    let output = check("bad.ini", "[cluster]\nx = 1\n", true);
    expect_that!(output.status, eq(3));
    expect_that!(output.stdout, starts_with("{\"faults\":[{\"code\":6005,"));
}

#[gtest]
fn completes_subcommands_in_a_shell() {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_azuretide"));
    let output = ToolOutput::run(command.args(["--bpaf-complete-rev=8", "us"]));
    expect_that!(output.stdout, contains_substring("usage"));
}
