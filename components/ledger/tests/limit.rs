//! Limits of backend servers that entries tell one another.

use domain::{InstanceKey, RequestRate};
use googletest::prelude::*;
use ledger::{LimitReport, LimitTable};

const fn report(rate: Option<u64>, heard_ms_ago: u64) -> LimitReport {
    LimitReport {
        instance: InstanceKey(7),
        rate: match rate {
            Some(rate) => Some(RequestRate(rate)),
            None => None,
        },
        heard_ms_ago,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KnownLimit {
    Nothing,
    Lifted,
    Rate(u64),
}

/// Reports with the times at which they arrive, in milliseconds, and what is known a second after the last one.
struct ReportCase {
    name: &'static str,
    reports: Vec<(u64, LimitReport)>,
    known: KnownLimit,
    changes: u64,
}

#[gtest]
fn the_latest_statement_of_a_server_counts_in_whatever_order_entries_report_it() {
    use KnownLimit::{Lifted, Nothing, Rate};
    let case = |name, reports, known, changes| ReportCase {
        name,
        reports,
        known,
        changes,
    };
    let named = report(Some(4_000), 0);
    let cases = [
        case("named", vec![(5_000, named)], Rate(4_000), 1),
        case(
            "named twice",
            vec![(5_000, named), (6_000, named)],
            Rate(4_000),
            1,
        ),
        case(
            "another rate",
            vec![(5_000, named), (6_000, report(Some(9_000), 0))],
            Rate(9_000),
            1,
        ),
        case(
            "lifted",
            vec![(5_000, named), (6_000, report(None, 0))],
            Lifted,
            2,
        ),
        case(
            "an old report of the limit",
            vec![(5_000, report(None, 0)), (6_000, report(Some(4_000), 2_000))],
            Lifted,
            1,
        ),
        case(
            "an old report of its end",
            vec![(5_000, named), (6_000, report(None, 2_000))],
            Rate(4_000),
            1,
        ),
        case(
            "forgotten",
            vec![(5_000, report(None, 0)), (90_000, report(None, 85_000))],
            Nothing,
            1,
        ),
    ];
    for case in cases {
        let mut table = LimitTable::default();
        let last = case.reports.last().expect("a report").0;
        for (at_ms, report) in case.reports {
            table.record(&[report], at_ms);
        }
        let reports = table.reports(last + 1_000);
        let known = match reports.first() {
            None => Nothing,
            Some(report) => report.rate.map_or(Lifted, |rate| Rate(rate.0)),
        };
        expect_that!(known, eq(case.known), "{}", case.name);
        expect_that!(table.changes(), eq(case.changes), "{}", case.name);
    }
}
