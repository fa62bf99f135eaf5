//! Parsing of server-sent events.

use bw_relay::event;
use proptest::prelude::*;
use rstest::rstest;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nversion:3\nid: 2\r\ndata: b\ndata: c\n\nid: 3\ndata:d\r\n\r\n";

fn parse(chunks: &[&[u8]]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut parser = event::Parser::default();
    let mut events = Vec::new();
    for chunk in chunks {
        parser.push(chunk);
        while let Some(event) = parser.next_event() {
            events.push((event.id, event.data()));
        }
    }
    (events, parser.is_empty())
}

fn expected() -> Vec<(Option<u64>, String)> {
    let data = ["a", "b\nc", "d"];
    let numbered = data.iter().zip(1..);
    numbered
        .map(|(data, id)| (Some(id), (*data).to_owned()))
        .collect()
}

#[test]
fn a_stream_is_split_into_its_events() {
    assert_eq!(parse(&[STREAM]), (expected(), true));
}

/// Guards against unbounded memory for what a faulty backend server sends.
#[rstest]
#[case::one_event(b"data: x", 0)]
#[case::unnumbered_events(b": still here\n\n", 1)]
fn bytes_without_a_numbered_event_are_limited(#[case] chunk: &[u8], #[case] complete: usize) {
    let mut parser = event::Parser::default();
    let mut sent = 0;
    while !parser.is_too_large() {
        parser.push(chunk);
        while parser.next_event().is_some() {}
        sent += chunk.len();
        assert!(sent <= event::EVENT_BYTES_MAX + chunk.len());
    }
    assert_eq!(parser.is_empty(), complete == 1);
    parser.push(b"\n\nid: 7\ndata: y\n\n");
    while parser.next_event().is_some() {}
    assert!(!parser.is_too_large(), "a numbered event resets the limit");
}

/// Guards against a run that lasts as long as a faulty backend server repeats events.
#[test]
fn repeated_events_are_limited() {
    let mut parser = event::Parser::default();
    let mut repeated = 0;
    while !parser.is_too_large() {
        parser.push(b"id: 1\ndata: x\n\n");
        let event = parser.next_event().expect("a complete event");
        parser.note_repeated(&event);
        repeated += event.bytes.len();
        assert!(repeated <= event::REPEATED_BYTES_MAX + event.bytes.len());
    }
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_matter(mut cuts in proptest::collection::vec(0..STREAM.len(), 0..6)) {
        cuts.sort_unstable();
        cuts.push(STREAM.len());
        let mut chunks = Vec::new();
        let mut start = 0;
        for cut in cuts {
            chunks.push(&STREAM[start..cut]);
            start = cut;
        }
        prop_assert_eq!(parse(&chunks), (expected(), true));
    }
}

#[rstest]
#[case::in_a_line(&STREAM[..20], 1)]
#[case::before_the_blank_line(&STREAM[..14], 0)]
fn an_incomplete_event_is_not_returned(#[case] bytes: &[u8], #[case] complete: usize) {
    let (events, empty) = parse(&[bytes]);
    assert_eq!(events.len(), complete);
    assert!(!empty);
}
