//! Completions as streams of server-sent events. The id of an event is the byte offset behind its text.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream::{self, Stream};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};

use super::ModelEngine;
use super::batch::RequestPhase;
use crate::http::{Reply, typed_reply};

const EVENT_STREAM: &str = "text/event-stream";

/// Reader of a request's output, with the byte offset that it has reached.
struct OutputReader {
    engine: Arc<ModelEngine>,
    id: String,
    offset: usize,
    is_closed: bool,
}

/// Creates a response that sends its headers but never a byte of its body.
pub(super) fn stalled_reply() -> Reply {
    typed_reply(EVENT_STREAM, StreamBody::new(stream::pending()).boxed())
}

/// Creates a response that streams the output of a request from a byte offset on.
pub(super) fn stream_reply(engine: Arc<ModelEngine>, id: String, offset: usize) -> Reply {
    let reader = OutputReader {
        engine,
        id,
        offset,
        is_closed: false,
    };
    typed_reply(EVENT_STREAM, StreamBody::new(read_events(reader)).boxed())
}

fn read_events(reader: OutputReader) -> impl Stream<Item = Result<Frame<Bytes>, Infallible>> {
    stream::unfold(reader, |mut reader| async move {
        let events = reader.next_events().await?;
        Some((Ok(Frame::data(Bytes::from(events))), reader))
    })
}

impl OutputReader {
    async fn next_events(&mut self) -> Option<String> {
        if self.is_closed {
            return None;
        }
        let engine = Arc::clone(&self.engine);
        loop {
            let mut changed = std::pin::pin!(engine.changed.notified());
            changed.as_mut().enable();
            let events = self.available_events();
            if !events.is_empty() {
                return Some(events);
            }
            if self.is_closed {
                return None;
            }
            changed.await;
        }
    }

    fn available_events(&mut self) -> String {
        let engine = Arc::clone(&self.engine);
        let state = engine.lock();
        if state.faults.freeze {
            return String::new();
        }
        let Some(request) = state.batch.requests.get(&self.id) else {
            self.is_closed = true;
            return String::new();
        };
        let mut events = String::new();
        if let Some(text) = request.text.get(self.offset..).filter(|text| !text.is_empty()) {
            self.offset += text.len();
            events += &self.event(
                &request.request.model,
                &json!({"content": text}),
                &json!(null),
                &json!(null),
            );
        }
        match request.phase {
            RequestPhase::Waiting | RequestPhase::Running => {}
            RequestPhase::Cancelled => self.is_closed = true,
            RequestPhase::Finished => {
                self.is_closed = true;
                let record = &request.record;
                let usage = json!({
                    "prompt_tokens": record.prompt_tokens,
                    "completion_tokens": record.completion_tokens,
                    "total_tokens": record.prompt_tokens + record.completion_tokens,
                    "prompt_tokens_details": {"cached_tokens": record.cached_tokens},
                });
                events += &self.event(&request.request.model, &json!({}), &json!("stop"), &usage);
                events += "data: [DONE]\n\n";
            }
        }
        events
    }

    fn event(&self, model: &str, delta: &Value, finish: &Value, usage: &Value) -> String {
        let mut data = json!({
            "id": self.id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        });
        if !usage.is_null() {
            data["usage"] = usage.clone();
        }
        format!("id: {}\ndata: {data}\n\n", self.offset)
    }
}
