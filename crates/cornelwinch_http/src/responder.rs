use std::fmt;
use std::fmt::Write;
use std::sync::Arc;
use std::time::SystemTime;

use http::{HeaderName, HeaderValue};
use tokio::sync::oneshot;

use crate::exchange::Exchange;
use crate::head::reason_phrase;

/// What becomes of a request.
pub(crate) enum Reply {
    Answer(Answer),
    /// The connection is reset.
    Reset,
}

pub(crate) struct Answer {
    status: u16,
    content_type: &'static str,
    headers: Vec<(String, String)>,
    body: String,
}

impl Answer {
    /// Bytes of the answer; `connection` is its `Connection` line, if any, and the
    /// answer to `HEAD` has no body.
    pub(crate) fn into_bytes(self, connection: &str, is_head: bool) -> Vec<u8> {
        let Self {
            status,
            content_type,
            headers,
            body,
        } = self;
        let date = httpdate::fmt_http_date(SystemTime::now());
        let mut text = format!(
            "HTTP/1.1 {status} {}\r\nDate: {date}\r\n",
            reason_phrase(status)
        );
        if !content_type.is_empty() {
            push_field(&mut text, "Content-Type", content_type);
        }
        for (name, value) in &headers {
            push_field(&mut text, name, value);
        }
        // RFC 9110, 8.6: no length in an answer with status 204.
        if status != 204 {
            push_field(&mut text, "Content-Length", &body.len().to_string());
        }
        text.push_str(connection);
        text.push_str("\r\n");
        if !is_head && status != 204 {
            text.push_str(&body);
        }
        text.into_bytes()
    }
}

fn push_field(text: &mut String, name: &str, value: &str) {
    let is_valid =
        HeaderName::from_bytes(name.as_bytes()).is_ok() && HeaderValue::from_str(value).is_ok();
    if is_valid {
        write!(text, "{name}: {value}\r\n").expect("writing to a string does not fail");
    } else {
        log::warn!("event=header_dropped name={name:?}");
    }
}

/// Answers one request; it may be sent to another thread and used later.
///
/// A responder that is dropped unused answers 500.
pub struct Responder {
    reply: Option<oneshot::Sender<Reply>>,
    exchange: Arc<Exchange>,
    headers: Vec<(String, String)>,
}

impl Responder {
    pub(crate) fn new(exchange: Arc<Exchange>) -> (Self, oneshot::Receiver<Reply>) {
        let (tx, rx) = oneshot::channel();
        let responder = Self {
            reply: Some(tx),
            exchange,
            headers: Vec::new(),
        };
        (responder, rx)
    }

    /// Adds a header field to the answer.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Answers with a JSON text.
    pub fn json(mut self, status: u16, body: impl Into<String>) {
        self.finish(status, "application/json", body.into());
    }

    /// Answers with a plain text.
    pub fn text(mut self, status: u16, body: impl Into<String>) {
        self.finish(status, "text/plain; charset=utf-8", body.into());
    }

    /// Answers without a body.
    pub fn empty(mut self, status: u16) {
        self.finish(status, "", String::new());
    }

    /// Resets the caller's connection in place of an answer.
    pub fn reset(mut self) {
        self.send(Reply::Reset);
    }

    /// Reports whether the caller disconnected before it was answered.
    pub fn is_caller_gone(&self) -> bool {
        self.exchange.is_gone()
    }

    /// Runs `f` once when the caller disconnects before it is answered, at
    /// once if it already has. It runs in the listener's thread and must not
    /// block.
    pub fn on_caller_gone(&self, f: impl FnOnce() + Send + 'static) {
        self.exchange.set_hook(Box::new(f));
    }

    fn finish(&mut self, status: u16, content_type: &'static str, body: String) {
        let headers = std::mem::take(&mut self.headers);
        self.send(Reply::Answer(Answer {
            status,
            content_type,
            headers,
            body,
        }));
    }

    fn send(&mut self, reply: Reply) {
        if let Some(tx) = self.reply.take() {
            // The receiver is gone when the caller is.
            let _ = tx.send(reply);
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.finish(500, "application/json", r#"{"error":"no answer"}"#.into());
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder")
            .field("peer", &self.exchange.peer)
            .field("answered", &self.reply.is_none())
            .finish_non_exhaustive()
    }
}
