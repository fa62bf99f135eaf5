//! One child process of a test.

use std::{fs, path, process, thread, time};

use nix::{sys::signal, unistd};

/// How long a process may take to end after a signal.
const EXIT_LIMIT: time::Duration = time::Duration::from_secs(30);
const EXIT_POLL: time::Duration = time::Duration::from_millis(20);

/// A running program; killed when dropped.
pub struct Process {
    child: process::Child,
    log: path::PathBuf,
}

impl Process {
    /// Starts a program of the workspace with a settings file.
    pub fn start(program: &str, settings: &path::Path) -> Process {
        Process::spawn(process::Command::new(binary(program)), settings)
    }

    /// Starts a program that cannot write files beyond a size in blocks of 512
    /// bytes: such a write fails as on a full disk.
    ///
    /// The shell sets the limit and becomes the program, since this workspace
    /// forbids the unsafe code that a limit between fork and exec needs.
    pub fn start_limited(program: &str, settings: &path::Path, blocks: u32) -> Process {
        let mut command = process::Command::new("sh");
        command
            .args(["-c", "trap '' XFSZ; ulimit -f \"$0\"; exec \"$@\""])
            .arg(blocks.to_string())
            .arg(binary(program));
        Process::spawn(command, settings)
    }

    fn spawn(mut command: process::Command, settings: &path::Path) -> Process {
        let log = settings.with_extension("log");
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .expect("log file");
        let child = command
            .arg("--config")
            .arg(settings)
            .stdin(process::Stdio::null())
            .stdout(file.try_clone().expect("log file"))
            .stderr(file)
            .spawn()
            .expect("program starts");
        Process { child, log }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: signal::Signal) {
        let pid = unistd::Pid::from_raw(i32::try_from(self.child.id()).expect("process id"));
        signal::kill(pid, signal).expect("signal is sent");
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended by itself.
    pub fn wait(&mut self) -> process::ExitStatus {
        let start = time::Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("process state") {
                return status;
            }
            assert!(
                start.elapsed() < EXIT_LIMIT,
                "process does not end: {}",
                self.log()
            );
            thread::sleep(EXIT_POLL);
        }
    }

    /// Returns whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a program next to the test's own build output.
pub fn binary(program: &str) -> path::PathBuf {
    let test = std::env::current_exe().expect("path of the test");
    let folder = test
        .parent()
        .and_then(path::Path::parent)
        .expect("target folder");
    let file = folder.join(program);
    assert!(
        file.exists(),
        "{} is missing; run `cargo build --workspace --bins` first",
        file.display()
    );
    file
}
