use std::fmt;
use std::sync::Arc;

use crossbeam_channel::Sender;

use crate::exchange::Exchange;

/// One answer on its way to the writer thread.
pub(crate) enum WriterJob {
    Answer(Box<Answer>),
    Stop,
}

pub(crate) struct Answer {
    pub(crate) request: tiny_http::Request,
    pub(crate) status: u16,
    pub(crate) content_type: &'static str,
    pub(crate) body: String,
    pub(crate) headers: Vec<(String, String)>,
}

/// Answers one request; it may be sent to another thread and used later.
///
/// A responder that is dropped unused answers 500.
pub struct Responder {
    pub(crate) request: Option<tiny_http::Request>,
    pub(crate) exchange: Arc<Exchange>,
    pub(crate) writer: Sender<WriterJob>,
    pub(crate) headers: Vec<(String, String)>,
}

impl Responder {
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
        self.exchange.ask_reset();
        self.finish(500, "", String::new());
    }

    /// Reports whether the caller disconnected before it was answered.
    pub fn is_caller_gone(&self) -> bool {
        self.exchange.is_gone()
    }

    /// Runs `f` once when the caller disconnects before it is answered, at
    /// once if it already has. It runs in the relay thread and must not block.
    pub fn on_caller_gone(&self, f: impl FnOnce() + Send + 'static) {
        self.exchange.set_hook(Box::new(f));
    }

    fn finish(&mut self, status: u16, content_type: &'static str, body: String) {
        let Some(request) = self.request.take() else {
            return;
        };
        let answer = Answer {
            request,
            status,
            content_type,
            body,
            headers: std::mem::take(&mut self.headers),
        };
        // The writer ends only with the pool, when no caller is left.
        let _ = self.writer.send(WriterJob::Answer(Box::new(answer)));
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
            .field("answered", &self.request.is_none())
            .finish_non_exhaustive()
    }
}
