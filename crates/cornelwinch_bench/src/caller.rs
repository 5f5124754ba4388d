use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;

use crate::MixItem;
use crate::answer::{BenchAnswer, SentRequest};

/// Time after a request's deadline at which the caller gives up.
pub(crate) const GRACE: Duration = Duration::from_secs(2);
/// Tickets fetched at once.
const TICKET_BATCH: usize = 16;
/// Largest answer.
const ANSWER_BYTES: u64 = 256 * 1024 * 1024;

/// One connection's client.
pub(crate) struct Caller {
    agent: Agent,
    /// Tickets by target and token.
    tickets: Vec<(SocketAddr, String, Vec<String>)>,
}

#[derive(Deserialize)]
struct TicketList {
    tickets: Vec<String>,
}

impl Caller {
    pub(crate) fn new(targets: usize) -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .no_delay(true)
            .max_idle_connections(targets)
            .max_idle_connections_per_host(1)
            .build();
        Self {
            agent: Agent::new_with_config(cfg),
            tickets: Vec::new(),
        }
    }

    /// Takes a ticket, from the target if none is left.
    pub(crate) fn ticket(&mut self, target: SocketAddr, item: &MixItem) -> Result<String, String> {
        let known = self
            .tickets
            .iter()
            .position(|row| row.0 == target && row.1 == item.token);
        let i = known.unwrap_or_else(|| {
            self.tickets.push((target, item.token.clone(), Vec::new()));
            self.tickets.len() - 1
        });
        if self.tickets[i].2.is_empty() {
            let body = json!({"count": TICKET_BATCH});
            let (status, text) = self.post(target, "/v1/tickets", item, &body)?;
            let list: TicketList =
                serde_json::from_str(&text).map_err(|_| format!("tickets: status {status}"))?;
            self.tickets[i].2 = list.tickets;
        }
        self.tickets[i]
            .2
            .pop()
            .ok_or_else(|| "no ticket".to_owned())
    }

    /// Drops the tickets of a target, which are void when it has restarted.
    pub(crate) fn forget_tickets(&mut self, target: SocketAddr) {
        self.tickets.retain(|row| row.0 != target);
    }

    /// Sends one request and waits for its answer.
    pub(crate) fn send(&self, request: &SentRequest<'_>) -> Result<BenchAnswer, String> {
        let item = request.item;
        let mut body = json!({
            "search": item.search,
            "class": item.class,
            "deadline_ms": item.deadline_ms,
            "body": request.body,
        });
        let path = match &request.ticket {
            Some(ticket) => {
                body["ticket"] = ticket.as_str().into();
                body["key"] = request.key.into();
                "/v1/run"
            }
            None => "/v1/query",
        };
        let (status, text) = self.post(request.target, path, item, &body)?;
        let mut answer: BenchAnswer = serde_json::from_str(&text)
            .map_err(|error| format!("unreadable answer, status {status}: {error}"))?;
        answer.status = status;
        Ok(answer)
    }

    fn post(
        &self,
        target: SocketAddr,
        path: &str,
        item: &MixItem,
        body: &Value,
    ) -> Result<(u16, String), String> {
        let timeout = Duration::from_millis(item.deadline_ms) + GRACE;
        let mut answer = self
            .agent
            .post(format!("http://{target}{path}"))
            .header("Authorization", format!("Bearer {}", item.token))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send_json(body)
            .map_err(|error| error.to_string())?;
        let text = answer
            .body_mut()
            .with_config()
            .limit(ANSWER_BYTES)
            .read_to_string()
            .map_err(|error| error.to_string())?;
        Ok((answer.status().as_u16(), text))
    }
}
