//! The process's executor: smol's, run by a fixed number of threads.

use std::future::Future;
use std::sync::LazyLock;
use std::thread;

use smol::Executor;
use smol::Task;

static EXECUTOR: LazyLock<Executor<'static>> = LazyLock::new(Executor::new);

/// Starts a task; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// The executor in the form that hyper takes.
#[derive(Clone, Copy, Debug)]
pub struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        spawn(future).detach();
    }
}

/// Runs `future` to its end on this thread, with `threads - 1` helpers.
///
/// Helper threads end with the process; tasks are cancelled when their handle
/// or channel goes.
pub fn run<T>(threads: usize, future: impl Future<Output = T>) -> T {
    for index in 1..threads {
        let name = format!("worker-{index}");
        let worker = || smol::block_on(EXECUTOR.run(std::future::pending::<()>()));
        if thread::Builder::new().name(name).spawn(worker).is_err() {
            // Fewer threads cost speed only.
            break;
        }
    }
    smol::block_on(EXECUTOR.run(future))
}
