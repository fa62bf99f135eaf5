//! The memory of the entry program when all engines send endless bytes.

mod support;

use std::{fs, sync, thread, time};

use rstest::rstest;
use support::{
    backend::{Answer, Backend},
    chat_body, fleet_with,
};

/// Memory of the smallest VM in MB.
const VM_MB: u64 = 88;
/// Requests at a time, as many as four engines take.
const REQUESTS: usize = 128;

static CASES: sync::Mutex<()> = sync::Mutex::new(());

/// Returns the peak memory use of this process, which runs the entry program, in MB.
fn peak_memory_mb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes
        .and_then(|text| text.parse().ok())
        .expect("a number");
    kilobytes / 1_024
}

/// Guards against a small VM that runs out of memory when every engine sends a line without
/// an end to many requests at once.
#[rstest]
#[case::below_the_limit(60_000)]
#[case::above_the_limit(1_000_000)]
fn a_small_vm_survives_long_lines(#[case] bytes: usize) {
    // The cases share the memory of one process.
    let _one_at_a_time = CASES.lock().expect("no case failed");
    let ids = ["e1", "e2", "e3", "e4"];
    let engines = ids.map(|id| Backend::engine(id, &[Answer::LongLine(bytes)]));
    let fleet = fleet_with(engines.into(), |settings| {
        settings.timeouts.first_token_ms = 2_000;
    });
    thread::sleep(time::Duration::from_millis(500));
    thread::scope(|scope| {
        for _ in 0..REQUESTS {
            scope.spawn(|| fleet.chat(&chat_body(true)));
        }
    });
    let peak_mb = peak_memory_mb();
    println!("peak memory: {peak_mb} MB");
    assert!(peak_mb < VM_MB, "{peak_mb} MB");
}
