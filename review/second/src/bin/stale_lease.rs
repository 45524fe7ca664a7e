//! Where the list is asked for: the open watch falls silent and misses a drain, and then discovery is down. What the
//! watch missed counts as told 6 s after it fell silent, or 2 s after the call's wait.

use std::time::{Duration, Instant};
use tulipwall_second_review::deployment::Deployment;
use tulipwall_second_review::load::Load;
use tulipwall_second_review::record::Record;
use tulipwall_second_review::{appliance::Mode, ms, run_case, settings, trouble};

/// `rules.drain-grace-ms` of the site, and the 50 ms by which time limits are longer on sockets.
const GRACE: Duration = ms(500 + 50);
/// How long discovery is down.
const OUTAGE: Duration = ms(8000);
/// What a silent watch misses counts as told this long after it fell silent.
const TOLD_AFTER_SILENCE: Duration = ms(6000);
/// It counts as told this long after the wait of the call, if that is later.
const TOLD_AFTER_WAIT: Duration = ms(2000);
/// The trouble begins while a watch with a wait of at most this is open, so that all of it fits into the outage.
const LONGEST_WAIT: Duration = ms(3500);

fn work(_: &str) -> Duration {
    ms(60)
}

fn main() {
    run_case(|| {
        let record = Record::create()?;
        let site = Deployment::start(&record, 10, "zona-diez", "std-4c", settings::CITAS, work)?;
        let mut agent = site.start_agent(site.discovery.whole_list())?;
        agent.wait_until_ready()?;
        let load = Load::start(
            &record,
            agent.address,
            12,
            ms(120),
            &settings::CITAS_CLASSES,
        );
        std::thread::sleep(ms(3000));

        // Versions without changes of a state let the agent call again, each time with another wait.
        let begun = Instant::now();
        let watch = loop {
            if begun.elapsed() > ms(45_000) {
                return Err("no watch with a short wait within 45 s".into());
            }
            site.discovery.touch();
            std::thread::sleep(ms(150));
            match site.discovery.open_watch() {
                Some(watch) if watch.wait <= LONGEST_WAIT && watch.wait > ms(1000) => break watch,
                _ => {}
            }
        };
        record.say(&format!(
            "the open watch waits for {} ms",
            watch.wait.as_millis()
        ));
        let silent_at = Instant::now();
        if trouble() {
            site.discovery.silence_open_connections();
        }
        record.sleep_until(silent_at, ms(300));
        let had_at = Instant::now();
        site.discovery.set_state("s-0", "terminating");
        site.appliances[0].set_mode(Mode::Draining);
        record.sleep_until(silent_at, ms(1500));
        if trouble() {
            site.discovery.die();
        }
        let down_at = Instant::now();
        record.sleep_until(down_at, OUTAGE);
        if trouble() {
            site.discovery.come_back()?;
        }
        let back_at = Instant::now();
        std::thread::sleep(ms(1500));
        let asked = load.stop();

        // The latest of all times that the pages name.
        let told_at = (silent_at + TOLD_AFTER_SILENCE)
            .max(had_at + TOLD_AFTER_SILENCE)
            .max(watch.at + watch.wait + TOLD_AFTER_WAIT);
        record.say(&format!(
            "the drain counts as told {:.3} s after discovery had it; discovery is back {:.3} s after it had it",
            told_at.duration_since(had_at).as_secs_f64(),
            back_at.duration_since(had_at).as_secs_f64()
        ));
        let late: Vec<_> = site
            .received_by("s-0")
            .into_iter()
            .filter(|query| query.at > told_at + GRACE)
            .collect();
        for query in &late {
            record.line(&format!(
                "BROKEN drain: {} {} reached s-0 {:.3} s after the drain counted as told",
                query.id,
                query.class,
                query.at.duration_since(told_at).as_secs_f64()
            ));
        }
        record.say(&format!("{} requests were asked", asked.len()));
        record.say(&format!(
            "{} requests reached s-0 later than {} ms after its drain counted as told",
            late.len(),
            GRACE.as_millis()
        ));
        Ok(late.is_empty())
    })
}
