//! The data plane's decisions: which executor gets a request, whether it is admitted, whether it is tried again.
