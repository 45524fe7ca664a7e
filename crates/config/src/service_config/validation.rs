//! Checks that the numbers in the settings are within their ranges. Only the first one that is not
//! is reported, with its key.

use super::sections::Sections;
use crate::error::ConfigError;
use crate::fields::Fields;
use serde_json::Value;

/// Checks all ranges; `stages` is the number of rollout stages.
pub(super) fn check_ranges(sections: &Sections, stages: usize) -> Result<(), ConfigError> {
    check_counts(sections)?;
    check_guarded_stages(sections, stages)?;
    check_shares(sections)?;
    check_exposure_caps(sections)?;
    check_positive_numbers(sections)?;
    check_overload_factor(sections)
}

fn out_of_range(key: &'static str, expected: impl Into<String>) -> Result<(), ConfigError> {
    Err(ConfigError::OutOfRange {
        key,
        expected: expected.into(),
    })
}

fn check_counts(sections: &Sections) -> Result<(), ConfigError> {
    let counts: [(&Fields, &'static str); 3] = [
        (sections.service, "instances"),
        (&sections.domain, "noes-needed"),
        (&sections.limits, "try-limit"),
    ];
    for (fields, key) in counts {
        if fields.unsigned_or(key, 1)? == 0 {
            return out_of_range(key, "expected 1 or more");
        }
    }
    Ok(())
}

fn check_guarded_stages(sections: &Sections, stages: usize) -> Result<(), ConfigError> {
    let guarded_stages = sections.domain.unsigned_or("closed-stages", 0)?;
    if guarded_stages as usize > stages {
        return out_of_range(
            "closed-stages",
            format!("expected at most {stages}, the number of rollout stages"),
        );
    }
    Ok(())
}

fn check_shares(sections: &Sections) -> Result<(), ConfigError> {
    let shares: [(&Fields, &'static str); 3] = [
        (&sections.domain, "reported-share"),
        (&sections.domain, "counted-share"),
        (&sections.rules, "cold-share"),
    ];
    for (fields, key) in shares {
        if !(0.0..=1.0).contains(&fields.number_or(key, 0.0)?) {
            return out_of_range(key, "expected a share from 0 to 1");
        }
    }
    Ok(())
}

fn check_exposure_caps(sections: &Sections) -> Result<(), ConfigError> {
    let is_share = |value: &Value| {
        value
            .as_f64()
            .is_some_and(|share| (0.0..=1.0).contains(&share))
    };
    if !sections.domain.array("most-shares")?.iter().all(is_share) {
        return out_of_range("most-shares", "expected shares from 0 to 1");
    }
    Ok(())
}

/// Rejects zero and negative values: with zero an agent would poll or retry without a pause, or
/// time out before it has started.
fn check_positive_numbers(sections: &Sections) -> Result<(), ConfigError> {
    let numbers: [(&Fields, &'static str); 4] = [
        (sections.service, "granularity-ms"),
        (&sections.rules, "must-ask-in-ms"),
        (&sections.limits, "dial-timeout-ms"),
        (&sections.limits, "conn-idle-ms"),
    ];
    for (fields, key) in numbers {
        if fields.number_or(key, 1.0)? <= 0.0 {
            return out_of_range(key, "expected more than 0");
        }
    }
    Ok(())
}

fn check_overload_factor(sections: &Sections) -> Result<(), ConfigError> {
    if sections.rules.number_or("fall-multiple", 2.0)? < 1.0 {
        return out_of_range("fall-multiple", "expected 1 or more");
    }
    Ok(())
}
