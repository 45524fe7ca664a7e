//! Parses the section `offer`: a build that is rolled out.

use super::MAX_ENDPOINTS;
use crate::scenario::Rollout;
use kdl::KdlNode;
use std::time::Duration;
use tulipwall_config::KdlReader;

const DEFAULT_ENDPOINTS: usize = 3;

pub(super) fn rollout(reader: &mut KdlReader, node: &KdlNode) -> Rollout {
    reader.arguments(node, 0, &[]);
    let mut rollout = Rollout {
        start: Duration::from_secs(5),
        slowness: 1.0,
        failure_rate: 0.0,
        stages: vec![0.1, 0.5, 1.0],
        stage_duration: Duration::from_secs(5),
        endpoints: DEFAULT_ENDPOINTS,
    };
    let keys = ["at", "slowness", "fails", "stages", "step", "appliances"];
    for node in reader.nodes(node.children(), "offer", &keys, &[]) {
        setting(reader, node, &mut rollout);
    }
    rollout
}

fn setting(reader: &mut KdlReader, node: &KdlNode, rollout: &mut Rollout) {
    match node.name().value() {
        "at" => {
            rollout.start = reader
                .duration(node, Duration::ZERO)
                .unwrap_or(rollout.start)
        }
        "slowness" => rollout.slowness = reader.number(node, 0.1, 100.0).unwrap_or(1.0),
        "fails" => rollout.failure_rate = reader.number(node, 0.0, 1.0).unwrap_or(0.0),
        "step" => {
            let duration = reader.duration(node, Duration::from_millis(100));
            rollout.stage_duration = duration.unwrap_or(rollout.stage_duration);
        }
        "appliances" => {
            let endpoints = reader.number(node, 1.0, MAX_ENDPOINTS);
            rollout.endpoints = endpoints.map_or(DEFAULT_ENDPOINTS, |n| n as usize);
        }
        _ => {
            let stages = reader.numbers(node, 0.0, 1.0);
            if !stages.is_empty() {
                rollout.stages = stages;
            }
        }
    }
}
