//! Chat completions over HTTP, as a stream of server-sent events or as one JSON reply.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::{Receiver, bounded};
use futures_util::{StreamExt, TryStreamExt};
use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use teaselcroft_parts::{ClassName, CustomerName, Millis, RequestId};
use teaselcroft_policy::{ResultCode, UpstreamKind};

use crate::chat::{AnswerItem, Chat};
use crate::chat_request::ChatRequest;
use crate::metrics::EndLabels;
use crate::node::Node;
use crate::platform::Platform;
use crate::reply;

/// Answer items buffered for a slow caller; when the buffer is full, the chat completion waits.
const ITEM_BUFFER: usize = 64;

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Content<'a> {
    role: &'static str,
    content: &'a str,
}

/// Serves a chat completion request. The HTTP status is chosen once the first token or a refusal is known.
pub async fn complete<P: Platform>(
    node: Arc<Node<P>>,
    request: RequestId,
    customer: CustomerName,
    body: &[u8],
) -> Response {
    let Ok(content) = ChatRequest::parse(body) else {
        return reply::refusal(ResultCode::Malformed, Millis(0));
    };
    let snapshot = node.snapshot();
    if snapshot.classes.revisions().is_empty() {
        return reply::refusal(ResultCode::NoConfiguration, Millis(500));
    }
    let rule = snapshot.classes.rule(&content.class).filter(|rule| rule.kind == UpstreamKind::Model);
    let Some(rule) = rule.cloned() else {
        return reply::refusal(ResultCode::UnknownClass, Millis(0));
    };
    let (class, streamed) = (content.class.clone(), content.stream);
    let (out, items) = bounded(ITEM_BUFFER);
    let chat = Chat::new(node.clone(), request.clone(), customer, content, rule, out);
    node.traffic.spawn(run_with_metrics(node.clone(), class.clone(), chat)).detach();
    match items.recv().await {
        Ok(AnswerItem::Token(first)) if streamed => stream_reply(request, class, first, items),
        Ok(AnswerItem::Token(first)) => buffered_reply(&request, &class, first, &items).await,
        Ok(AnswerItem::End(code, retry)) => reply::refusal(code, retry),
        Err(_) => reply::refusal(ResultCode::StreamBroken, Millis(0)),
    }
}

async fn run_with_metrics<P: Platform>(node: Arc<Node<P>>, class: ClassName, chat: Chat<P>) {
    let began = node.clock.now();
    node.in_flight.fetch_add(1, Ordering::AcqRel);
    node.metrics.in_flight.inc();
    let code = chat.run().await;
    node.metrics.in_flight.dec();
    node.in_flight.fetch_sub(1, Ordering::AcqRel);
    let labels = EndLabels { class: class.to_string(), code: code.number() };
    node.metrics.ended.get_or_create(&labels).inc();
    node.metrics.request_seconds.observe(node.clock.now().since(began).0 as f64 / 1_000.0);
}

fn chunk_event(request: &RequestId, class: &ClassName, text: Option<&str>) -> String {
    let delta = text.map(|content| Content { role: "assistant", content });
    let finish_reason = if text.is_none() { Some("stop") } else { None };
    let chunk = Chunk {
        id: request.as_str(),
        object: "chat.completion.chunk",
        model: class.as_str(),
        choices: [Choice { index: 0, delta, message: None, finish_reason }],
    };
    format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap_or_default())
}

/// Encodes an item as server-sent events; only a complete answer ends with `[DONE]`.
fn item_events(request: &RequestId, class: &ClassName, item: AnswerItem) -> String {
    match item {
        AnswerItem::Token(text) => chunk_event(request, class, Some(&text)),
        AnswerItem::End(ResultCode::Done, _) => format!("{}data: [DONE]\n\n", chunk_event(request, class, None)),
        AnswerItem::End(code, retry) => format!("data: {}\n\n", reply::error_json(code, retry)),
    }
}

fn stream_reply(request: RequestId, class: ClassName, first: String, items: Receiver<AnswerItem>) -> Response {
    let first = futures_util::stream::iter([AnswerItem::Token(first)]);
    let events = first.chain(items).map(move |item| Ok::<_, io::Error>(item_events(&request, &class, item)));
    let reader = Box::pin(events).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    reply::set_result_headers(&mut response, ResultCode::Done, Millis(0));
    response
}

async fn buffered_reply(
    request: &RequestId,
    class: &ClassName,
    first: String,
    items: &Receiver<AnswerItem>,
) -> Response {
    let mut text = first;
    loop {
        match items.recv().await {
            Ok(AnswerItem::Token(next)) => text.push_str(&next),
            Ok(AnswerItem::End(ResultCode::Done, _)) => break,
            Ok(AnswerItem::End(code, retry)) => return reply::refusal(code, retry),
            Err(_) => return reply::refusal(ResultCode::StreamBroken, Millis(0)),
        }
    }
    let message = Some(Content { role: "assistant", content: &text });
    let chunk = Chunk {
        id: request.as_str(),
        object: "chat.completion",
        model: class.as_str(),
        choices: [Choice { index: 0, delta: None, message, finish_reason: Some("stop") }],
    };
    let mut response = reply::json(StatusCode::Ok, &chunk);
    reply::set_result_headers(&mut response, ResultCode::Done, Millis(0));
    response
}
