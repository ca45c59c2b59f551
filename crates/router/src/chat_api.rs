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

use crate::chat::{Chat, Piece};
use crate::chat_request::ChatRequest;
use crate::metrics::EndLabels;
use crate::node::Node;
use crate::platform::Platform;
use crate::reply;

/// Answer pieces buffered for a slow caller before the stream waits for it.
const PIECE_BUFFER: usize = 64;

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
    let view = node.view();
    if view.classes.revisions().is_empty() {
        return reply::refusal(ResultCode::NoConfiguration, Millis(500));
    }
    let rule = view.classes.rule(&content.class).filter(|rule| rule.kind == UpstreamKind::Model);
    let Some(rule) = rule.cloned() else {
        return reply::refusal(ResultCode::UnknownClass, Millis(0));
    };
    let (class, streamed) = (content.class.clone(), content.stream);
    let (out, pieces) = bounded(PIECE_BUFFER);
    let chat = Chat::new(node.clone(), request.clone(), customer, content, rule, out);
    node.traffic.spawn(run_with_metrics(node.clone(), class.clone(), chat)).detach();
    match pieces.recv().await {
        Ok(Piece::Token(first)) if streamed => stream_reply(request, class, first, pieces),
        Ok(Piece::Token(first)) => buffered_reply(&request, &class, first, &pieces).await,
        Ok(Piece::End(code, retry)) => reply::refusal(code, retry),
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

/// Encodes a piece as server-sent events; only a whole answer ends with `[DONE]`.
fn piece_events(request: &RequestId, class: &ClassName, piece: Piece) -> String {
    match piece {
        Piece::Token(text) => chunk_event(request, class, Some(&text)),
        Piece::End(ResultCode::Done, _) => format!("{}data: [DONE]\n\n", chunk_event(request, class, None)),
        Piece::End(code, retry) => format!("data: {}\n\n", reply::error_json(code, retry)),
    }
}

fn stream_reply(request: RequestId, class: ClassName, first: String, pieces: Receiver<Piece>) -> Response {
    let first = futures_util::stream::iter([Piece::Token(first)]);
    let events = first.chain(pieces).map(move |piece| Ok::<_, io::Error>(piece_events(&request, &class, piece)));
    let reader = Box::pin(events).into_async_read();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", "text/event-stream");
    reply::set_result_headers(&mut response, ResultCode::Done, Millis(0));
    response
}

async fn buffered_reply(request: &RequestId, class: &ClassName, first: String, pieces: &Receiver<Piece>) -> Response {
    let mut text = first;
    loop {
        match pieces.recv().await {
            Ok(Piece::Token(next)) => text.push_str(&next),
            Ok(Piece::End(ResultCode::Done, _)) => break,
            Ok(Piece::End(code, retry)) => return reply::refusal(code, retry),
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
