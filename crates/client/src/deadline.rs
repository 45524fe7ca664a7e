//! Running a future with a deadline.

use async_io::Timer;
use futures_lite::future::FutureExt;
use std::future::Future;
use std::time::Instant;

/// Returns the output of `work`, or `None` if the deadline passes first. `work` is polled before
/// the timer, so that a result that is ready at the deadline still counts.
pub async fn with_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(expired).await
}
