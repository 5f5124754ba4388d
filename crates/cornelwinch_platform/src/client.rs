use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelwinch_types::{JsonText, Revision};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use ureq::http::Method;

use crate::backoff::Backoff;
use crate::{Listing, Object, PlatformError, PlatformHost};

/// Objects asked for in one page of a list; a page of larger objects is
/// halved until it fits into [`LONGEST_ANSWER`].
const PAGE: usize = 500;
/// Bytes accepted in one answer. One object has at most 1 MB.
const LONGEST_ANSWER: u64 = 64 << 20;
/// Age at which an idle connection is closed, so that few calls meet one that
/// the platform has already closed.
const IDLE_AGE: Duration = Duration::from_secs(10);

/// Time limits of a [`PlatformClient`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// For making a connection.
    pub connect: Duration,
    /// For one exchange, connecting included.
    pub call: Duration,
    /// For an operation with all its repetitions. An operation of zero time
    /// makes one attempt.
    pub operation: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            operation: Duration::from_secs(10),
        }
    }
}

/// Blocking client of the platform's object API.
///
/// Reads are repeated with a jittered backoff until the operation's time is
/// over. Clones share the connections.
///
/// ```no_run
/// use cornelwinch_platform::{PlatformClient, Timeouts};
/// use cornelwinch_types::{JsonText, Revision};
///
/// let client = PlatformClient::open(([127, 0, 0, 1], 7000).into(), Timeouts::default());
/// let listing = client.list(Revision(0), &["plan", "customer"])?;
/// println!("{} objects at revision {}", listing.objects.len(), listing.revision);
/// # Ok::<(), cornelwinch_platform::PlatformError>(())
/// ```
#[derive(Debug, Clone)]
pub struct PlatformClient {
    agent: ureq::Agent,
    peer: SocketAddr,
    timeouts: Timeouts,
}

/// Status and body of an answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    body: Vec<u8>,
}

/// One call, for its line in errors and for sending it.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Option<&'a Value>,
    pub(crate) timeout: Duration,
}

impl PlatformClient {
    /// Makes a client; connections are made with the first call.
    pub fn open(peer: SocketAddr, timeouts: Timeouts) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(timeouts.connect))
            .max_idle_age(IDLE_AGE)
            .build()
            .new_agent();
        Self {
            agent,
            peer,
            timeouts,
        }
    }

    /// Address of the platform.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Time limits of the client.
    pub fn timeouts(&self) -> Timeouts {
        self.timeouts
    }

    /// Reads an object; `None` if it does not exist or is deleted.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt.
    pub fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let path = object_path("get", kind, name)?;
        self.get_until(&path, self.deadline())
    }

    /// Reads all objects that changed after a revision, deleted ones included.
    /// Without kinds, objects of every kind are read.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt at the first page that failed.
    pub fn list(&self, after: Revision, kinds: &[&str]) -> Result<Listing, PlatformError> {
        let mut all = Listing {
            revision: after,
            ..Listing::default()
        };
        let mut limit = PAGE;
        loop {
            let path = format!(
                "/v1/objects?after={}&limit={limit}{}",
                all.revision,
                query(kinds)
            );
            let page: Listing = match self.read(&path, self.deadline()) {
                Ok(answer) => self.decode_listing(&path, &answer)?,
                Err(PlatformError::NoAnswer { source, .. })
                    if limit > 1 && matches!(*source, ureq::Error::BodyExceedsLimit(_)) =>
                {
                    limit /= 2;
                    continue;
                }
                Err(e) => return Err(e),
            };
            if page.more && page.revision <= all.revision {
                let problem = format!("a page after revision {} ends there", all.revision);
                return Err(self.malformed(&path, problem));
            }
            all.revision = page.revision.max(all.revision);
            all.objects.extend(page.objects);
            all.unreadable.extend(page.unreadable);
            if !page.more {
                return Ok(all);
            }
        }
    }

    /// Waits until an object of the kinds changes after a revision, for `wait`
    /// at most. Makes one attempt: a watcher decides itself how to go on after
    /// an error, for instance by asking a peer.
    ///
    /// # Errors
    ///
    /// Returns the error of the attempt.
    pub fn watch(
        &self,
        after: Revision,
        wait: Duration,
        kinds: &[&str],
    ) -> Result<Listing, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?after={after}&wait_ms={wait_ms}{}", query(kinds));
        let timeout = wait + self.timeouts.call;
        let answer = self.exchange(&Call {
            method: Method::GET,
            path: &path,
            body: None,
            timeout,
        })?;
        self.decode_listing(&path, &self.expect_ok(&path, answer)?)
    }

    /// Reads the platform's list of hosts, which lags behind their real state. Hosts that cannot
    /// be decoded are left out.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt.
    pub fn hosts(&self) -> Result<Vec<PlatformHost>, PlatformError> {
        #[derive(Deserialize)]
        struct Hosts<'a> {
            #[serde(borrow)]
            hosts: Vec<&'a RawValue>,
        }
        let path = "/v1/hosts";
        let answer = self.read(path, self.deadline())?;
        let text = JsonText::new(&answer.body);
        let listed: Hosts<'_> =
            serde_json::from_str(text.as_str()).map_err(|e| self.malformed(path, e.to_string()))?;
        let decode = |host: &&RawValue| {
            let host = Some(host.get()).filter(|host| text.is_intact(host))?;
            serde_json::from_str(host).ok()
        };
        let hosts: Vec<PlatformHost> = listed.hosts.iter().filter_map(decode).collect();
        if hosts.len() < listed.hosts.len() {
            let count = listed.hosts.len() - hosts.len();
            log::debug!("event=hosts_unreadable count={count}");
        }
        Ok(hosts)
    }

    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.timeouts.operation
    }

    pub(crate) fn get_until(
        &self,
        path: &str,
        deadline: Instant,
    ) -> Result<Option<Object>, PlatformError> {
        match self.read(path, deadline) {
            Ok(answer) => {
                let object: Object = self.decode(path, &answer)?;
                Ok((!object.deleted).then_some(object))
            }
            Err(PlatformError::Status { status: 404, .. }) => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Repeats a read until it succeeds, fails for good or the time is over.
    fn read(&self, path: &str, deadline: Instant) -> Result<Answer, PlatformError> {
        let mut backoff = Backoff::until(deadline);
        loop {
            let call = Call {
                method: Method::GET,
                path,
                body: None,
                timeout: self.timeouts.call,
            };
            let result = self
                .exchange(&call)
                .and_then(|answer| self.expect_ok(path, answer));
            match result {
                Err(e) if e.is_transient() && !is_too_long(&e) && backoff.pause() => {}
                other => return other,
            }
        }
    }

    fn expect_ok(&self, path: &str, answer: Answer) -> Result<Answer, PlatformError> {
        match answer.status {
            200 => Ok(answer),
            status => Err(PlatformError::Status {
                step: format!("GET {path}"),
                peer: self.peer,
                status,
            }),
        }
    }

    /// Sends one call and reads its answer; 429 and 503 are errors.
    pub(crate) fn exchange(&self, call: &Call<'_>) -> Result<Answer, PlatformError> {
        let url = format!("http://{}{}", self.peer, call.path);
        let timeout = Some(call.timeout);
        let result = match (&call.method, call.body) {
            (&Method::PUT, body) => {
                let req = self.agent.put(url).config().timeout_global(timeout).build();
                req.send_json(body)
            }
            (&Method::DELETE, _) => self
                .agent
                .delete(url)
                .config()
                .timeout_global(timeout)
                .build()
                .call(),
            _ => self
                .agent
                .get(url)
                .config()
                .timeout_global(timeout)
                .build()
                .call(),
        };
        let step = || format!("{} {}", call.method, call.path);
        let mut response = result.map_err(|e| self.transport_error(step(), e))?;
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(LONGEST_ANSWER)
            .read_to_vec();
        match status {
            429 => Err(PlatformError::OverRate {
                step: step(),
                peer: self.peer,
            }),
            503 => Err(PlatformError::Unavailable {
                step: step(),
                peer: self.peer,
            }),
            status => {
                let body = body.map_err(|e| PlatformError::NoAnswer {
                    step: step(),
                    peer: self.peer,
                    source: Box::new(e),
                })?;
                Ok(Answer { status, body })
            }
        }
    }

    pub(crate) fn decode<T: DeserializeOwned>(
        &self,
        path: &str,
        answer: &Answer,
    ) -> Result<T, PlatformError> {
        serde_json::from_slice(&answer.body).map_err(|e| self.malformed(path, e.to_string()))
    }

    fn decode_listing(&self, path: &str, answer: &Answer) -> Result<Listing, PlatformError> {
        Listing::decode(&answer.body).map_err(|e| self.malformed(path, e.to_string()))
    }

    fn malformed(&self, path: &str, problem: String) -> PlatformError {
        PlatformError::Malformed {
            step: path.to_owned(),
            peer: self.peer,
            problem,
        }
    }

    fn transport_error(&self, step: String, e: ureq::Error) -> PlatformError {
        let is_unsent = match &e {
            ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => true,
            ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
            _ => false,
        };
        let (peer, source) = (self.peer, Box::new(e));
        if is_unsent {
            PlatformError::Unreachable { step, peer, source }
        } else {
            PlatformError::NoAnswer { step, peer, source }
        }
    }
}

/// Path of an object; kind and name are checked because they become part of
/// the request line.
pub(crate) fn object_path(verb: &str, kind: &str, name: &str) -> Result<String, PlatformError> {
    let ok = |text: &str| {
        !text.is_empty()
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"._~-".contains(&b))
            // A client or proxy may resolve these as steps of the path.
            && text != "."
            && text != ".."
    };
    if ok(kind) && ok(name) {
        return Ok(format!("/v1/objects/{kind}/{name}"));
    }
    Err(PlatformError::InvalidName {
        step: format!("{verb} {kind}/{name}").replace(['\n', '\r'], " "),
    })
}

fn query(kinds: &[&str]) -> String {
    if kinds.is_empty() {
        String::new()
    } else {
        format!("&kinds={}", kinds.join(","))
    }
}

fn is_too_long(e: &PlatformError) -> bool {
    matches!(e, PlatformError::NoAnswer { source, .. }
        if matches!(**source, ureq::Error::BodyExceedsLimit(_)))
}
