//! Where other balancers ask whether the node should get traffic: a line of text on connecting, or an HTTP health call.

use crate::state::clock::Clock;
use crate::wire::one_shot::Calls;
use grebeusher_dispatch::time::Instant;
use grebeusher_health_reporting::Verdict;
use grebeusher_node_config::frontends::HealthCheckSettings;
use grebeusher_transport::http::{self, Request};
use polling::Poller;
use std::io;
use std::rc::Rc;

/// Keys under which the loop knows a listener and its connections.
type Keys = (usize, fn(usize) -> usize);

pub struct Checks {
    agent: Option<Calls>,
    health: Option<Calls>,
}

impl Checks {
    pub fn listen(
        settings: &HealthCheckSettings,
        (agent, health): (Keys, Keys),
        common: (&Rc<Poller>, Clock),
    ) -> Result<Checks, String> {
        let listen = |key: &str, at: Option<std::net::SocketAddr>, keys: Keys| {
            let calls =
                at.map(|at| Calls::listen(at, settings.min_interval(), keys, common).map_err(|e| (at, e)));
            calls.transpose().map_err(|(at, e)| format!("checks.{key}: {at}: {e}"))
        };
        let agent = listen("agent", settings.agent, agent)?;
        Ok(Checks { agent, health: listen("health", settings.health, health)? })
    }

    /// Where it is asked, for the log.
    pub fn addresses(&self) -> io::Result<String> {
        let mut said = Vec::new();
        for (what, calls) in [("agent checks", &self.agent), ("health calls", &self.health)] {
            if let Some(calls) = calls {
                said.push(format!("{what} at {}", calls.address()?));
            }
        }
        Ok(said.join(", "))
    }

    /// A balancer connects for an agent check: it is told at once, whatever it may say.
    pub fn accept_agent(&self, mut verdict: impl FnMut() -> Verdict) {
        if let Some(agent) = &self.agent {
            agent.accept(|| Some(verdict().line().into_bytes()));
        }
    }

    pub fn accept_health(&self) {
        if let Some(health) = &self.health {
            health.accept(|| None);
        }
    }

    pub fn stirred_agent(&self, place: usize) {
        if let Some(agent) = &self.agent {
            // All have their answer by now.
            agent.stirred(place, |_| Vec::new());
        }
    }

    pub fn stirred_health(&self, place: usize, verdict: impl FnOnce() -> Verdict) {
        if let Some(health) = &self.health {
            health.stirred(place, |request| answer(request, verdict));
        }
    }

    pub fn next_due(&self) -> Option<Instant> {
        self.agent.iter().chain(&self.health).filter_map(Calls::next_due).min()
    }

    pub fn due(&self) {
        self.agent.iter().chain(&self.health).for_each(Calls::due);
    }
}

/// Whatever path a balancer was told to ask at.
fn answer(request: &Request, verdict: impl FnOnce() -> Verdict) -> Vec<u8> {
    match request.method.as_str() {
        "GET" | "OPTIONS" => {
            let verdict = verdict();
            http::answer(verdict.status(), &[http::CLOSE], verdict.line().as_bytes())
        }
        "HEAD" => http::answer(verdict().status(), &[http::CLOSE], b""),
        _ => http::answer(405, &[("Allow", "GET, HEAD, OPTIONS"), http::CLOSE], b""),
    }
}
