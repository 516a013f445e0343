//! The console: a second address at which the staff ask how the node is and send its clients away.

use crate::state::clock::Clock;
use crate::wire::one_shot::Calls;
use grebeusher_dispatch::ids::fixed_hash;
use grebeusher_dispatch::time::Duration;
use grebeusher_transport::http::{self, Request};
use polling::Poller;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::info;

/// What the console asks of the node.
pub trait Office {
    fn is_ready(&self) -> bool;
    /// What `/stats` shows.
    fn figures(&self) -> String;
    /// The plan by which machines are taken out, and the other nodes, as JSON; `None` where there is nothing of the kind.
    fn fleet(&self) -> Option<String>;
    fn members(&self) -> Option<String>;
    /// Hands a command to the keepers under a name, under which `fleet` shows its answer; the error says what is wrong with
    /// it.
    fn says(&mut self, name: u64, what: &str, body: &[u8]) -> Result<(), String>;
    /// Clients go elsewhere until further word.
    fn send_away(&mut self);
    /// Back to work; `false` once the node has been told to stop.
    fn take_back(&mut self) -> bool;
}

pub struct Console {
    calls: Calls,
}

impl Console {
    pub fn listen(
        at: SocketAddr,
        keys: (usize, fn(usize) -> usize),
        common: (&Rc<Poller>, Clock),
    ) -> io::Result<Console> {
        Ok(Console { calls: Calls::listen(at, Duration::from_nanos(0), keys, common)? })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.calls.address()
    }

    pub fn accept(&self) {
        self.calls.accept(|| None);
    }

    pub fn stirred(&self, place: usize, office: &mut impl Office) {
        self.calls.stirred(place, |request| answer(request, office));
    }
}

/// What a call is answered.
fn answer(request: &Request, office: &mut impl Office) -> Vec<u8> {
    let path = request.target.split('?').next().unwrap_or_default();
    let say = |yes: bool, no: u16, what: &str| {
        http::answer(if yes { 200 } else { no }, &[http::CLOSE], what.as_bytes())
    };
    match (path, request.method.as_str()) {
        ("/healthcheck", "GET") if office.is_ready() => say(true, 503, "ready\n"),
        ("/healthcheck", "GET") => say(false, 503, "not ready\n"),
        ("/healthcheck/fail", "POST") => {
            info!("clients are sent away");
            office.send_away();
            say(true, 409, "clients are sent away\n")
        }
        ("/healthcheck/ok", "POST") => {
            let back = office.take_back();
            info!("back to work: {back}");
            say(back, 409, if back { "back to work\n" } else { "the node was told to stop\n" })
        }
        ("/stats", "GET") => say(true, 503, &office.figures()),
        ("/fleet", "GET") => match office.fleet() {
            Some(shown) => say(true, 404, &shown),
            None => say(false, 404, "no machines are taken out here\n"),
        },
        ("/fleet/members", "GET") => match office.members() {
            Some(members) => say(true, 404, &members),
            None => say(false, 404, "this node knows no others\n"),
        },
        (path, "POST") if path.starts_with("/fleet/") => {
            let what = &path["/fleet/".len()..];
            let query = request.target.split_once("?name=").and_then(|(_, name)| name.parse().ok());
            // Whoever asks again by the same name has it done once.
            let name =
                query.unwrap_or_else(|| fixed_hash(&format!("{what} {:?}", std::time::Instant::now())));
            match office.says(name, what, &request.body) {
                Ok(()) => {
                    info!("plan: {what} goes to the keepers as {name}");
                    http::answer(202, &[http::CLOSE], format!("{name}\n").as_bytes())
                }
                Err(wrong) => http::answer(400, &[http::CLOSE], format!("{wrong}\n").as_bytes()),
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
