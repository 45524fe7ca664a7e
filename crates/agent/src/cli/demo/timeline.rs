//! The demo's events, by the second at which they happen.

use super::{endpoint_behavior, link_zones, ENDPOINTS_PER_ZONE, NEW_BUILD, OLD_BUILD, ZONES};
use async_executor::Task;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_testkit::{StagedRollout, TestCluster};

/// Length of the demo in seconds. This and the times below count from the first request.
pub const DURATION_S: u64 = 25;
const ROLLOUT_AT_S: u64 = 4;
const DRAIN_AT_S: u64 = 13;
const RETURN_AT_S: u64 = 18;
/// By this second the returned zone serves its own requests again.
const RECOVERED_AT_S: u64 = RETURN_AT_S + 4;
/// Number of seconds before the end in which the closing comment is printed.
const CLOSING_COMMENT_S: u64 = 2;
/// Cap on the new build's share of requests at each stage of its rollout.
const STAGE_CAPS: [f64; 3] = [0.1, 0.4, 1.0];
const STAGE_DURATION: Duration = Duration::from_secs(2);

/// Performs the demo's events on the test cluster.
pub struct Timeline {
    cluster: Arc<TestCluster>,
    /// Whether the new build has reached the last stage of its rollout.
    released: Arc<AtomicBool>,
    /// The rollout in progress; dropping the task cancels it.
    rollout: Option<Task<()>>,
}

impl Timeline {
    /// Creates a timeline whose events are all still to come.
    pub fn new(cluster: Arc<TestCluster>) -> Timeline {
        Timeline {
            cluster,
            released: Arc::new(AtomicBool::new(false)),
            rollout: None,
        }
    }

    /// Performs the event of this second and returns its description; empty if there is none.
    pub fn advance(&mut self, second: u64) -> io::Result<String> {
        match second {
            ROLLOUT_AT_S => {
                self.begin_rollout();
                Ok(
                    "build 42 is offered: up to a tenth of the requests, then two fifths, then \
                     all, stage by stage"
                        .into(),
                )
            }
            DRAIN_AT_S => {
                self.cluster.set_zone_state(0, "terminating");
                Ok(format!(
                    "all of {} drains; the budget allows a twentieth of requests",
                    ZONES[0]
                ))
            }
            RETURN_AT_S => {
                self.return_zone()?;
                Ok(format!("{} returns and warms up", ZONES[0]))
            }
            _ if second > DRAIN_AT_S && second < RETURN_AT_S => {
                Ok("only the remote zone can serve: every request is still answered".into())
            }
            _ if second > RECOVERED_AT_S && second + CLOSING_COMMENT_S > DURATION_S => {
                Ok("the local zone is preferred again".into())
            }
            _ => Ok(String::new()),
        }
    }

    fn begin_rollout(&mut self) {
        let cluster = self.cluster.clone();
        let released = self.released.clone();
        let on_stage = move |stage: usize, _cap: f64| {
            // At each stage, one more endpoint per zone starts with the new build.
            for (zone, name) in ZONES.iter().enumerate() {
                let id = format!("{name}-new-{stage}");
                let _ = cluster.add_cold_endpoint(zone, &id, NEW_BUILD, endpoint_behavior());
            }
            link_zones(&cluster);
            released.store(stage + 1 == STAGE_CAPS.len(), Ordering::SeqCst);
        };
        let stages = StagedRollout {
            build: NEW_BUILD,
            caps: STAGE_CAPS.to_vec(),
            stage_duration: STAGE_DURATION,
        };
        self.rollout = Some(self.cluster.platform.run_rollout(stages, on_stage));
    }

    fn return_zone(&self) -> io::Result<()> {
        let build = if self.released.load(Ordering::SeqCst) {
            NEW_BUILD
        } else {
            OLD_BUILD
        };
        for n in 0..ENDPOINTS_PER_ZONE {
            let id = format!("{}-back-{n}", ZONES[0]);
            self.cluster
                .add_cold_endpoint(0, &id, build, endpoint_behavior())?;
        }
        Ok(())
    }
}
