use http::StatusCode;

/// Largest request or answer head.
pub(crate) const HEAD_BYTES: usize = 16 * 1024;
/// Largest number of header fields.
const HEADER_FIELDS: usize = 64;

/// Fields that concern one connection and are not passed on.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "content-length",
];

/// Why a request is refused before it reaches the handler.
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
/// The length has to be known before a body is accepted, so that a body over the
/// limit is refused without being read.
const LENGTH_REQUIRED: Refusal = Refusal {
    status: 411,
    error: "content-length required",
};
pub(crate) const BODY_TOO_LARGE: Refusal = Refusal {
    status: 413,
    error: "body too large",
};

pub(crate) const BODY_NOT_TEXT: Refusal = Refusal {
    status: 400,
    error: "body is not UTF-8",
};

/// A request head.
pub(crate) struct RequestHead {
    /// Bytes of the head in the caller's stream.
    pub(crate) len: usize,
    pub(crate) content_length: usize,
    pub(crate) keep_alive: bool,
    pub(crate) http_10: bool,
    pub(crate) expects_continue: bool,
    /// Method in upper case.
    pub(crate) method: String,
    /// Path with query.
    pub(crate) target: String,
    /// Fields with lower-case names, without those that concern the connection.
    pub(crate) headers: Vec<(String, String)>,
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
        method: method.to_ascii_uppercase(),
        target: path.to_owned(),
        headers: Vec::new(),
    };
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
            head.headers.push((name, value.to_owned()));
        }
    }
    Ok(Some(head))
}

/// Usual reason phrase of a status.
pub(crate) fn reason_phrase(status: u16) -> &'static str {
    StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown")
}

/// Text of a refusal without a handler.
pub(crate) fn refusal_text(refusal: Refusal) -> String {
    let Refusal { status, error } = refusal;
    let reason = reason_phrase(status);
    let body = format!(r#"{{"outcome":"not_run","error":"{error}"}}"#);
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}
