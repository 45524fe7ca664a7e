//! Reads the section `watch`: alternative settings for the shadow evaluation, which compares their
//! decisions with those of the settings in force.

use super::zones::MAX_COUNT;
use crate::diagnostic::ConfigProblem;
use crate::kdl_reader::KdlReader;
use kdl::KdlNode;
use std::time::Duration;
use tulipwall::AlternativeSettings;

/// The largest number of guarded rollout stages that the file may set.
const MAX_STAGES: f64 = 100.0;

pub(super) fn read(reader: &mut KdlReader, node: &KdlNode) -> AlternativeSettings {
    reader.arguments(node, 0, &[]);
    let mut settings = AlternativeSettings::default();
    let known = [
        "guarded-stages",
        "caps",
        "free",
        "by-lane",
        "cold-for",
        "warm-keys",
    ];
    for node in reader.nodes(node.children(), "watch", &known, &[]) {
        match node.name().value() {
            "guarded-stages" => settings.guarded_stages = read_guarded_stages(reader, node),
            "caps" => settings.caps = Some(reader.numbers(node, 0.0, 1.0)),
            "free" => settings.exposure_burst = reader.number(node, 0.0, MAX_COUNT),
            "by-lane" => settings.cap_per_class = reader.boolean(node),
            "cold-for" => settings.slow_start_duration = reader.duration(node, Duration::ZERO),
            _ => settings.key_affinity = reader.boolean(node),
        }
    }
    settings
}

fn read_guarded_stages(reader: &mut KdlReader, node: &KdlNode) -> Option<usize> {
    let stages = reader.number(node, 0.0, MAX_STAGES);
    // This reads the number a second time, so a number that is out of range is reported twice.
    let has_fraction = reader
        .number(node, 0.0, MAX_STAGES)
        .is_some_and(|number| number.fract() > 0.0);
    if has_fraction {
        let location = reader.location(node);
        reader.report(location, "guarded-stages", ConfigProblem::NotInteger);
    }
    stages.map(|number| number as usize)
}
