//! Answers that executors send twice. The copy is late: it comes in the place of the next answer on the connection.

use super::Executors;
use super::serving::flush;
use crate::hub::End;
use crate::stage::Stage;
use rand::Rng;

impl Executors {
    /// Keeps what is sent of the current answer, if answers are repeated.
    pub(super) fn keep_for_repeat(&mut self, number: usize, end: End, bytes: &[u8]) {
        let live = &mut self.all[number];
        let may_repeat = live.lies.repeated > 0.0;
        if let Some(connection) = live.connections.get_mut(&end).filter(|_| may_repeat) {
            connection.answer.extend_from_slice(bytes);
        }
    }

    /// The current answer is complete: a share of the answers is to be sent again.
    pub(super) fn answer_complete(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let live = &mut self.all[number];
        let share = live.lies.repeated;
        let Some(connection) = live.connections.get_mut(&end) else { return };
        let answer = std::mem::take(&mut connection.answer);
        if share > 0.0 && stage.hub.random.random_bool(share) {
            connection.late_copies.extend_from_slice(&answer);
        }
    }

    /// Sends the copies that the executor has kept.
    pub(super) fn write_late_copies(&mut self, number: usize, end: End, stage: &mut Stage<'_>) {
        let Some(connection) = self.all[number].connections.get_mut(&end) else { return };
        let copies = std::mem::take(&mut connection.late_copies);
        connection.out.extend_from_slice(&copies);
        flush(connection, end, stage);
    }
}
