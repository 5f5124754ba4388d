use std::fmt::Write;

/// Largest request or answer head.
pub(crate) const HEAD_BYTES: usize = 16 * 1024;
/// Largest number of header fields.
const HEADER_FIELDS: usize = 64;
/// Name of the field that carries the exchange's number to `tiny_http`.
pub(crate) const EXCHANGE_FIELD: &str = "x-cornelwinch-exchange";

/// Fields that concern one connection and are not passed on.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "content-length",
    EXCHANGE_FIELD,
];

/// Why a request is refused by the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) error: &'static str,
}

const MALFORMED: Refusal = Refusal {
    status: 400,
    error: "malformed request",
};
pub(crate) const HEAD_TOO_LARGE: Refusal = Refusal {
    status: 431,
    error: "header too large",
};
/// The relay has to know the length before it accepts a body, so that a body
/// over the limit is refused without being read.
const LENGTH_REQUIRED: Refusal = Refusal {
    status: 411,
    error: "content-length required",
};
pub(crate) const BODY_TOO_LARGE: Refusal = Refusal {
    status: 413,
    error: "body too large",
};

/// A request head as the relay needs it.
pub(crate) struct RequestHead {
    /// Bytes of the head in the caller's stream.
    pub(crate) len: usize,
    pub(crate) content_length: usize,
    pub(crate) keep_alive: bool,
    pub(crate) http_10: bool,
    pub(crate) expects_continue: bool,
    pub(crate) is_head: bool,
    /// Request line and fields to pass on, without the final empty line.
    pub(crate) forward: String,
}

/// Parses a request head; `None` if it is not complete.
pub(crate) fn parse_request(buf: &[u8]) -> Result<Option<RequestHead>, Refusal> {
    let mut fields = [httparse::EMPTY_HEADER; HEADER_FIELDS];
    let mut req = httparse::Request::new(&mut fields);
    let len = match req.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HEAD_TOO_LARGE),
        Err(_) => return Err(MALFORMED),
    };
    let (Some(method), Some(path), Some(version)) = (req.method, req.path, req.version) else {
        return Err(MALFORMED);
    };
    let http_10 = version == 0;
    let mut head = RequestHead {
        len,
        content_length: 0,
        keep_alive: !http_10,
        http_10,
        expects_continue: false,
        is_head: method == "HEAD",
        forward: format!("{method} {path} HTTP/1.1\r\n"),
    };
    // The path is forwarded to a parser that accepts ASCII only.
    if !path.is_ascii() {
        return Err(MALFORMED);
    }
    let mut lengths = 0;
    for field in req.headers.iter() {
        let value = std::str::from_utf8(field.value).map_err(|_| MALFORMED)?;
        if !value.is_ascii() {
            return Err(MALFORMED);
        }
        let value = value.trim();
        let name = field.name.to_ascii_lowercase();
        match name.as_str() {
            "content-length" => {
                // Digits only: `parse` accepts a sign, other readers may not.
                if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(MALFORMED);
                }
                // Two lengths are the usual means of request smuggling.
                lengths += 1;
                if lengths > 1 {
                    return Err(MALFORMED);
                }
                head.content_length = value.parse().map_err(|_| BODY_TOO_LARGE)?;
            }
            "transfer-encoding" => return Err(LENGTH_REQUIRED),
            "connection" => {
                for option in value.split(',').map(str::trim) {
                    if option.eq_ignore_ascii_case("close") {
                        head.keep_alive = false;
                    } else if option.eq_ignore_ascii_case("keep-alive") && http_10 {
                        head.keep_alive = true;
                    }
                }
            }
            "expect" => head.expects_continue = value.eq_ignore_ascii_case("100-continue"),
            _ => {}
        }
        if !CONNECTION_FIELDS.contains(&name.as_str()) {
            let _ = write!(head.forward, "{name}: {value}\r\n");
        }
    }
    Ok(Some(head))
}

/// An answer head from `tiny_http`.
pub(crate) struct AnswerHead {
    pub(crate) len: usize,
    pub(crate) content_length: usize,
    pub(crate) status: u16,
    /// Status line and fields to pass on, without the final empty line.
    pub(crate) forward: String,
}

/// Parses an answer head; `Ok(None)` if it is not complete.
pub(crate) fn parse_answer(buf: &[u8]) -> Result<Option<AnswerHead>, httparse::Error> {
    let mut fields = [httparse::EMPTY_HEADER; HEADER_FIELDS];
    let mut answer = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(len) = answer.parse(buf)? else {
        return Ok(None);
    };
    let status = answer.code.unwrap_or(500);
    let reason = answer.reason.unwrap_or_default();
    let mut head = AnswerHead {
        len,
        content_length: 0,
        status,
        forward: format!("HTTP/1.1 {status} {reason}\r\n"),
    };
    for field in answer.headers.iter() {
        let value = String::from_utf8_lossy(field.value);
        if field.name.eq_ignore_ascii_case("content-length") {
            head.content_length = value.trim().parse().unwrap_or(0);
            // RFC 9110, 8.6: no length in an answer with status 204.
            if status == 204 {
                continue;
            }
        }
        if !field.name.eq_ignore_ascii_case("server")
            && !field.name.eq_ignore_ascii_case("connection")
        {
            let _ = write!(head.forward, "{}: {value}\r\n", field.name);
        }
    }
    Ok(Some(head))
}

/// Text of an answer that the relay gives itself.
pub(crate) fn refusal_text(refusal: Refusal) -> String {
    let Refusal { status, error } = refusal;
    let reason = tiny_http::StatusCode(status).default_reason_phrase();
    let body = format!(r#"{{"outcome":"not_run","error":"{error}"}}"#);
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
