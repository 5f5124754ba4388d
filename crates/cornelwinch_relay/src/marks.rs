use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, source_count, source_order};
use cornelwinch_types::Name;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::feed::{send, socket_config};
use crate::feed_message::{FeedMessage, encode};
use crate::shared::Shared;

/// WebSocket path on which a host that has just started gets the marks of another one.
pub(crate) const MARKS_PATH: &str = "/marks";

/// Timeout for getting the marks of one host.
const MARKS_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of hosts that have just started themselves after whose marks no more are asked.
const MAX_UNSETTLED_HOSTS: usize = 4;

/// Time after the start within which a host that is no usual source is normally fed.
const FED_TIME: Duration = Duration::from_secs(3);

/// Number of hosts that are asked in one round.
const HOSTS_PER_ROUND: usize = 8;

/// Pause before the first round, while the hosts are not known yet, and after it.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two rounds while no host can be reached.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Sends the marks of this host to one that has just started, and returns why the connection ended.
pub(crate) async fn send_marks(shared: &Shared, mut socket: WebSocketStream<TcpStream>) -> String {
    let marks = FeedMessage::Marks {
        reports: shared
            .core
            .borrow()
            .crash_tracker
            .copy_marks(Instant::now()),
        is_settled: shared.has_marks.get(),
    };
    match send(&mut socket, encode(&marks)).await {
        Ok(()) => "marks_sent".to_owned(),
        Err(reason) => reason,
    }
}

/// Gets the marks of other hosts after the start, as soon as one can be reached. A usual source
/// needs this, since no other host feeds it; any other host asks only if it is not fed soon.
pub(crate) async fn get_marks(shared: Rc<Shared>) {
    let start = Instant::now();
    let this_host = shared.settings.borrow().host.clone();
    let mut asked: Vec<Name> = Vec::new();
    let mut pause = FIRST_PAUSE;
    let mut is_settled = false;
    while !shared.has_marks.get() {
        sleep(pause).await;
        let hosts = shared.hosts.borrow().clone();
        let mut others = source_order(&hosts);
        let rank = others.iter().position(|host| host.name == this_host);
        let may_be_fed = rank.is_none_or(|rank| rank >= source_count(hosts.len()));
        if hosts.is_empty() || (may_be_fed && start.elapsed() < FED_TIME) {
            continue;
        }
        others.retain(|host| host.name != this_host && !asked.contains(&host.name));
        if others.is_empty() || asked.len() >= MAX_UNSETTLED_HOSTS {
            break;
        }
        // Unreachable hosts at the head of the order must not keep a host from the others.
        if pause > FIRST_PAUSE {
            let first = shared.core.borrow_mut().rng.usize(0..others.len());
            others.rotate_left(first);
        }
        others.truncate(HOSTS_PER_ROUND);
        is_settled = ask(&shared, others, &mut asked).await;
        if is_settled {
            break;
        }
        pause = (pause * 2).min(MAX_PAUSE);
    }
    // If all hosts have just started, the marks in the store are what is left.
    log::info!(
        "event=marks_asked is_settled={is_settled} unsettled_hosts={}",
        asked.len()
    );
    if is_settled {
        shared.has_marks.set(true);
    }
}

/// Asks hosts one after the other. Returns true once one has answered that has the marks of others.
async fn ask(shared: &Shared, hosts: Vec<HostEntry>, asked: &mut Vec<Name>) -> bool {
    for host in hosts {
        match timeout(MARKS_TIMEOUT, receive_marks(&host)).await {
            Ok(Ok(FeedMessage::Marks {
                reports,
                is_settled,
            })) => {
                if !reports.is_empty() {
                    shared.record_crash_reports(&reports);
                    shared.publish(&FeedMessage::Crashes { reports });
                }
                if is_settled {
                    return true;
                }
                asked.push(host.name);
            }
            Ok(Ok(_)) => log_refusal(&host, "other_message"),
            Ok(Err(reason)) => log_refusal(&host, &reason),
            Err(_) => log_refusal(&host, "timeout"),
        }
    }
    false
}

async fn receive_marks(host: &HostEntry) -> Result<FeedMessage, String> {
    let stream = TcpStream::connect(host.peer)
        .await
        .map_err(|e| e.to_string())?;
    let url = format!("ws://{}{MARKS_PATH}", host.peer);
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(|e| e.to_string())?;
    match socket.next().await {
        Some(Ok(Message::Binary(buf))) => {
            ciborium::from_reader(buf.as_ref()).map_err(|error| error.to_string())
        }
        _ => Err("no_marks".to_owned()),
    }
}

fn log_refusal(host: &HostEntry, reason: &str) {
    log::info!("event=marks_refused peer={} reason=\"{reason}\"", host.name);
}
