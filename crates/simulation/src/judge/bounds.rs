//! The bounds of the rules.

use grebeusher_time::Span;

/// The bounds of the rules; the same as the processes' settings tell.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a machine must be without trouble.
    pub contact: Span,
    /// From an acknowledged configuration to its use by all.
    pub config_apply: Span,
    /// How late a request may reach an executor that leaves.
    pub drain: Span,
    /// Until proper orders are acknowledged.
    pub ack: Span,
    /// After this a regress shows.
    pub downgrade_slack: Span,
    /// What a node may take to settle what was accepted or read.
    pub settle: Span,
    /// How long items of an ended job may still reach executors.
    pub cancel: Span,
    /// Until service is back after a final fault.
    pub recovery: Span,
    /// What a SIGTERM gives.
    pub grace: Span,
    /// The slack of a request that was read and lost.
    pub loss_slack: Span,
    /// A machine stays lost for this long after its return.
    pub sync_time: Span,
    /// A core that is unstable may make configurations late by so much.
    pub max_stretch: Span,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact: Span::millis(3000),
            config_apply: Span::millis(2000),
            drain: Span::millis(2000),
            ack: Span::millis(4000),
            downgrade_slack: Span::millis(250),
            settle: Span::millis(1000),
            cancel: Span::millis(3000),
            recovery: Span::millis(12_000),
            grace: Span::millis(8000),
            loss_slack: Span::millis(200),
            sync_time: Span::millis(5000),
            max_stretch: Span::millis(5000),
        }
    }
}
