//! Loopback addresses that this run alone uses, all with one port below those that the system gives to connections: no port
//! that a process had is taken by somebody else while it is away.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

const PORT: u16 = 7000;
/// Blocks of 65,536 addresses that runs side by side take one each of: 127.64.0.0 to 127.191.0.0.
const FIRST: u8 = 64;
const BLOCKS: u32 = 128;

pub struct Addresses {
    block: u8,
    given: u16,
    /// As long as this listens the block is taken.
    _held: TcpListener,
}

impl Addresses {
    /// # Errors
    /// When all blocks are taken, or the system has no loopback addresses but one.
    pub fn take() -> io::Result<Addresses> {
        let from = std::process::id() % BLOCKS;
        let blocks = (0..BLOCKS).map(|step| FIRST + ((from + step) % BLOCKS) as u8);
        let mut last = io::Error::other("no address");
        for block in blocks {
            match TcpListener::bind((Ipv4Addr::new(127, block, 0, 1), PORT)) {
                Ok(held) => return Ok(Addresses { block, given: 1, _held: held }),
                Err(e) => last = e,
            }
        }
        Err(io::Error::new(last.kind(), format!("no block of loopback addresses is free: {last}")))
    }

    pub fn give(&mut self) -> SocketAddr {
        self.given += 1;
        let [high, low] = self.given.to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, self.block, high, low), PORT))
    }
}
