//! Names of the HTTP headers that the tier reads or writes.

/// The client's id for one attempt; executors copy it into the response, by which a response is matched to its request.
pub const ATTEMPT_ID: &str = "X-Grebeusher-Attempt-Id";
/// How long the client waits for the response, in milliseconds.
pub const DEADLINE_MS: &str = "X-Grebeusher-Deadline-Ms";
/// The instance id of the executor process that a request is for; any other process rejects it.
pub const TARGET_INSTANCE: &str = "X-Grebeusher-Target-Instance";
/// Set by executors on their responses. A 2xx response without it comes from some other server and is not relayed.
pub const SERVER_SEAL: &str = "X-Grebeusher-Server-Seal";
/// States that the executor did not run the request.
pub const NOT_EXECUTED: &str = "X-Grebeusher-Not-Executed";
/// The executor's load: its running requests, its waiting requests and its slots.
pub const SERVER_LOAD: &str = "X-Grebeusher-Server-Load";
/// The id of the last event that the reader of an event stream has received.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// The number of prompt tokens and the maximum number of output tokens.
pub const TOKEN_COUNT: &str = "X-Grebeusher-Token-Count";
/// The segments of a prompt in order, each with its length in tokens. Other requests may share all but the last.
pub const PROMPT_PREFIX: &str = "X-Grebeusher-Prompt-Prefix";
/// How long a read of batch results may wait for new results, in milliseconds.
pub const HOLD_MS: &str = "X-Grebeusher-Hold-Ms";
/// The configuration version that a replacement was derived from.
pub const BASE_VERSION: &str = "X-Grebeusher-Base-Version";
/// The name of the model that a request is for.
pub const MODEL_NAME: &str = "X-Grebeusher-Model-Name";
