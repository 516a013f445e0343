//! The register of one executor.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::hash;
use crate::report::HeartbeatReport;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The largest number of models in a register; further models of an executor are omitted.
pub(crate) const MAX_MODELS: usize = 16;

/// The state of an executor's lifecycle. It only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutorState {
    /// The executor accepts requests.
    Up,
    /// The executor is about to end and accepts no new requests.
    Draining,
    /// The executor has deregistered.
    Gone,
}

/// A model that an executor holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The name of the model.
    pub name: String,
    /// The version of the model's weights.
    pub config_version: u64,
}

/// The register of one process of an executor, written by the node that the executor called last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executor {
    /// The latest published heartbeat; heartbeats that change nothing else are not published. The state may be later
    /// than the one in that heartbeat, because the state is merged separately and only moves forward.
    pub report: HeartbeatReport,
    /// The name of the node that the executor called last, which watches its heartbeats.
    pub reporter: String,
    /// Whether the heartbeats of the executor are missing. This is only a hint: the executor may still run.
    pub unresponsive: bool,
}

impl Executor {
    /// Creates the register from a heartbeat that the node `reporter` received.
    pub(crate) fn reported(report: HeartbeatReport, reporter: &str) -> Executor {
        Executor { report, reporter: reporter.to_owned(), unresponsive: false }
    }

    /// Creates the register of an executor that deregisters at a node that does not know it; other nodes may know it.
    pub(crate) fn unknown(id: &str, reporter: &str) -> Executor {
        let report = HeartbeatReport {
            id: id.to_owned(),
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            slot_count: 0,
            config_version: String::new(),
            pipeline_stage: String::new(),
            state: ExecutorState::Gone,
            cold_left_ms: 0,
            call_seq: 0,
            models: Vec::new(),
        };
        Executor::reported(report, reporter)
    }

    /// Returns the same register with another state.
    pub(crate) fn with_state(mut self, state: ExecutorState) -> Executor {
        self.report.state = state;
        self
    }

    /// Returns whether the executor has not deregistered as far as is known.
    pub fn exists(&self) -> bool {
        self.report.state != ExecutorState::Gone
    }

    /// Returns the sort key of the register: of two registers of one executor, the one with the greater key is newer.
    /// The last part, a hash, decides between two registers with the same `call_seq`. It ignores the state, which is
    /// merged separately.
    fn order(&self) -> (u64, bool, u64) {
        let mut out = Writer::default();
        self.clone().with_state(ExecutorState::Up).write(&mut out);
        (self.report.call_seq, self.unresponsive, hash::of_bytes(&out.bytes))
    }

    /// Merges `other` into this register. Returns whether the register changed.
    pub(crate) fn merge(&mut self, other: Executor) -> bool {
        let state = self.report.state.max(other.report.state);
        let is_newer = other.order() > self.order();
        let changed = is_newer || state != self.report.state;
        if is_newer {
            *self = other;
        }
        self.report.state = state;
        changed
    }

    /// Returns whether the difference between the two registers has to be published. A change of only `call_seq` and
    /// `cold_left_ms`, which every heartbeat brings, does not have to be.
    pub(crate) fn differs_from(&self, other: &Executor) -> bool {
        let HeartbeatReport { cold_left_ms, call_seq, .. } = other.report;
        let comparable = HeartbeatReport { cold_left_ms, call_seq, ..self.report.clone() };
        comparable != other.report
            || self.reporter != other.reporter
            || self.unresponsive != other.unresponsive
    }
}

impl Wire for Model {
    fn write(&self, out: &mut Writer) {
        out.text(&self.name);
        out.u64(self.config_version);
    }

    fn read(input: &mut Reader<'_>) -> Result<Model, DecodeError> {
        Ok(Model { name: input.text()?, config_version: input.u64()? })
    }
}

impl Wire for Executor {
    fn write(&self, out: &mut Writer) {
        out.text(&self.report.id);
        out.text(&self.report.service);
        self.report.address.write(out);
        out.text(&self.report.zone);
        out.u32(self.report.slot_count);
        out.text(&self.report.config_version);
        out.text(&self.report.pipeline_stage);
        let state = match self.report.state {
            ExecutorState::Up => 0,
            ExecutorState::Draining => 1,
            ExecutorState::Gone => 2,
        };
        out.u8(state | u8::from(self.unresponsive) << 2);
        out.u64(self.report.cold_left_ms);
        out.u64(self.report.call_seq);
        out.list(&self.report.models);
        out.text(&self.reporter);
    }

    fn read(input: &mut Reader<'_>) -> Result<Executor, DecodeError> {
        let id = input.text()?;
        let service = input.text()?;
        let address = SocketAddrV4::read(input)?;
        let zone = input.text()?;
        let slot_count = input.u32()?;
        let config_version = input.text()?;
        let pipeline_stage = input.text()?;
        let flags = input.u8()?;
        let state = match flags & 0b11 {
            0 => ExecutorState::Up,
            1 => ExecutorState::Draining,
            2 => ExecutorState::Gone,
            _ => return UnknownVariantSnafu { what: "the state of an executor", tag: flags }.fail(),
        };
        if flags > 0b111 {
            return UnknownVariantSnafu { what: "the flags of an executor", tag: flags }.fail();
        }
        let report = HeartbeatReport {
            id,
            service,
            address,
            zone,
            slot_count,
            config_version,
            pipeline_stage,
            state,
            cold_left_ms: input.u64()?,
            call_seq: input.u64()?,
            models: input.list("the models of an executor", MAX_MODELS)?,
        };
        Ok(Executor { report, reporter: input.text()?, unresponsive: flags & 0b100 != 0 })
    }
}
