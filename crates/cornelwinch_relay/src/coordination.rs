use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, source_count, source_order};
use cornelwinch_types::Name;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::coordination_message::CoordinationMessage;
use crate::feed::send;
use crate::shared::Shared;

/// WebSocket path on which a host reports to the coordinator.
pub(crate) const COORDINATION_PATH: &str = "/coordination";

/// Interval between two reports while no request waits.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two reports on rollout orders.
const VERSION_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which a host without a coordinator waits before it searches again.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after the loss of a coordinator, so that a fault which ends each connection at once takes
/// little time.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a coordinator that was lost is not searched for. It may accept connections although
/// it answers nothing.
const AVOIDED_TIME: Duration = Duration::from_secs(2);

/// Interval at which a host looks whether a host that precedes its coordinator takes this role.
const PREFERRED_SEARCH_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for connecting to a coordinator and exchanging the first messages.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a message after which the other end of a connection counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without an answer after which a coordinator counts as lost. It is above the pauses of a host
/// with little processor time, and lets the host connect to another one before its delegation ends.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of hosts beyond the preferred sources that may become coordinator.
const FALLBACK_COORDINATORS: usize = 3;

/// Number of hosts of a zone that may become coordinator if the zone is cut off.
const ZONE_COORDINATORS: usize = 3;

/// Largest message on this connection. A report on 16,384 organisations with names of 20 bytes
/// takes less.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// State of the connection to the coordinator.
#[derive(Debug, Default)]
pub(crate) struct Coordination {
    /// Notified when there may be something to coordinate from now on.
    pub(crate) changed: Notify,
    /// Notified when a request waits for an answer of the coordinator.
    pub(crate) wanted: Notify,
    /// Notified when the coordinator has answered.
    pub(crate) granted: Notify,
    /// Notified when this host has ended the delegations of other hosts.
    pub(crate) ended: Notify,
    /// True while this host is its own coordinator.
    pub(crate) is_local: Cell<bool>,
    /// The coordinator of this host.
    pub(crate) coordinator: RefCell<Option<Name>>,
}

type Socket = WebSocketStream<TcpStream>;

/// A host that takes the role of the coordinator.
enum Coordinator {
    ThisHost,
    Other(HostEntry, Box<Socket>),
}

/// Keeps this host connected to the coordinator while there is something to coordinate.
pub(crate) async fn coordinate(shared: Rc<Shared>) {
    let mut next = None;
    let mut avoided: Option<(Name, Instant)> = None;
    loop {
        if !is_needed(&shared) {
            set_coordinator(&shared, None);
            shared.coordination.changed.notified().await;
            continue;
        }
        let candidates = candidates(&shared);
        let found = match next.take() {
            Some(found) => Some(found),
            None => {
                let is_avoided = |host: &HostEntry| {
                    let avoided = avoided.as_ref();
                    avoided.is_some_and(|(name, end)| *name == host.name && *end > Instant::now())
                };
                let mut usable = candidates.clone();
                usable.retain(|host| !is_avoided(host));
                find_coordinator(&shared, &usable).await
            }
        };
        let Some(coordinator) = found else {
            set_coordinator(&shared, None);
            sleep(SEARCH_INTERVAL).await;
            continue;
        };
        let name = match &coordinator {
            Coordinator::ThisHost => shared.own_entry().name,
            Coordinator::Other(host, _) => host.name.clone(),
        };
        set_coordinator(&shared, Some(&name));
        let preceding: Vec<HostEntry> = candidates
            .into_iter()
            .take_while(|host| host.name != name)
            .collect();
        let search = pin!(find_preferred(&shared, &preceding));
        shared.core.borrow_mut().caps.stock.connected();
        let is_local = matches!(coordinator, Coordinator::ThisHost);
        shared.coordination.is_local.set(is_local);
        let reason = tokio::select! {
            found = search => {
                next = Some(found);
                "preferred".to_owned()
            }
            reason = run(&shared, coordinator) => reason,
        };
        shared.coordination.is_local.set(false);
        shared
            .core
            .borrow_mut()
            .caps
            .stock
            .disconnected(Instant::now());
        log::info!("event=coordinator_left coordinator={name} reason=\"{reason}\"");
        if next.is_none() {
            if !is_local {
                avoided = Some((name, Instant::now() + AVOIDED_TIME));
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }
}

/// Returns true if the settings and the desired state ask for a coordinator.
fn is_needed(shared: &Shared) -> bool {
    let core = shared.core.borrow();
    let has_caps = shared.settings.borrow().bounds.cap.is_some() && core.caps.stock.is_needed();
    has_caps || core.fleet.rollouts().is_any_serving()
}

fn set_coordinator(shared: &Shared, name: Option<&Name>) {
    let old = shared.coordination.coordinator.replace(name.cloned());
    if old.as_ref() != name {
        log::info!("event=coordinator_changed coordinator={name:?} before={old:?}");
    }
}

/// Returns the hosts that may become coordinator in order of precedence; this host is one of them.
/// Those of its own zone come last, for a zone that is cut off from the others.
fn candidates(shared: &Shared) -> Vec<HostEntry> {
    let this_host = shared.own_entry();
    let hosts = shared.hosts.borrow();
    let order = source_order(&hosts);
    let (first, others) = order.split_at(
        order
            .len()
            .min(source_count(hosts.len()) + FALLBACK_COORDINATORS),
    );
    let own_zone = others.iter().filter(|host| host.zone == this_host.zone);
    let mut candidates: Vec<HostEntry> = first
        .iter()
        .chain(own_zone.take(ZONE_COORDINATORS))
        .cloned()
        .collect();
    if !candidates.iter().any(|host| host.name == this_host.name) {
        candidates.push(this_host);
    }
    candidates
}

/// Asks all candidates at once, since each that cannot be reached costs the time-out, and returns
/// the first that takes the role.
async fn find_coordinator(shared: &Shared, candidates: &[HostEntry]) -> Option<Coordinator> {
    let this_host = shared.own_entry().name;
    let ask = |host: HostEntry| {
        let this_host = this_host.clone();
        async move {
            if host.name == this_host {
                return shared.can_coordinate().then_some(Coordinator::ThisHost);
            }
            let socket = timeout(CONNECT_TIMEOUT, open(&host, &this_host)).await;
            let socket = Box::new(socket.ok()?.ok()?);
            Some(Coordinator::Other(host, socket))
        }
    };
    let answers: FuturesOrdered<_> = candidates.iter().cloned().map(ask).collect();
    let mut found = std::pin::pin!(answers.filter_map(std::future::ready));
    found.next().await
}

/// Waits until one of the hosts that precede the coordinator takes this role.
async fn find_preferred(shared: &Shared, preceding: &[HostEntry]) -> Coordinator {
    loop {
        let jitter = shared.core.borrow_mut().rng.f64() * 0.5 + 0.75;
        sleep(PREFERRED_SEARCH_INTERVAL.mul_f64(jitter)).await;
        if let Some(found) = find_coordinator(shared, preceding).await {
            return found;
        }
    }
}

/// Connects to a host and asks whether it takes the role of the coordinator.
async fn open(host: &HostEntry, this_host: &Name) -> Result<Socket, String> {
    let addr = host.peer;
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let url = format!("ws://{addr}{COORDINATION_PATH}");
    let config = WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES));
    let (mut socket, _) = client_async_with_config(url, stream, Some(config))
        .await
        .map_err(|e| e.to_string())?;
    match receive(&mut socket).await? {
        CoordinationMessage::Accept {
            is_coordinator: true,
        } => {}
        _ => return Err("refused".to_owned()),
    }
    let host = this_host.clone();
    send(&mut socket, CoordinationMessage::Join { host }.encode()).await?;
    Ok(socket)
}

/// Reads one message. Fails if none arrives in time.
async fn receive(socket: &mut Socket) -> Result<CoordinationMessage, String> {
    loop {
        match timeout(SILENCE_TIMEOUT, socket.next()).await {
            Ok(Some(Ok(Message::Binary(buf)))) if buf.len() <= MAX_MESSAGE_BYTES => {
                return ciborium::from_reader(buf.as_ref()).map_err(|e| e.to_string());
            }
            Ok(Some(Ok(Message::Ping(_) | Message::Pong(_)))) => {}
            Ok(Some(Ok(_)) | None) => return Err("closed".to_owned()),
            Ok(Some(Err(error))) => return Err(error.to_string()),
            Err(_) => return Err("silent".to_owned()),
        }
    }
}

/// Reports to the coordinator until it is lost or there is nothing to coordinate, and returns the
/// reason.
async fn run(shared: &Shared, coordinator: Coordinator) -> String {
    match coordinator {
        Coordinator::ThisHost => {
            let mut is_first = true;
            while is_needed(shared) && shared.can_coordinate() {
                shared.report_to_itself();
                shared.report_versions_to_itself();
                tokio::select! {
                    () = sleep(next_report_in(shared, is_first)) => {}
                    () = shared.coordination.ended.notified() => {}
                }
                is_first = false;
            }
            "not_source".to_owned()
        }
        Coordinator::Other(_, mut socket) => match report(shared, &mut socket).await {
            Ok(()) => "not_needed".to_owned(),
            Err(reason) => reason,
        },
    }
}

/// Returns the time until the next report. The second one on a connection delegates the share of
/// this host, so it follows the first answer at once, or the end of an earlier delegation.
fn next_report_in(shared: &Shared, is_first: bool) -> Duration {
    let delegate_from = shared.core.borrow().caps.stock.delegate_from();
    match delegate_from.checked_duration_since(Instant::now()) {
        Some(wait) => wait.min(REPORT_INTERVAL),
        None if is_first => Duration::ZERO,
        None => REPORT_INTERVAL,
    }
}

async fn report(shared: &Shared, socket: &mut Socket) -> Result<(), String> {
    let mut next_report = Instant::now();
    let mut next_versions = next_report;
    let mut waiting_since = None;
    let mut is_answered = false;
    while is_needed(shared) {
        if waiting_since.is_some_and(|since: Instant| since.elapsed() >= ANSWER_TIMEOUT) {
            return Err("silent".to_owned());
        }
        let now = Instant::now();
        // Reports on caps may be so frequent that the interval after the last one never ends.
        let has_versions = next_versions <= now;
        if has_versions {
            next_versions = now + VERSION_REPORT_INTERVAL;
        }
        let is_due = has_versions || next_report <= now;
        if is_due || shared.core.borrow().caps.stock.wants_report() {
            next_report = now + next_report_in(shared, false);
            waiting_since.get_or_insert(now);
            for message in next_messages(shared, has_versions) {
                let buf = message.encode();
                shared.core.borrow_mut().metrics.coordination_bytes += buf.len() as u64;
                send(socket, buf).await?;
            }
        }
        tokio::select! {
            message = receive(socket) => {
                record_answer(shared, message?)?;
                waiting_since = None;
                if !std::mem::replace(&mut is_answered, true) {
                    next_report = Instant::now() + next_report_in(shared, true);
                }
            }
            () = shared.coordination.wanted.notified() => {}
            () = sleep_until(next_report.into()) => {}
        }
    }
    Ok(())
}

/// Returns what this host reports now. Versions are reported at the usual interval only.
fn next_messages(shared: &Shared, has_versions: bool) -> Vec<CoordinationMessage> {
    let report = shared.core.borrow_mut().caps.stock.report(Instant::now());
    let mut messages = vec![CoordinationMessage::CapReport(report)];
    if has_versions {
        let reports = shared.version_reports().into_iter();
        messages.extend(reports.map(CoordinationMessage::VersionReport));
    }
    messages
}

/// Applies a message of the coordinator.
fn record_answer(shared: &Shared, message: CoordinationMessage) -> Result<(), String> {
    match message {
        CoordinationMessage::CapGrant(grant) => {
            shared.record_cap_grant(&grant);
            if grant.is_last {
                return Err("ended".to_owned());
            }
        }
        CoordinationMessage::VersionStage(stage) => shared.record_stage(&stage),
        CoordinationMessage::Accept { .. }
        | CoordinationMessage::Join { .. }
        | CoordinationMessage::VersionReport(_)
        | CoordinationMessage::CapReport(_) => return Err("no_answer".to_owned()),
    }
    Ok(())
}

/// Serves a host as coordinator and returns why the connection ended.
pub(crate) async fn serve_coordination(shared: &Shared, mut socket: Socket) -> String {
    match serve_reports(shared, &mut socket).await {
        Ok(reason) => reason.to_owned(),
        Err(reason) => reason,
    }
}

async fn serve_reports(shared: &Shared, socket: &mut Socket) -> Result<&'static str, String> {
    let is_coordinator = shared.can_coordinate();
    send(
        socket,
        CoordinationMessage::Accept { is_coordinator }.encode(),
    )
    .await?;
    if !is_coordinator {
        return Ok("no_coordinator");
    }
    let CoordinationMessage::Join { host } = receive(socket).await? else {
        return Err("no_join".to_owned());
    };
    loop {
        let message = tokio::select! {
            message = receive(socket) => message?,
            () = shared.coordination.ended.notified() => {
                if shared.can_coordinate() {
                    continue;
                }
                // Hosts without demand report only each 400 ms, and their shares would be unused.
                let last = shared.last_grant(Instant::now(), 0);
                send(socket, CoordinationMessage::CapGrant(last).encode()).await?;
                return Ok("ended");
            }
        };
        if let CoordinationMessage::VersionReport(report) = message {
            // There is no stage until the order has been taken over in the store.
            if let Some(stage) = shared.answer_version_report(&host, report) {
                let buf = CoordinationMessage::VersionStage(stage).encode();
                shared.core.borrow_mut().metrics.coordination_bytes += buf.len() as u64;
                send(socket, buf).await?;
            }
            continue;
        }
        let Some(answer) = answer(shared, &host, &message) else {
            return Err("no_report".to_owned());
        };
        let is_last = matches!(&answer, CoordinationMessage::CapGrant(grant) if grant.is_last);
        let buf = answer.encode();
        shared.core.borrow_mut().metrics.coordination_bytes += buf.len() as u64;
        send(socket, buf).await?;
        // A host resumes its own refill after the last answer, so reports that it sent before must
        // not be read.
        if is_last {
            return Ok("ended");
        }
    }
}

/// Returns the answer of the coordinator to a message, or `None` if it is no report.
fn answer(
    shared: &Shared,
    host: &Name,
    message: &CoordinationMessage,
) -> Option<CoordinationMessage> {
    match message {
        CoordinationMessage::CapReport(report) => Some(CoordinationMessage::CapGrant(
            shared.answer_cap_report(host, report),
        )),
        CoordinationMessage::Accept { .. }
        | CoordinationMessage::Join { .. }
        | CoordinationMessage::VersionReport(_)
        | CoordinationMessage::VersionStage(_)
        | CoordinationMessage::CapGrant(_) => None,
    }
}
