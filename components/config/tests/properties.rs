//! Property tests of both parsers with random texts from a fixed seed.

use std::path::Path;

use config::{DaemonSettings, parse_configuration};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ENTRY: &str = include_str!("fixtures/entry.ini");
const AGENT: &str = include_str!("fixtures/agent.ini");
const CLUSTER: &str = include_str!("fixtures/cluster.ini");
const SEED: [u8; 32] = *b"azuretide: seed of the ini texts";
const CASES: u32 = 400;

fn check<S: Strategy>(strategy: S, property: impl Fn(S::Value) -> std::result::Result<(), TestCaseError>) {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    println!("seed {}", String::from_utf8_lossy(&SEED));
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    if let Err(error) = TestRunner::new_with_rng(config, rng).run(&strategy, property) {
        panic!("{error}");
    }
}

fn parse_both(text: &str) -> std::result::Result<(), TestCaseError> {
    let line_count = u32::try_from(text.lines().count()).unwrap_or(u32::MAX).max(1);
    let settings = DaemonSettings::parse(text, Path::new("/")).err();
    let configuration = parse_configuration(text).err();
    for faults in [settings, configuration].into_iter().flatten() {
        prop_assert!(!faults.is_empty());
        prop_assert!(faults.is_sorted_by_key(|fault| fault.line));
        prop_assert!(faults.iter().all(|fault| (1..=line_count).contains(&fault.line)));
    }
    Ok(())
}

/// Generates texts whose lines resemble valid ones, so that they pass the syntax checks and reach the later
/// checks.
fn ini_text() -> impl Strategy<Value = String> {
    let title = "host|ports|cluster|team [a-c]|service [a-c]|backend|log|[ -~]{0,8}";
    let key =
        "name|role|http|kind|depends|budget|max-tokens|failure-domains|key-sha256|price-per-call|[a-z-]{0,9}";
    let value = "entry|agent|model|tool|[a-c](, ?[a-c]){0,3}|[0-9]{0,22}|http://[0-9.:]{0,20}|\\PC{0,12}";
    let line = prop_oneof![
        title.prop_map(|title| format!("[{title}]")),
        (key, value).prop_map(|(key, value)| format!("{key} = {value}")),
        "\\PC{0,20}",
    ];
    proptest::collection::vec(line, 0..60).prop_map(|lines| lines.join("\n"))
}

#[gtest]
fn never_panics_on_any_text() {
    check(any::<String>(), |text| parse_both(&text));
    check("[\\[\\]=:;# \\\\\"'a-c0-9\r\n\t\u{0}]{0,200}", |text| {
        parse_both(&text)
    });
}

#[gtest]
fn never_panics_on_texts_that_resemble_valid_ones() {
    check(ini_text(), |text| parse_both(&text));
}

#[gtest]
fn never_panics_on_random_bytes_and_huge_texts() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..2_000);
    check(bytes, |bytes| parse_both(&String::from_utf8_lossy(&bytes)));
    for piece in [
        "[a]\n",
        "a=1\n",
        "[service a]\nkind=tool\n",
        "[",
        "=",
        "\\",
        "\"",
        ",",
        "\r",
        "é",
    ] {
        let text = piece.repeat(300_000);
        for limit in [256 * 1024 - 8, text.len()] {
            let end = text.floor_char_boundary(limit.min(text.len()));
            expect_that!(parse_both(&text[..end]).is_ok(), eq(true), "{piece:?}");
        }
    }
}

#[gtest]
fn never_panics_when_one_character_is_replaced() {
    for text in [ENTRY, AGENT, CLUSTER] {
        check((0..text.len(), any::<char>()), |(index, inserted)| {
            let mut changed = text.to_owned();
            changed.remove(index);
            changed.insert(index, inserted);
            parse_both(&changed)
        });
    }
}

/// Beginnings of the lines whose keys are optional.
const OPTIONAL: &[&str] = &[
    "folder",
    "heartbeat-ms",
    "suspect-ms",
    "append-spacing-ms",
    "stop-grace-s",
    "body-bytes",
    "connections",
    "header-timeout-ms",
    "address = 127.0.0.1:8125",
    "level",
    "window-s",
    "weight",
    "depends",
    "replicas",
    "failure-domains = colombo-1\n",
    "repeatable",
    "fencing-checked",
    "max-turns",
    "call-timeout-ms",
];

#[gtest]
fn names_the_key_that_was_removed() {
    for text in [ENTRY, AGENT, CLUSTER] {
        let keys = text.lines().enumerate().filter(|(_, line)| line.contains(" = "));
        for (index, line) in keys {
            if OPTIONAL
                .iter()
                .any(|optional| format!("{line}\n").starts_with(optional))
            {
                continue;
            }
            let kept = text.lines().enumerate().filter(|(other, _)| *other != index);
            let kept: Vec<&str> = kept.map(|(_, line)| line).collect();
            let kept = kept.join("\n");
            let faults = if text == CLUSTER {
                parse_configuration(&kept).err()
            } else {
                DaemonSettings::parse(&kept, Path::new("/")).err()
            };
            let key = line.split(" = ").next().unwrap_or_default();
            let named = faults.iter().flatten().any(|fault| fault.key == key);
            expect_that!(named, eq(true), "{line}");
        }
    }
}
