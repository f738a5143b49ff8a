//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn open(path: &str) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn write(&self, line: &str) {
        let (file, start) = &*self.0;
        let elapsed = start.elapsed().as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{elapsed:8.3} {line}");
    }
}
