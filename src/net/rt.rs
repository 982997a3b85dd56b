//! Executor of the process: that of smol, run by a fixed number of threads.

use std::future::Future;
use std::sync::LazyLock;
use std::thread;

use smol::Executor;
use smol::Task;

static EXECUTOR: LazyLock<Executor<'static>> = LazyLock::new(Executor::new);

/// Starts a task; dropping the returned handle cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Executor of the process, as hyper needs it for its own tasks.
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

/// Runs `future` to its end on this thread, while `threads - 1` further threads run
/// spawned tasks too.
///
/// The further threads end with the process. Tasks end when their handle is dropped,
/// or the channel that they read is closed.
pub fn run<T>(threads: usize, future: impl Future<Output = T>) -> T {
    for index in 1..threads {
        let name = format!("worker-{index}");
        let worker = || smol::block_on(EXECUTOR.run(std::future::pending::<()>()));
        if thread::Builder::new().name(name).spawn(worker).is_err() {
            // The tasks also run with fewer threads, only slower.
            break;
        }
    }
    smol::block_on(EXECUTOR.run(future))
}
