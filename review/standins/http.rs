//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Start line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the n-th word of the start line.
    pub fn word(&self, n: usize) -> &str {
        self.start.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        Ok(Self::new(stream))
    }

    /// Reads a head; `None` if the peer has closed the connection before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if self.read_more()? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces by its length.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head.get("content-length").and_then(|v| v.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buf.len() < length {
            if self.read_more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads `length` bytes at a steady rate, as over a slow link. Returns the number of bytes
    /// that came before the connection ended.
    pub fn read_slowly(&mut self, length: usize, bytes_per_s: f64) -> usize {
        let start = Instant::now();
        let mut count = self.buf.len();
        let mut chunk = vec![0; 64 * 1024];
        while count < length {
            let due = Duration::from_secs_f64(count as f64 / bytes_per_s);
            std::thread::sleep(due.saturating_sub(start.elapsed()));
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(n) => count += n,
            }
        }
        count.min(length)
    }

    fn read_more(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// An answer, as a client sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
}

/// Encodes a message with a length.
pub fn message(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(addr: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Answer> {
    let mut conn = Conn::connect(addr)?;
    conn.stream.set_read_timeout(Some(wait))?;
    conn.send(request)?;
    let Some(head) = conn.read_head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    conn.read_body(&head)?;
    Ok(Answer {
        status: head.status(),
        head,
    })
}
