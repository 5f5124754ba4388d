use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cornelwinch_http::HttpConnection;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use snafu::Snafu;
use tokio::time::timeout;

use crate::WriteRequest;
use crate::body::{MAX_FRAMING_BYTES, read_body};

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest accepted body of an answer. A page of a list has about 1 MB, and so has an object; a
/// watch may return some of them.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Error of a call to the store.
#[derive(Debug, Snafu)]
pub(crate) enum StoreError {
    /// No connection could be opened.
    #[snafu(display("step=connect reason=\"{source}\""))]
    Connect { source: std::io::Error },
    /// The connection failed during the call.
    #[snafu(display("step=call reason=\"{source}\""))]
    Call { source: hyper::Error },
    /// The body of the answer broke off or was too large.
    #[snafu(display("step=read reason=\"{reason}\""))]
    Body { reason: String },
    /// No answer arrived in time.
    #[snafu(display("step=call reason=timeout"))]
    Timeout,
    /// The store answered with an error status.
    #[snafu(display("step=call status={status}"))]
    Status { status: StatusCode },
    /// The answer could not be decoded, or the path of the request is invalid.
    #[snafu(display("step=decode reason={reason:?}"))]
    Decode { reason: String },
}

impl StoreError {
    /// Returns true if the store refused a write because the object has changed.
    pub(crate) fn is_conflict(&self) -> bool {
        matches!(self, Self::Status { status } if *status == StatusCode::CONFLICT)
    }
}

/// Client of the store with a single connection, which is reopened after a failure.
#[derive(Debug)]
pub(crate) struct StoreClient {
    addr: SocketAddr,
    connection: Option<HttpConnection>,
}

impl StoreClient {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            connection: None,
        }
    }

    /// Sends a GET request for a path and returns the body of the answer.
    pub(crate) async fn get(&mut self, path: &str, wait: Duration) -> Result<Bytes, StoreError> {
        self.call(Method::GET, path, Vec::new(), wait).await
    }

    /// Sends a request that changes the store and returns the body of the answer.
    pub(crate) async fn write(
        &mut self,
        call: WriteRequest,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        self.call(call.method, &call.path, call.body, wait).await
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| StoreError::Decode {
                reason: error.to_string(),
            })?;
        let host = HeaderValue::from_str(&self.addr.to_string()).expect("addresses are valid");
        let headers = request.headers_mut();
        headers.insert(header::HOST, host);
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let result = timeout(wait, self.exchange(request)).await;
        let (status, body) = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                self.connection = None;
                return Err(error);
            }
            Err(_) => {
                self.connection = None;
                return Err(StoreError::Timeout);
            }
        };
        if !status.is_success() {
            return Err(StoreError::Status { status });
        }
        Ok(body)
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let mut connection = match self.connection.take() {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => self.connect().await?,
        };
        connection.read_limit.allow(MAX_FRAMING_BYTES);
        let call = |source| StoreError::Call { source };
        connection.sender.ready().await.map_err(call)?;
        let response = connection
            .sender
            .send_request(request)
            .await
            .map_err(call)?;
        let status = response.status();
        let read_limit = &connection.read_limit;
        let body = read_body(response.into_body(), read_limit, MAX_ANSWER_BYTES, None)
            .await
            .map_err(|error| StoreError::Body {
                reason: error.to_string(),
            })?;
        self.connection = Some(connection);
        Ok((status, body))
    }

    async fn connect(&self) -> Result<HttpConnection, StoreError> {
        cornelwinch_http::connect("store", self.addr, CONNECT_TIMEOUT)
            .await
            .map_err(|source| StoreError::Connect { source })
    }
}
