//! The console: a second address, at which operators read the node's metrics and state, drain the node, and submit
//! maintenance commands.

use crate::state::clock::Clock;
use crate::wire::one_shot::OneShotServer;
use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::Duration;
use grebeusher_transport::http::{self, Request};
use polling::Poller;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::info;

/// The operations of the node that the console offers.
pub trait NodeControl {
    fn is_ready(&self) -> bool;
    /// The text of `/stats`: metrics as statsd lines.
    fn metrics(&self) -> String;
    /// The maintenance plan and its state, and the other nodes, as JSON; `None` where maintenance or peers are not
    /// configured.
    fn fleet(&self) -> Option<String>;
    fn members(&self) -> Option<String>;
    /// Submits a maintenance command to the voters under a name, under which `fleet` shows its result; the error says
    /// why the command is invalid.
    fn submit_command(&mut self, name: u64, kind: &str, body: &[u8]) -> Result<(), String>;
    /// Starts to drain the node: clients are sent elsewhere until `end_drain`.
    fn start_drain(&mut self);
    /// Ends a drain; `false` if the node has been told to stop.
    fn end_drain(&mut self) -> bool;
}

pub struct Console {
    server: OneShotServer,
}

impl Console {
    pub fn listen(
        at: SocketAddr,
        keys: (usize, fn(usize) -> usize),
        common: (&Rc<Poller>, Clock),
    ) -> io::Result<Console> {
        Ok(Console { server: OneShotServer::listen(at, Duration::from_nanos(0), keys, common)? })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.server.address()
    }

    pub fn accept(&self) {
        self.server.accept(|| None);
    }

    pub fn handle_event(&self, index: usize, control: &mut impl NodeControl) {
        self.server.handle_event(index, |request| answer(request, control));
    }
}

/// The response to a request.
fn answer(request: &Request, control: &mut impl NodeControl) -> Vec<u8> {
    let path = request.target.split('?').next().unwrap_or_default();
    let reply = |succeeded: bool, failure_status: u16, text: &str| {
        http::answer(if succeeded { 200 } else { failure_status }, &[http::CLOSE], text.as_bytes())
    };
    match (path, request.method.as_str()) {
        ("/healthcheck", "GET") if control.is_ready() => reply(true, 503, "ready\n"),
        ("/healthcheck", "GET") => reply(false, 503, "not ready\n"),
        ("/healthcheck/fail", "POST") => {
            info!("drain requested at the console");
            control.start_drain();
            reply(true, 409, "clients are sent away\n")
        }
        ("/healthcheck/ok", "POST") => {
            let serving = control.end_drain();
            info!("end of the drain requested at the console; the node serves: {serving}");
            reply(serving, 409, if serving { "back to work\n" } else { "the node was told to stop\n" })
        }
        ("/stats", "GET") => reply(true, 503, &control.metrics()),
        ("/fleet", "GET") => match control.fleet() {
            Some(status) => reply(true, 404, &status),
            None => reply(false, 404, "no machines are taken out here\n"),
        },
        ("/fleet/members", "GET") => match control.members() {
            Some(members) => reply(true, 404, &members),
            None => reply(false, 404, "this node knows no others\n"),
        },
        (path, "POST") if path.starts_with("/fleet/") => {
            let kind = &path["/fleet/".len()..];
            let query = request.target.split_once("?name=").and_then(|(_, name)| name.parse().ok());
            // A command that is sent again under the same name is carried out once.
            let name =
                query.unwrap_or_else(|| fixed_hash(&format!("{kind} {:?}", std::time::Instant::now())));
            match control.submit_command(name, kind, &request.body) {
                Ok(()) => {
                    info!("maintenance: command {kind} is submitted to the voters as {name}");
                    http::answer(202, &[http::CLOSE], format!("{name}\n").as_bytes())
                }
                Err(error) => http::answer(400, &[http::CLOSE], format!("{error}\n").as_bytes()),
            }
        }
        ("/healthcheck" | "/stats" | "/fleet" | "/fleet/members", _) => {
            http::answer(405, &[("Allow", "GET"), http::CLOSE], b"")
        }
        ("/healthcheck/fail" | "/healthcheck/ok", _) => {
            http::answer(405, &[("Allow", "POST"), http::CLOSE], b"")
        }
        _ => http::answer(404, &[http::CLOSE], b""),
    }
}
