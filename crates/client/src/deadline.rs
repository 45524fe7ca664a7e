//! Work with a time limit.

use async_io::Timer;
use futures_lite::future::FutureExt;
use std::future::Future;
use std::time::Instant;

/// The output of `work`, or `None` once the deadline has passed. The work is polled first, so that
/// what is ready at the deadline still counts.
pub async fn with_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(work.await) }.or(expired).await
}
