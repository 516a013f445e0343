//! A stand-in executor, a process of its own. What it does with a request stands in the request's path.

use crate::http::{self, Connection, Head};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Names the variable with the start of the driver's record.
pub const RECORD_START: &str = "REVIEW_RECORD_START_MS";

pub struct Executor {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    control: Vec<SocketAddr>,
    heartbeat: Duration,
    /// What was run, a line each; also read by the driver.
    log: Mutex<File>,
    /// When the driver's record begins, in milliseconds since 1970.
    start_ms: u128,
    places: Mutex<Places>,
    freed: Condvar,
}

/// What runs and what waits.
#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

const SLOTS: usize = 24;
const QUEUE: usize = 72;
const EVENT_BYTES: usize = 110;

impl Executor {
    /// `ID SERVICE ADDRESS ZONE CONTROL,.. HEARTBEAT_MS LOG`
    pub fn of_arguments(arguments: &[String]) -> Option<Executor> {
        let [id, service, address, zone, control, heartbeat, log] = arguments else { return None };
        Some(Executor {
            id: id.clone(),
            service: service.clone(),
            address: address.parse().ok()?,
            zone: zone.clone(),
            control: control.split(',').filter_map(|one| one.parse().ok()).collect(),
            heartbeat: Duration::from_millis(heartbeat.parse().ok()?),
            log: Mutex::new(OpenOptions::new().create(true).append(true).open(log).ok()?),
            start_ms: std::env::var(RECORD_START).ok()?.parse().ok()?,
            places: Mutex::default(),
            freed: Condvar::new(),
        })
    }

    pub fn run(self) -> Option<()> {
        let listener = TcpListener::bind(self.address).ok()?;
        let executor = Arc::new(self);
        let beats = executor.clone();
        thread::spawn(move || beats.beat());
        for stream in listener.incoming().flatten() {
            let executor = executor.clone();
            thread::spawn(move || executor.serve(&mut Connection::over(stream)));
        }
        Some(())
    }

    fn note(&self, line: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let at = now.saturating_sub(self.start_ms);
        if let Ok(mut log) = self.log.lock() {
            let _ = log.write_all(format!("{} {at:>6} ms {line}\n", self.id).as_bytes());
        }
    }

    fn beat(&self) {
        let (mut at, mut target) = (0, None);
        for call_seq in 1u64.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"v1\",\"slot_count\":{SLOTS},\"state\":\"up\",\"cold_left_ms\":0,\"call_seq\":{call_seq}}}",
                self.service, self.address, self.zone
            );
            let path = format!("/api/Instances.Heartbeat/{}", self.id);
            let to = target.unwrap_or(self.control[at % self.control.len()]);
            let bytes = http::request(
                "POST",
                &path,
                &[("Host", "c"), ("Content-Type", "application/json")],
                body.as_bytes(),
            );
            match http::call(to, &bytes, Duration::from_secs(1)).filter(|a| a.head.status() / 100 == 2) {
                Some(answer) => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let named =
                        text.split("\"heartbeat_target\":\"").nth(1).and_then(|rest| rest.split('"').next());
                    target = named.and_then(|text| text.parse().ok()).or(target);
                    thread::sleep(self.heartbeat);
                }
                None => {
                    (at, target) = (at + 1, None);
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    fn serve(&self, connection: &mut Connection) {
        let idle = Duration::from_secs(30);
        while let Ok(Some(head)) = connection.read_head(Instant::now() + idle) {
            let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let Ok(Some(body)) = connection.read_exactly(length, Instant::now() + idle) else { return };
            if self.answer(connection, &head, &body).is_none() {
                return;
            }
        }
    }

    /// Answers one request; `None` if the connection is to end.
    fn answer(&self, connection: &mut Connection, head: &Head, body: &[u8]) -> Option<()> {
        let attempt = head.get("x-grebeusher-attempt-id").unwrap_or_default().to_owned();
        let refused = |status: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Grebeusher-Attempt-Id: {attempt}\r\nX-Grebeusher-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        if head.get("x-grebeusher-target-instance").is_some_and(|target| target != self.id) {
            return connection.send(refused("421 Misdirected Request").as_bytes()).ok();
        }
        let target = head.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
        if head.first_line.starts_with("GET ") {
            return self.tell(connection, &target);
        }
        if attempt.is_empty() {
            return connection.send(refused("400 Bad Request").as_bytes()).ok();
        }
        let Some(load) = self.take_place() else {
            return connection.send(refused("503 Service Unavailable").as_bytes()).ok();
        };
        let done = self.run_request(connection, head, body, &attempt, &target, &load);
        if let Ok(mut places) = self.places.lock() {
            places.running -= 1;
        }
        self.freed.notify_one();
        done
    }

    /// Waits for a slot; the load then, as an answer tells it. `None` if too many wait.
    fn take_place(&self) -> Option<String> {
        let mut places = self.places.lock().ok()?;
        if places.running >= SLOTS {
            if places.waiting >= QUEUE {
                return None;
            }
            places.waiting += 1;
            while places.running >= SLOTS {
                places = self.freed.wait(places).ok()?;
            }
            places.waiting -= 1;
        }
        places.running += 1;
        Some(format!("{},{},{SLOTS}", places.running, places.waiting))
    }

    /// Health and load.
    fn tell(&self, connection: &mut Connection, target: &str) -> Option<()> {
        let (running, waiting) = self.places.lock().map(|places| (places.running, places.waiting)).ok()?;
        let load = format!(
            "X-Grebeusher-Instance-Id: {}\r\nX-Grebeusher-Server-Load: {running},{waiting},{SLOTS}\r\n",
            self.id
        );
        let body = match target {
            "/health" => String::new(),
            "/api/report" => format!(
                "{{\"pipeline_stage\":\"both\",\"models\":[],\"utilization\":false,\"call_seq\":0,\"queued_count\":{waiting},\"active_count\":{running},\"kv_used\":0,\"kv_total\":400843,\"open_handles\":0}}"
            ),
            _ => return connection.send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").ok(),
        };
        connection
            .send(format!("HTTP/1.1 200 OK\r\n{load}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
            .ok()
    }

    fn run_request(
        &self,
        connection: &mut Connection,
        head: &Head,
        body: &[u8],
        attempt: &str,
        target: &str,
        load: &str,
    ) -> Option<()> {
        let after: usize = head.get("last-event-id").and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        let host = head.get("host").unwrap_or("-");
        let words: Vec<&str> = target.trim_matches('/').split('/').collect();
        self.note(&format!("runs {attempt} of {host}{target} after event {after}"));
        let seal = format!(
            "X-Grebeusher-Attempt-Id: {attempt}\r\nX-Grebeusher-Server-Seal: {}.{}\r\nX-Grebeusher-Server-Load: {load}\r\n",
            self.id,
            std::process::id()
        );
        match words.as_slice() {
            [_, "stream", events, pause_ms] => {
                self.stream(connection, &seal, attempt, after..events.parse().ok()?, pause_ms.parse().ok()?)
            }
            [_, "bytes", count] => {
                let count: usize = count.parse().ok()?;
                let text = format!("HTTP/1.1 200 OK\r\n{seal}Content-Length: {count}\r\n\r\n");
                let mut bytes = text.into_bytes();
                bytes.extend((0..count).map(|at| b'a' + (at % 23) as u8));
                connection.send(&bytes).ok()?;
                self.note(&format!("answered {attempt} with {count} bytes"));
                Some(())
            }
            [_, "text", work_ms, events, ..] => {
                self.text(connection, &seal, attempt, work_ms.parse().ok()?, after..events.parse().ok()?)
            }
            [_, "item", work_ms, ..] => {
                self.item(connection, &seal, attempt, work_ms.parse().ok()?, after, body)
            }
            _ => connection
                .send(format!("HTTP/1.1 404 Not Found\r\n{seal}Content-Length: 0\r\n\r\n").as_bytes())
                .ok(),
        }
    }

    /// An answer without a length, that ends with its connection. Each event goes out in two pieces.
    fn stream(
        &self,
        connection: &mut Connection,
        seal: &str,
        attempt: &str,
        events: Range<usize>,
        pause_ms: u64,
    ) -> Option<()> {
        let head =
            format!("HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        connection.send(head.as_bytes()).ok()?;
        let last = events.end;
        for event in events.start + 1..=last {
            connection.send(format!("id: {event}\ndata: first-{event} ").as_bytes()).ok()?;
            self.note(&format!("half {event} of {attempt}"));
            thread::sleep(Duration::from_millis(pause_ms));
            connection.send(format!("second-{event}\n\n").as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(pause_ms));
        }
        self.note(&format!("answered {attempt} with {last} events"));
        // Dropped by the caller: the connection ends.
        None
    }

    /// An item of a batch job: so many events of the largest size that the site's sheet names.
    fn text(
        &self,
        connection: &mut Connection,
        seal: &str,
        attempt: &str,
        work_ms: u64,
        events: Range<usize>,
    ) -> Option<()> {
        self.work(connection, attempt, work_ms)?;
        let data = "w".repeat(EVENT_BYTES);
        let body: String =
            (events.start + 1..=events.end).map(|event| format!("id: {event}\ndata: {data}\n\n")).collect();
        let text = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.send(text.as_bytes()).ok()?;
        self.note(&format!("finished {attempt}"));
        Some(())
    }

    /// Works so long; `None` if the caller closes the connection meanwhile: the request is dropped.
    fn work(&self, connection: &Connection, attempt: &str, work_ms: u64) -> Option<()> {
        let until = Instant::now() + Duration::from_millis(work_ms);
        while Instant::now() < until {
            thread::sleep(until.saturating_duration_since(Instant::now()).min(Duration::from_millis(25)));
            if connection.is_closed_by_peer() {
                self.note(&format!("drops {attempt}, its caller has closed the connection"));
                return None;
            }
        }
        Some(())
    }

    /// An item of a batch job: one event.
    fn item(
        &self,
        connection: &mut Connection,
        seal: &str,
        attempt: &str,
        work_ms: u64,
        after: usize,
        body: &[u8],
    ) -> Option<()> {
        self.work(connection, attempt, work_ms)?;
        let event = match after {
            0 => format!("id: 1\ndata: done {attempt} {}\n\n", body.len()),
            _ => String::new(),
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{event}",
            event.len()
        );
        connection.send(text.as_bytes()).ok()?;
        self.note(&format!("finished {attempt}"));
        Some(())
    }
}
