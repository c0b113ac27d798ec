//! Splitting of event streams into events.

use googletest::prelude::*;
use routing::EventAssembler;

/// Pieces of a stream in their order of arrival, and the events that they contain.
struct SplitCase {
    name: &'static str,
    pieces: &'static [&'static str],
    ids: &'static [Option<u64>],
    data: &'static str,
    has_partial: bool,
}

#[gtest]
fn events_are_returned_complete_however_their_bytes_arrive() {
    let cases = [
        SplitCase {
            name: "one event",
            pieces: &["id: 1\ndata: a\n\n"],
            ids: &[Some(1)],
            data: "a\n",
            has_partial: false,
        },
        SplitCase {
            name: "two events in one piece",
            pieces: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"],
            ids: &[Some(1), Some(2)],
            data: "a\nb\n",
            has_partial: false,
        },
        SplitCase {
            name: "split inside lines and separators",
            pieces: &["i", "d: 1\nda", "ta: a\n", "\nid:2\n", "data:b", "\n", "\n"],
            ids: &[Some(1), Some(2)],
            data: "a\nb\n",
            has_partial: false,
        },
        SplitCase {
            name: "truncated event",
            pieces: &["id: 1\ndata: a\n\nid: 2\nda"],
            ids: &[Some(1)],
            data: "a\n",
            has_partial: true,
        },
        SplitCase {
            name: "lines end in CR LF",
            pieces: &["id: 7\r\ndata: a\r\n\r\n"],
            ids: &[Some(7)],
            data: "a\n",
            has_partial: false,
        },
        SplitCase {
            name: "several data lines and other fields",
            pieces: &["weight-versions: 3\nid: 1\ndata: a\ndata: b\n\n"],
            ids: &[Some(1)],
            data: "a\nb\n",
            has_partial: false,
        },
        SplitCase {
            name: "no id",
            pieces: &["data: a\n\n"],
            ids: &[None],
            data: "a\n",
            has_partial: false,
        },
    ];
    for case in cases {
        let mut assembler = EventAssembler::default();
        let mut ids = Vec::new();
        let mut data = Vec::new();
        let mut returned = String::new();
        for piece in case.pieces {
            assembler.push(piece.as_bytes());
            while let Some(event) = assembler.next_event() {
                ids.push(event.id);
                event.append_data(&mut data);
                returned.push_str(std::str::from_utf8(&event.bytes).expect("text"));
            }
        }
        expect_that!(ids, eq(case.ids), "{}", case.name);
        expect_that!(String::from_utf8_lossy(&data), eq(case.data), "{}", case.name);
        expect_that!(assembler.has_partial(), eq(case.has_partial), "{}", case.name);
        expect_that!(case.pieces.concat(), starts_with(returned), "{}", case.name);
    }
}
