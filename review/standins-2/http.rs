//! A small blocking HTTP/1.1 server and client for the stand-ins. It uses the standard library only.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request as it was read from a connection.
pub struct Request {
    pub method: String,
    /// Path with its query.
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Reads a line without its end; `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with(b"\n") {
        return Err(invalid("a line was cut"));
    }
    while line.last().is_some_and(|byte| b"\r\n".contains(byte)) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or_else(|| invalid("a head was cut"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let line = read_line(reader)?.ok_or_else(|| invalid("a chunk was cut"))?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| invalid("no chunk size"))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match find(headers, "content-length") {
        Some(length) => {
            let length: usize = length.parse().map_err(|_| invalid("no length"))?;
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if until_end => {
            reader.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (method, target) = (words.next(), words.next());
    let (Some(method), Some(target)) = (method, target) else {
        return Err(invalid("no request line"));
    };
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    }))
}

pub fn write_answer(stream: &mut impl Write, answer: &Answer) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {} Status\r\n", answer.status);
    for (name, value) in &answer.headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", answer.body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&answer.body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Serves each connection in a thread of its own. A handler that returns `None` ends the connection
/// without an answer.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &TcpStream) -> Option<Answer> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let Some(answer) = handler(&request, &writer) else {
                        break;
                    };
                    if write_answer(&mut writer, &answer).is_err() {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// A connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(addr: SocketAddr, wait: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, wait)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || method == "POST" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let line = read_line(&mut self.reader)?.ok_or_else(|| invalid("closed"))?;
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        let status = status.ok_or_else(|| invalid("no status"))?;
        let headers = read_headers(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers, true)?;
        Ok(Answer {
            status,
            headers,
            body,
        })
    }
}

/// Sends one request on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Answer> {
    Client::open(addr, wait)?.send(method, target, headers, body)
}
