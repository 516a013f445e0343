//! The log on disk: frames of a length, a sum and a record, one after the other, by one writer. What a crash has torn at
//! its end is cut off.

use crate::book::{Book, Record};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const NAME: &str = "jobs.log";
const NEXT: &str = "jobs.log.next";
const LOCK: &str = "lock";
/// A job's body and what is round it; a longer frame is none.
const MAX_FRAME: usize = 256 * 1024;
/// Below this the log is not worth writing anew.
const WORTH: u64 = 4 * 1024 * 1024;

pub struct Log {
    folder: PathBuf,
    file: File,
    book: Book,
    /// Held for as long as the process lives.
    _lock: File,
    length: u64,
    /// Its length when it was written anew.
    length_anew: u64,
    unsynced: bool,
    /// How many bytes were cut off at the start, as a crash had torn them.
    pub torn: u64,
}

impl Log {
    /// Opens the log in a folder, a new one if there is none, and reads what it tells. The folder is one process's.
    pub fn open(folder: &Path) -> io::Result<Log> {
        fs::create_dir_all(folder)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(LOCK))?;
        lock.try_lock().map_err(|e| io::Error::other(format!("another process has it: {e}")))?;
        let mut bytes = Vec::new();
        match File::open(folder.join(NAME)) {
            Ok(mut file) => drop(file.read_to_end(&mut bytes)?),
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(e),
        }
        let mut book = Book::default();
        let mut good = 0;
        while let Some((record, length)) = frame(&bytes[good..]) {
            book.apply(&record);
            good += length;
        }
        let torn = (bytes.len() - good) as u64;
        let (file, length) = write_anew(folder, &book)?;
        let folder = folder.to_owned();
        Ok(Log { folder, file, book, _lock: lock, length, length_anew: length, unsynced: false, torn })
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Writes what happened. `sync`: it is on disk before this returns; else a crash may lose it.
    pub fn add(&mut self, record: &Record, sync: bool) -> io::Result<()> {
        let frame = framed(record)?;
        if let Err(e) = self.file.write_all(&frame) {
            // Half a frame in the middle would cut off all that follows it.
            self.file.set_len(self.length)?;
            self.file.seek(SeekFrom::Start(self.length))?;
            return Err(e);
        }
        self.length += frame.len() as u64;
        self.book.apply(record);
        self.unsynced = true;
        if sync { self.sync() } else { Ok(()) }
    }

    pub fn sync(&mut self) -> io::Result<()> {
        if std::mem::replace(&mut self.unsynced, false) { self.file.sync_data() } else { Ok(()) }
    }

    /// Forgets answers that were kept for so long, and writes the log anew when most of it is of what is over.
    pub fn tidy(&mut self, now_ms: u64, kept_ms: u64) -> io::Result<()> {
        for id in self.book.outlived(now_ms, kept_ms) {
            self.add(&Record::Forgotten { id }, false)?;
        }
        if self.length >= WORTH && self.length >= 2 * self.length_anew {
            (self.file, self.length) = write_anew(&self.folder, &self.book)?;
            (self.length_anew, self.unsynced) = (self.length, false);
        }
        Ok(())
    }
}

fn framed(record: &Record) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
    if body.len() > MAX_FRAME {
        return Err(io::Error::other("a record that is too long"));
    }
    let mut frame = Vec::with_capacity(body.len() + 8);
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    Ok(frame)
}

/// The first record of the bytes and how many they are; `None` at the end, or where they are torn.
fn frame(bytes: &[u8]) -> Option<(Record, usize)> {
    let number = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (length, sum) = (number(0)? as usize, number(4)?);
    if length > MAX_FRAME {
        return None;
    }
    let body = bytes.get(8..8 + length)?;
    let record = (crc32fast::hash(body) == sum).then(|| postcard::from_bytes(body).ok())?;
    Some((record?, 8 + length))
}

/// Writes all that counts into a new file, which takes the old one's place once it is whole and on disk.
fn write_anew(folder: &Path, book: &Book) -> io::Result<(File, u64)> {
    let next = folder.join(NEXT);
    let mut file = OpenOptions::new().create(true).truncate(true).write(true).open(&next)?;
    let mut length = 0;
    for record in book.records() {
        let frame = framed(&record)?;
        file.write_all(&frame)?;
        length += frame.len() as u64;
    }
    file.sync_all()?;
    fs::rename(&next, folder.join(NAME))?;
    // The name is on disk when its folder is.
    File::open(folder)?.sync_all()?;
    Ok((file, length))
}
