//! What stands between nodes and one side: as long as nothing is wrong all passes at once.

use grebeusher_dispatch::time::{Duration, DurationExt, Instant};
use grebeusher_emulator::scenario::Way;
use rand::Rng;
use rand_pcg::Pcg32;

/// A message that got lost comes this much later, as TCP sends it again.
const ONCE_MORE: Duration = Duration::from_millis(200);
/// What drips passes so often.
pub const DRIP_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Cut(Way),
    Delay(Duration),
    /// The part of messages that must be sent again.
    Loss(f64),
    /// Connections that stand now say nothing any more, and nobody says so; new ones are as ever.
    HalfOpen,
    /// Connections break off after so many bytes from the node.
    Reset(u64),
    /// Bytes a second, each way.
    Drip(u64),
}

/// One link, with all that is wrong with it: faults overlap, each with a number to take it away by.
#[derive(Clone, Debug, Default)]
pub struct Link {
    troubles: Vec<(usize, Trouble)>,
}

impl Link {
    pub fn strikes(&mut self, fault: usize, trouble: Trouble) {
        self.troubles.push((fault, trouble));
    }

    pub fn mends(&mut self, fault: usize) {
        self.troubles.retain(|(of, _)| *of != fault);
    }

    fn has(&self, is: impl Fn(Trouble) -> bool) -> bool {
        self.troubles.iter().any(|&(_, trouble)| is(trouble))
    }

    pub fn is_clear(&self) -> bool {
        self.troubles.is_empty()
    }

    /// Whether what nodes say is held back.
    pub fn holds_from_nodes(&self) -> bool {
        self.has(|t| matches!(t, Trouble::Cut(Way::Both | Way::FromNodes)))
    }

    /// Whether what is said to nodes is held back.
    pub fn holds_to_nodes(&self) -> bool {
        self.has(|t| matches!(t, Trouble::Cut(Way::Both | Way::ToNodes)))
    }

    /// No connection comes up through a cut either way.
    pub fn is_cut(&self) -> bool {
        self.has(|t| matches!(t, Trouble::Cut(_)))
    }

    /// When a message passes that is sent now.
    pub fn passes(&self, now: Instant, chance: &mut Pcg32) -> Instant {
        let mut when = now;
        for &(_, trouble) in &self.troubles {
            match trouble {
                Trouble::Delay(span) => when = when + span,
                Trouble::Loss(part) if chance.random::<f64>() < part => when = when + ONCE_MORE,
                _ => {}
            }
        }
        when
    }

    /// When a datagram passes that comes now: never, once or twice.
    pub fn lets_datagram(&self, now: Instant, chance: &mut Pcg32) -> Vec<Instant> {
        if self.is_cut() || self.has(|t| t == Trouble::HalfOpen) {
            return Vec::new();
        }
        let mut passes = vec![now];
        for &(_, trouble) in &self.troubles {
            match trouble {
                // Each later by a time of its own: they overtake each other.
                Trouble::Delay(span) => {
                    passes
                        .iter_mut()
                        .for_each(|when| *when = *when + span.scaled(0.5 + chance.random::<f64>()));
                }
                Trouble::Loss(part) => {
                    let draw = chance.random::<f64>();
                    if draw < part {
                        return Vec::new();
                    } else if draw < 2.0 * part {
                        passes.push(now + ONCE_MORE.scaled(chance.random::<f64>()));
                    }
                }
                _ => {}
            }
        }
        passes
    }

    /// After how many bytes of a node its connection breaks off.
    pub fn resets_after(&self) -> Option<u64> {
        let after =
            |&(_, t): &(usize, Trouble)| if let Trouble::Reset(after) = t { Some(after) } else { None };
        self.troubles.iter().filter_map(after).min()
    }

    /// How many bytes pass each time that it drips.
    pub fn drips(&self) -> Option<usize> {
        let a_second =
            |&(_, t): &(usize, Trouble)| if let Trouble::Drip(bytes) = t { Some(bytes) } else { None };
        let least = self.troubles.iter().filter_map(a_second).min()?;
        Some(((least as f64 * DRIP_INTERVAL.seconds()) as usize).max(1))
    }
}
