//! The record of a run: what was sent, answered and run, with the time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { begun: Instant::now(), file: Mutex::new(file) })
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>6} ms  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Notes a line and prints it.
    pub fn conclude(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
