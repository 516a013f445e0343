//! One executor, as the nodes know it.

use crate::codec::{Reader, Wire, Writer};
use crate::error::{DecodeError, UnknownVariantSnafu};
use crate::hash;
use crate::report::HeartbeatReport;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The most models that a register carries; what an executor names beyond is left out.
pub(crate) const MAX_MODELS: usize = 16;

/// What an executor has said of its lifecycle. It only ever moves on, never back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExecutorState {
    /// Takes requests.
    Up,
    /// About to end: no new requests.
    Draining,
    /// Has deregistered.
    Gone,
}

/// A model that an executor holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// The version of its weights.
    pub config_version: u64,
}

/// The register of one incarnation of an executor, written by the node that it called last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Executor {
    /// The heartbeat that this register comes from; plain heartbeats after it are not published. Its state may be
    /// further on than that of the call, as the state merges by itself and only ever moves on.
    pub report: HeartbeatReport,
    /// The name of the node that it called, which watches its heartbeats.
    pub reporter: String,
    /// Whether it misses its heartbeats. A hint: it may run all the same.
    pub unresponsive: bool,
}

impl Executor {
    /// The register after a heartbeat to the node `reporter`.
    pub(crate) fn reported(report: HeartbeatReport, reporter: &str) -> Executor {
        Executor { report, reporter: reporter.to_owned(), unresponsive: false }
    }

    /// The register of an executor that deregisters at a node which does not know it; others may.
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

    /// The same register in another state.
    pub(crate) fn with_state(mut self, state: ExecutorState) -> Executor {
        self.report.state = state;
        self
    }

    /// Whether it has not ended as far as is known.
    pub fn exists(&self) -> bool {
        self.report.state != ExecutorState::Gone
    }

    /// Of two registers of one executor the greater is the newer. The last part decides between two that took one
    /// call number in turn; the state is left out of it, as that goes its own way.
    fn order(&self) -> (u64, bool, u64) {
        let mut out = Writer::default();
        self.clone().with_state(ExecutorState::Up).write(&mut out);
        (self.report.call_seq, self.unresponsive, hash::of_bytes(&out.bytes))
    }

    /// Takes over what is newer in `other`. Whether anything changed.
    pub(crate) fn merge(&mut self, other: Executor) -> bool {
        let state = self.report.state.max(other.report.state);
        let newer = other.order() > self.order();
        let changed = newer || state != self.report.state;
        if newer {
            *self = other;
        }
        self.report.state = state;
        changed
    }

    /// Whether others need to know the difference between the two. What a plain heartbeat changes is none.
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
