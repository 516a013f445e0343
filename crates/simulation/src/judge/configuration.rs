//! Configurations: which are in force, and which requests were handled by.

use super::{Judge, Rule};
use grebeusher_time::Instant;
use std::collections::BTreeMap;

/// A configuration that was sent.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// What it builds on.
    pub base: u64,
    /// Its bytes.
    pub body: Vec<u8>,
    /// The services of each prefix.
    pub routes: BTreeMap<String, Vec<String>>,
    /// Whether it is valid.
    pub valid: bool,
    /// When it was sent first.
    pub sent: Instant,
    /// When it was acknowledged.
    pub acknowledged: Option<Instant>,
    /// Whether it was refused for good.
    pub refused: bool,
    /// Whether it was acknowledged by an answer that was lost on its way.
    pub taken: bool,
}

/// An order of the operator: what makes a change the same one when it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentOrder<'a> {
    /// Its number.
    pub number: u64,
    /// What it builds on.
    pub base: u64,
    /// Its bytes.
    pub body: &'a [u8],
}

impl Version {
    fn is(&self, order: SentOrder<'_>) -> bool {
        (self.number, self.base, self.body.as_slice()) == (order.number, order.base, order.body)
    }

    fn allows(&self, prefix: &str, service: &str) -> bool {
        self.routes.get(prefix).is_some_and(|services| services.iter().any(|other| other == service))
    }
}

impl Judge {
    /// A configuration is sent for the first time.
    pub fn version_sent(&mut self, version: Version) {
        self.versions.push(version);
    }

    /// It is acknowledged.
    pub fn version_acknowledged(&mut self, order: SentOrder<'_>, at: Instant) {
        let SentOrder { number, base, .. } = order;
        let twin = self.versions.iter().find(|version| {
            version.base == base && !version.is(order) && (version.acknowledged.is_some() || version.taken)
        });
        let twin = twin.map(|version| version.number);
        let Some(version) = self.versions.iter_mut().find(|version| version.is(order)) else { return };
        version.acknowledged.get_or_insert(at);
        let (valid, refused) = (version.valid, version.refused);
        self.counts.acknowledged += 1;
        if !valid {
            self.breach(Rule::Config, at, format!("version {number} is invalid and was acknowledged"));
        }
        if refused {
            self.breach(Rule::Config, at, format!("version {number} was refused and then acknowledged"));
        }
        if let Some(twin) = twin {
            self.breach(
                Rule::Config,
                at,
                format!("versions {twin} and {number} on {base} were both acknowledged"),
            );
        }
    }

    /// It is acknowledged by an answer that gets lost on its way.
    pub fn version_taken(&mut self, order: SentOrder<'_>) {
        if let Some(version) = self.versions.iter_mut().find(|version| version.is(order)) {
            version.taken = true;
        }
    }

    /// It is refused for good.
    pub fn version_refused(&mut self, order: SentOrder<'_>, at: Instant) {
        let Some(version) = self.versions.iter_mut().find(|version| version.is(order)) else { return };
        version.refused = true;
        if version.taken || version.acknowledged.is_some() {
            let what = format!("version {} was refused when it was sent again", order.number);
            self.breach(Rule::Config, at, what);
        }
    }

    /// The newest acknowledged version.
    pub fn newest_acknowledged(&self) -> u64 {
        self.versions.iter().filter(|v| v.acknowledged.is_some()).map(|v| v.number).max().unwrap_or(0)
    }

    /// What an operator reads in between, by a call that was sent at `sent`: nothing older than what was acknowledged then.
    pub fn peeked(&mut self, body: &[u8], sent: Instant, at: Instant) {
        let due =
            self.versions.iter().filter(|v| v.acknowledged.is_some_and(|acknowledged| acknowledged < sent));
        let due = due.map(|version| version.number).max().unwrap_or(0);
        let shown = self.versions.iter().filter(|version| version.body == body).map(|v| v.number).max();
        if let Some(shown) = shown.filter(|shown| *shown < due) {
            let what = format!("version {shown} was read, {due} had been acknowledged before");
            self.breach(Rule::Stale, at, what);
        }
    }

    /// What the operator reads back; nothing if it was told that there is none.
    pub fn shown(&mut self, body: Option<&[u8]>, at: Instant, last: bool) -> Option<u64> {
        let newest = self.newest_acknowledged();
        let Some(body) = body else {
            if newest > 0 && last {
                self.breach(Rule::Lost, at, format!("version {newest} was acknowledged, and none is there"));
            }
            return None;
        };
        let Some(version) = self.versions.iter().find(|version| version.body == body).cloned() else {
            self.breach(Rule::Config, at, "a configuration was read back that nobody sent".to_owned());
            return None;
        };
        if version.refused || !version.valid {
            let what = format!("version {} is in force though it was refused or invalid", version.number);
            self.breach(Rule::Config, at, what);
        }
        if version.number < newest && last {
            let what = format!("version {} was read back, {newest} was acknowledged", version.number);
            self.breach(Rule::Config, at, what);
        }
        Some(version.number)
    }

    /// Nothing was read back in all the time that was given for it.
    pub fn never_shown(&mut self, at: Instant) {
        if self.newest_acknowledged() > 0 {
            self.breach(Rule::Config, at, "the configuration could not be read back at the end".to_owned());
        }
    }

    /// `newest` is the newest version that explains what was done with a request.
    pub(super) fn check_version(
        &mut self,
        sent: Instant,
        at: Instant,
        host: usize,
        life: Option<usize>,
        newest: u64,
        id: &str,
    ) {
        let bound = self.bounds.config_apply;
        let due = self.versions.iter().filter(|version| {
            version.number > newest
                && version.acknowledged.is_some_and(|acknowledged| sent > acknowledged + bound)
        });
        if let Some(version) = due.map(|version| version.number).max()
            && self.in_touch(host, sent - bound, at)
        {
            let what =
                format!("{id} at host {host} was handled by version {newest} or older, {version} was due");
            self.breach(Rule::Config, at, what);
        }
        // The operators' rule leaves `downgrade_slack_ms`; by the design note a node never goes back, so none is left here.
        let regress = life.and_then(|life| self.evidence.get(&life)).and_then(|seen| {
            seen.iter()
                .filter(|(when, number)| *number > newest && sent > *when)
                .map(|(_, number)| *number)
                .max()
        });
        if let Some(version) = regress {
            let what =
                format!("{id} at host {host} was handled by version {newest} or older after {version}");
            self.breach(Rule::Config, at, what);
        }
    }

    /// The valid versions, sent by then, that give a service to a prefix.
    pub(super) fn allowing(&self, prefix: &str, service: &str, at: Instant) -> Vec<u64> {
        self.versions
            .iter()
            .filter(|version| version.valid && version.sent <= at && version.allows(prefix, service))
            .map(|version| version.number)
            .collect()
    }
}
