//! Writing log lines never blocks on the output, and dropped lines are counted.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
};

use lovagedock_daemon::LineQueue;

/// An output that can be blocked until it is released.
struct GatedOutput {
    written: Arc<Mutex<Vec<u8>>>,
    blocked: Option<mpsc::Receiver<()>>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(blocked) = self.blocked.take() {
            let _ = blocked.recv();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn text(written: &Mutex<Vec<u8>>) -> String {
    String::from_utf8(written.lock().unwrap().clone()).unwrap()
}

/// The process exits directly after it wrote its last line, while that line is still queued with
/// others. The log must end with the last line.
#[test]
fn all_lines_are_written_in_order() {
    let written = Arc::default();
    let output = GatedOutput {
        written: Arc::clone(&written),
        blocked: None,
    };
    let mut queue = LineQueue::new(output).unwrap();
    for number in 0..1000 {
        write!(queue, "line {number}").unwrap();
        queue.write_all(b"\n").unwrap();
    }
    drop(queue);
    let expected: String = (0..1000).map(|number| format!("line {number}\n")).collect();
    assert_eq!(text(&written), expected);
}

/// The output is blocked, as when nobody reads a pipe. Requests must still be served, so writing a
/// line never blocks. Lines that do not fit are dropped, and their number is written when the
/// output accepts data again.
#[test]
fn a_blocked_output_drops_lines_and_reports_their_number() {
    let written = Arc::default();
    let (release, blocked) = mpsc::channel();
    let output = GatedOutput {
        written: Arc::clone(&written),
        blocked: Some(blocked),
    };
    let mut queue = LineQueue::new(output).unwrap();
    let line = "x".repeat(1 << 10) + "\n";
    let lines = 5_000;
    for _ in 0..lines {
        queue.write_all(line.as_bytes()).unwrap();
    }
    release.send(()).unwrap();
    drop(queue);
    let text = text(&written);
    let (mut kept, mut reported) = (0, 0);
    for line in text.lines() {
        match line.split_once(r#""lines":"#) {
            Some((_, number)) => reported += number.trim_end_matches('}').parse::<u64>().unwrap(),
            None => kept += 1,
        }
    }
    assert!(reported > 0, "nothing was dropped");
    assert_eq!(kept + reported, lines);
}
