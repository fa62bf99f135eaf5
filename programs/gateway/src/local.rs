//! The single-threaded runtime of a program.

use tokio::task;

/// Runs a program's main task, and the tasks that it spawns, on this thread.
///
/// # Errors
///
/// Returns the error of the main task, or fails if the runtime cannot be started.
pub(crate) fn run(main: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    task::LocalSet::new().block_on(&runtime, main)
}
