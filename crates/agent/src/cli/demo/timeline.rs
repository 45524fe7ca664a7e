//! What happens in the demo, second by second.

use super::{endpoint_behavior, link_zones, ENDPOINTS_PER_ZONE, NEW_BUILD, OLD_BUILD, ZONES};
use async_executor::Task;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_testkit::{StagedRollout, TestCluster};

/// The length of the demo, in seconds from the first request; the times below count from there too.
pub const DURATION_S: u64 = 25;
const ROLLOUT_AT_S: u64 = 4;
const DRAIN_AT_S: u64 = 13;
const RETURN_AT_S: u64 = 18;
/// By then the returned zone serves its own requests again.
const RECOVERED_AT_S: u64 = RETURN_AT_S + 4;
/// The end is commented on in so many last seconds.
const CLOSING_COMMENT_S: u64 = 2;
/// The share of requests that the new build may receive at each stage of its rollout.
const STAGE_CAPS: [f64; 3] = [0.1, 0.4, 1.0];
const STAGE_DURATION: Duration = Duration::from_secs(2);

/// The course of the demo.
pub struct Timeline {
    world: Arc<TestCluster>,
    /// Whether the new build has reached the last stage of its rollout.
    released: Arc<AtomicBool>,
    /// Cancelled when dropped.
    rollout: Option<Task<()>>,
}

impl Timeline {
    /// Nothing has happened yet.
    pub fn new(world: Arc<TestCluster>) -> Timeline {
        Timeline {
            world,
            released: Arc::new(AtomicBool::new(false)),
            rollout: None,
        }
    }

    /// Does what is due in this second; what is to be said of it.
    pub fn advance(&mut self, second: u64) -> io::Result<String> {
        match second {
            ROLLOUT_AT_S => {
                self.begin_rollout();
                Ok(
                    "build 42 is offered: a tenth of it, then two fifths, then all, as its \
                     stages pass"
                        .into(),
                )
            }
            DRAIN_AT_S => {
                self.world.set_zone_state(0, "terminating");
                Ok(format!(
                    "all of {} drains; the budget is for a twentieth",
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
                Ok("the local zone first again".into())
            }
            _ => Ok(String::new()),
        }
    }

    fn begin_rollout(&mut self) {
        let world = self.world.clone();
        let released = self.released.clone();
        let on_stage = move |stage: usize, _cap: f64| {
            // One more endpoint of each zone comes up with the new build at each stage.
            for (zone, name) in ZONES.iter().enumerate() {
                let id = format!("{name}-new-{stage}");
                let _ = world.add_cold_endpoint(zone, &id, NEW_BUILD, endpoint_behavior());
            }
            link_zones(&world);
            released.store(stage + 1 == STAGE_CAPS.len(), Ordering::SeqCst);
        };
        let stages = StagedRollout {
            build: NEW_BUILD,
            caps: STAGE_CAPS.to_vec(),
            stage_duration: STAGE_DURATION,
        };
        self.rollout = Some(self.world.platform.run_rollout(stages, on_stage));
    }

    fn return_zone(&self) -> io::Result<()> {
        let build = if self.released.load(Ordering::SeqCst) {
            NEW_BUILD
        } else {
            OLD_BUILD
        };
        for n in 0..ENDPOINTS_PER_ZONE {
            let id = format!("{}-back-{n}", ZONES[0]);
            self.world
                .add_cold_endpoint(0, &id, build, endpoint_behavior())?;
        }
        Ok(())
    }
}
