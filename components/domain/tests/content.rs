//! Keys of what requests ask for.

use domain::RequestContent;
use googletest::prelude::*;

/// Another request beside `POST calls.example/a` with a body of two thousand bytes, and the keys that both share.
struct ContentCase {
    name: &'static str,
    parts: [&'static str; 3],
    body: Vec<u8>,
    same_whole: bool,
    same_leading: bool,
}

#[gtest]
fn requests_with_the_same_content_share_their_keys() {
    const PARTS: [&str; 3] = ["POST", "calls.example", "/a"];
    let body = vec![b'x'; 2_000];
    let case = |name, parts, body: &[u8], same_whole, same_leading| ContentCase {
        name,
        parts,
        body: body.to_vec(),
        same_whole,
        same_leading,
    };
    let (mut grown, mut other) = (body.clone(), body.clone());
    grown.extend(b"more");
    other[0] = b'y';
    let cases = [
        case("the same", PARTS, &body, true, true),
        case("a longer body", PARTS, &grown, false, true),
        case("another beginning", PARTS, &other, false, false),
        case(
            "another method",
            ["PUT", "calls.example", "/a"],
            &body,
            false,
            false,
        ),
        case(
            "another host",
            ["POST", "other.example", "/a"],
            &body,
            false,
            false,
        ),
        case(
            "another query",
            ["POST", "calls.example", "/a?b"],
            &body,
            false,
            false,
        ),
        case(
            "parts divided differently",
            ["POST", "calls.exampl", "e/a"],
            &body,
            false,
            false,
        ),
    ];
    let first = RequestContent::new(PARTS[0], PARTS[1], PARTS[2], &body);
    for case in cases {
        let [method, host, target] = case.parts;
        let content = RequestContent::new(method, host, target, &case.body);
        expect_that!(content.whole == first.whole, eq(case.same_whole), "{}", case.name);
        expect_that!(
            content.leading == first.leading,
            eq(case.same_leading),
            "{}",
            case.name
        );
    }
    let short = RequestContent::new(PARTS[0], PARTS[1], PARTS[2], b"short");
    expect_that!(short.whole, eq(short.leading));
}
