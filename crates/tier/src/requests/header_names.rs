//! Names of the headers that the tier reads or writes.

/// The id of a client's try.
pub const ATTEMPT_ID: &str = "X-Grebeusher-Attempt-Id";
/// How long the client will wait, in milliseconds.
pub const DEADLINE_MS: &str = "X-Grebeusher-Deadline-Ms";
/// The incarnation that a request is meant for.
pub const TARGET_INSTANCE: &str = "X-Grebeusher-Target-Instance";
/// The executor's stamp on an answer.
pub const SERVER_SEAL: &str = "X-Grebeusher-Server-Seal";
/// The executor did not run the request.
pub const NOT_EXECUTED: &str = "X-Grebeusher-Not-Executed";
/// Running, waiting and slots of an executor.
pub const SERVER_LOAD: &str = "X-Grebeusher-Server-Load";
/// The last event that a reader has.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";
/// Tokens of the prompt, and the most that come out.
pub const TOKEN_COUNT: &str = "X-Grebeusher-Token-Count";
/// The part of a prompt.
pub const PROMPT_PREFIX: &str = "X-Grebeusher-Prompt-Prefix";
/// The longest that a read of results is held, in milliseconds.
pub const HOLD_MS: &str = "X-Grebeusher-Hold-Ms";
/// The version that a configuration builds on.
pub const BASE_VERSION: &str = "X-Grebeusher-Base-Version";
/// The model that a request is for.
pub const MODEL_NAME: &str = "X-Grebeusher-Model-Name";
