//! Words from the system: to stop, and to read the posting anew.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, Read};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Each word raises its flag and then stirs the loop by a byte: what polls watches the descriptor for reading.
pub struct Signals {
    stirs: UnixStream,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// From here on no word ends the process. Guards against SIGHUP at any time, also before the node is ready.
    pub fn catch() -> io::Result<Signals> {
        let (stirs, stirred) = UnixStream::pair()?;
        stirs.set_nonblocking(true)?;
        let signals = Signals { stirs, stop: Arc::default(), reload: Arc::default() };
        let words = [(SIGTERM, &signals.stop), (SIGINT, &signals.stop), (SIGHUP, &signals.reload)];
        for (signal, raised) in words {
            flag::register(signal, raised.clone())?;
            pipe::register(signal, stirred.try_clone()?)?;
        }
        Ok(signals)
    }

    /// The loop was stirred: takes the bytes that did it. The flags tell why.
    pub fn drain(&self) {
        let mut bytes = [0; 16];
        while matches!((&self.stirs).read(&mut bytes), Ok(1..)) {}
    }

    /// Whether word to stop came since this was last asked.
    pub fn told_to_stop(&self) -> bool {
        self.stop.swap(false, Ordering::Relaxed)
    }

    /// The same of word to read the posting anew; several that came together are one.
    pub fn told_to_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

impl AsFd for Signals {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stirs.as_fd()
    }
}

impl AsRawFd for Signals {
    fn as_raw_fd(&self) -> RawFd {
        self.stirs.as_raw_fd()
    }
}
