//! Callbacks: the messages by which executors report the progress and the end of accepted requests.

use serde::Deserialize;
use serde_json::Value;

pub const PATH: &str = "/v1/job-events";

#[derive(Deserialize)]
pub struct Callback {
    pub id: String,
    pub from: String,
    #[serde(flatten)]
    pub state: State,
    #[serde(default)]
    pub load: Value,
}

/// The state of a request at the executor, in the words of the protocol.
#[derive(Debug, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum State {
    Started,
    Running,
    Done {
        #[serde(default)]
        result: String,
    },
    Failed,
    Returned,
    Lost,
    /// A state that this version does not know; it is ignored.
    #[serde(other)]
    Other,
}
