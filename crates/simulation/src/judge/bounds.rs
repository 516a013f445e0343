//! The bounds of the rules.

use grebeusher_time::Duration;

/// The bounds of the rules; the same as the processes' settings tell.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a machine must be without trouble.
    pub contact: Duration,
    /// From an acknowledged configuration to its use by all.
    pub config_apply: Duration,
    /// How late a request may reach an executor that leaves.
    pub drain: Duration,
    /// Until proper orders are acknowledged.
    pub ack: Duration,
    /// After this a regress shows.
    pub downgrade_slack: Duration,
    /// What a node may take to settle what was accepted or read.
    pub settle: Duration,
    /// How long items of an ended job may still reach executors.
    pub cancel: Duration,
    /// Until service is back after a final fault.
    pub recovery: Duration,
    /// What a SIGTERM gives.
    pub grace: Duration,
    /// The slack of a request that was read and lost.
    pub loss_slack: Duration,
    /// A machine stays lost for this long after its return.
    pub sync_time: Duration,
    /// A core that is unstable may make configurations late by so much.
    pub max_stretch: Duration,
    /// The share of a service's requests that a bad version may get during its roll-out,
    pub exposure_share: f64,
    /// and so many beside.
    pub exposure_slack: u64,
    /// From the 50th bad answer of a version on until nothing is sent to it.
    pub rollback: Duration,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact: Duration::from_millis(3000),
            config_apply: Duration::from_millis(2000),
            drain: Duration::from_millis(2000),
            ack: Duration::from_millis(4000),
            downgrade_slack: Duration::from_millis(250),
            settle: Duration::from_millis(1000),
            cancel: Duration::from_millis(3000),
            recovery: Duration::from_millis(12_000),
            grace: Duration::from_millis(8000),
            loss_slack: Duration::from_millis(200),
            sync_time: Duration::from_millis(5000),
            max_stretch: Duration::from_millis(5000),
            exposure_share: 0.1,
            exposure_slack: 50,
            rollback: Duration::from_millis(5000),
        }
    }
}
