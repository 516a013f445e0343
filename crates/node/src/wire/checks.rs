//! Health checks of external load balancers: an agent check, answered by a line of text on connecting, and an HTTP
//! health check.

use crate::state::clock::Clock;
use crate::wire::one_shot::OneShotServer;
use grebeusher_dispatch::time::Instant;
use grebeusher_health_reporting::Verdict;
use grebeusher_node_config::frontends::HealthCheckSettings;
use grebeusher_transport::http::{self, Request};
use polling::Poller;
use std::io;
use std::rc::Rc;

/// The poller keys of a listener, and of its connections by their indices.
type Keys = (usize, fn(usize) -> usize);

pub struct HealthChecks {
    agent: Option<OneShotServer>,
    health: Option<OneShotServer>,
}

impl HealthChecks {
    pub fn listen(
        settings: &HealthCheckSettings,
        (agent, health): (Keys, Keys),
        common: (&Rc<Poller>, Clock),
    ) -> Result<HealthChecks, String> {
        let listen = |key: &str, at: Option<std::net::SocketAddr>, keys: Keys| {
            let server = at.map(|at| {
                OneShotServer::listen(at, settings.min_interval(), keys, common).map_err(|e| (at, e))
            });
            server.transpose().map_err(|(at, e)| format!("checks.{key}: {at}: {e}"))
        };
        let agent = listen("agent", settings.agent, agent)?;
        Ok(HealthChecks { agent, health: listen("health", settings.health, health)? })
    }

    /// The addresses of the checks, for the log.
    pub fn addresses(&self) -> io::Result<String> {
        let mut addresses = Vec::new();
        for (name, server) in [("agent checks", &self.agent), ("health calls", &self.health)] {
            if let Some(server) = server {
                addresses.push(format!("{name} at {}", server.address()?));
            }
        }
        Ok(addresses.join(", "))
    }

    /// Accepts agent checks. The response is sent on connecting, whatever the balancer may send.
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

    pub fn handle_agent_event(&self, index: usize) {
        if let Some(agent) = &self.agent {
            // The connection was answered when it was accepted.
            agent.handle_event(index, |_| Vec::new());
        }
    }

    pub fn handle_health_event(&self, index: usize, verdict: impl FnOnce() -> Verdict) {
        if let Some(health) = &self.health {
            health.handle_event(index, |request| answer(request, verdict));
        }
    }

    pub fn next_timeout(&self) -> Option<Instant> {
        self.agent.iter().chain(&self.health).filter_map(OneShotServer::next_timeout).min()
    }

    pub fn handle_timeouts(&self) {
        self.agent.iter().chain(&self.health).for_each(OneShotServer::handle_timeouts);
    }
}

/// Answers an HTTP health check on any path, as each balancer is configured with its own.
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
