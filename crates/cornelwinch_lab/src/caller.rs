use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cornelwinch_types::Name;
use serde_json::{Value, json};

/// Time after the deadline for which a caller waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_secs(20);

/// What makes a non-idempotent request run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunKey {
    /// A ticket of a host.
    Ticket(String),
    /// A key of the caller.
    Own(String),
}

/// A non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRequest {
    /// Ticket or key.
    pub id: RunKey,
    /// Key that selects the shard.
    pub key: u64,
    /// Request body.
    pub body: String,
    /// Time until the answer is due.
    pub deadline: Duration,
}

/// Answer of a host.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

impl Reply {
    /// Outcome of the request, for example `done`.
    pub fn outcome(&self) -> &str {
        self.body["outcome"].as_str().unwrap_or_default()
    }

    /// Code of the reason, empty if there is none.
    pub fn error(&self) -> &str {
        self.body["error"].as_str().unwrap_or_default()
    }

    /// Rows of the answer.
    pub fn hits(&self) -> &Value {
        &self.body["hits"]
    }
}

/// A caller of one host.
#[derive(Debug, Clone)]
pub struct Caller {
    host: SocketAddr,
    search: Name,
    token: String,
    /// Keeps connections; without it each request has one of its own.
    agent: Option<ureq::Agent>,
}

impl Caller {
    /// A caller that asks for `search` as the organisation with this token.
    pub fn new(host: SocketAddr, search: &str, token: String) -> Self {
        Self {
            host,
            search: search.into(),
            token,
            agent: None,
        }
    }

    /// The same caller with connections that it keeps.
    #[must_use]
    pub fn keep_alive(self) -> Self {
        let agent = Some(agent(ANSWER_GRACE));
        Self { agent, ..self }
    }

    /// Reports whether the host says that it may get requests.
    pub fn is_ready(&self) -> bool {
        let agent = agent(ANSWER_GRACE);
        let url = format!("http://{}/v1/ready", self.host);
        let ready = agent.get(url).header("Connection", "close").call();
        ready.is_ok_and(|resp| resp.status() == 200)
    }

    /// Gets tickets.
    ///
    /// # Errors
    ///
    /// Returns what went wrong if no whole answer arrived.
    pub fn issue(&self, count: u32) -> Result<Vec<String>, String> {
        let reply = self.post("tickets", &[], &json!({ "count": count }), Duration::ZERO)?;
        let tickets = reply.body["tickets"].as_array().into_iter().flatten();
        Ok(tickets
            .filter_map(|ticket| ticket.as_str().map(str::to_owned))
            .collect())
    }

    /// Runs a non-idempotent request.
    ///
    /// # Errors
    ///
    /// Returns what went wrong if no whole answer arrived.
    pub fn run(&self, req: &RunRequest) -> Result<Reply, String> {
        let headers: Vec<(&str, &str)> = match &req.id {
            RunKey::Own(key) => vec![("Idempotency-Key", key)],
            RunKey::Ticket(_) => Vec::new(),
        };
        self.post("run", &headers, &self.run_body(req), req.deadline)
    }

    /// Runs a non-idempotent request in a thread of its own.
    pub fn start(&self, req: &RunRequest) -> JoinHandle<Result<Reply, String>> {
        let (caller, req) = (self.clone(), req.clone());
        thread::spawn(move || caller.run(&req))
    }

    /// Sends the first bytes of a non-idempotent request, or all if it has
    /// fewer. Dropping the connection cuts it.
    ///
    /// # Errors
    ///
    /// Fails if the host does not take the bytes.
    pub fn send_bytes(&self, req: &RunRequest, bytes: usize) -> io::Result<TcpStream> {
        let body = self.run_body(req).to_string();
        let key = match &req.id {
            RunKey::Own(key) => format!("Idempotency-Key: {key}\r\n"),
            RunKey::Ticket(_) => String::new(),
        };
        let text = format!(
            "POST /v1/run HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\n{key}\
             Content-Length: {}\r\n\r\n{body}",
            self.host,
            self.token,
            body.len()
        );
        let mut conn = TcpStream::connect(self.host)?;
        conn.write_all(&text.as_bytes()[..bytes.min(text.len())])?;
        Ok(conn)
    }

    /// Runs a query.
    ///
    /// # Errors
    ///
    /// Returns what went wrong if no whole answer arrived.
    pub fn query(&self, body: &str, deadline: Duration) -> Result<Reply, String> {
        let body = json!({
            "search": self.search,
            "deadline_ms": deadline.as_millis() as u64,
            "body": body,
        });
        self.post("query", &[], &body, deadline)
    }

    fn run_body(&self, req: &RunRequest) -> Value {
        let mut body = json!({
            "search": self.search,
            "deadline_ms": req.deadline.as_millis() as u64,
            "key": req.key,
            "body": req.body,
        });
        if let RunKey::Ticket(ticket) = &req.id {
            body["ticket"] = ticket.as_str().into();
        }
        body
    }

    /// Sends a request and reads the whole answer.
    fn post(
        &self,
        call: &str,
        headers: &[(&str, &str)],
        body: &Value,
        deadline: Duration,
    ) -> Result<Reply, String> {
        let single = || agent(deadline + ANSWER_GRACE);
        let agent = self.agent.clone().unwrap_or_else(single);
        let mut req = agent
            .post(format!("http://{}/v1/{call}", self.host))
            .header("Authorization", format!("Bearer {}", self.token));
        if self.agent.is_none() {
            req = req.header("Connection", "close");
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let mut resp = req.send_json(body).map_err(|error| error.to_string())?;
        let status = resp.status().as_u16();
        let body = resp.body_mut().read_json();
        Ok(Reply {
            status,
            body: body.map_err(|error| error.to_string())?,
        })
    }
}

fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .proxy(None)
            .build(),
    )
}
