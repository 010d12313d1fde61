//! The queue of the log, against outputs that are slow or full.

use {
    sardinerelay_gateway::logging::Queue,
    std::{
        io::{self, Write},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// An output that may take a while, or be full.
#[derive(Debug, Clone, Default)]
struct Output {
    text: Arc<Mutex<String>>,
    is_full: Arc<AtomicBool>,
    delay: Duration,
}

impl Output {
    fn text(&self) -> String {
        self.text.lock().expect("no thread panics with it").clone()
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        thread::sleep(self.delay);
        if self.is_full.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut text = self.text.lock().expect("no thread panics with it");
        text.push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process whose last lines, which say why it ends, are lost with it.
#[test]
fn a_flush_waits_for_the_lines_before_it() {
    let output = Output {
        delay: Duration::from_millis(100),
        ..Output::default()
    };
    let queue = Queue::start(output.clone()).expect("a thread");
    for number in 0..10 {
        queue.push(format!("line {number}\n"));
    }
    assert!(queue.flush(FLUSH_TIMEOUT));
    assert!(output.text().ends_with("line 9\n"), "{}", output.text());
}

/// Guards against a log that stays silent for good because its disk was full for a while.
#[test]
fn a_log_goes_on_after_its_disk_was_full() {
    let output = Output::default();
    let queue = Queue::start(output.clone()).expect("a thread");
    output.is_full.store(true, Ordering::SeqCst);
    queue.push("lost\n".to_owned());
    assert!(queue.flush(FLUSH_TIMEOUT));
    output.is_full.store(false, Ordering::SeqCst);
    queue.push("written\n".to_owned());
    assert!(queue.flush(FLUSH_TIMEOUT));
    let text = output.text();
    assert!(text.contains("written\n"), "{text}");
    assert!(text.contains("\"lines\":1"), "{text}");
    assert!(!text.contains("lost\n"), "{text}");
}
