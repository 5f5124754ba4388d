use std::net::SocketAddr;

use crate::Responder;

/// A whole request and the means to answer it.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Header fields with lower-case names, in order, without those that
    /// concern only the connection.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Address that the caller connected to.
    pub local: SocketAddr,
    /// Number of the caller's connection, unique within a thread.
    pub connection: u64,
    /// Whether this is the first request of its connection.
    pub first: bool,
    /// Answers the request, from any thread.
    pub responder: Responder,
}

impl HttpRequest {
    /// Path without query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter as sent, without decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Value of a header field; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Token of an `Authorization: Bearer` header.
    pub fn bearer(&self) -> Option<&str> {
        let (scheme, token) = self.header("authorization")?.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then_some(token.trim())
    }
}
