//! The thread on which a program's tasks run.

use tokio::task;

/// Runs a program's main task and the tasks that it spawns on this thread.
///
/// # Errors
///
/// Passes on the error of the task, or fails if no runtime can be started.
pub(crate) fn run(main: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    task::LocalSet::new().block_on(&runtime, main)
}
