//! An agent is killed and starts again while discovery is down. What discovery's agent on its machine had been sent
//! before counts as told from the first moment of the new process.

use std::time::{Duration, Instant};
use tulipwall_second_review::deployment::Deployment;
use tulipwall_second_review::load::Load;
use tulipwall_second_review::record::Record;
use tulipwall_second_review::{appliance::Mode, ms, run_case, settings, trouble};

/// `rules.drain-grace-ms` of the site, and the 50 ms by which time limits are longer on sockets.
const GRACE: Duration = ms(250 + 50);
/// How long discovery is down.
const OUTAGE: Duration = ms(8000);

fn work(class: &str) -> Duration {
    ms(if class == "payment" { 90 } else { 60 })
}

fn main() {
    run_case(|| {
        let record = Record::create()?;
        let site = Deployment::start(&record, 8, "akl-west", "std-4core", settings::AKL, work)?;
        let mut agent = site.start_agent(site.discovery.whole_list())?;
        agent.wait_until_ready()?;
        let load = Load::start(&record, agent.address, 10, ms(120), &settings::AKL_CLASSES);
        std::thread::sleep(ms(3000));

        // The copy that the next process gets is the list as this one was told it.
        let known = site.discovery.whole_list();
        let killed_at = Instant::now();
        agent.kill()?;
        record.sleep_until(killed_at, ms(300));
        site.discovery.set_state("s-0", "terminating");
        site.appliances[0].set_mode(Mode::Draining);
        record.sleep_until(killed_at, ms(600));
        if trouble() {
            site.discovery.go_silent();
        }
        let down_at = Instant::now();
        record.sleep_until(killed_at, ms(1000));
        let mut agent = site.start_agent(known)?;
        let ready = agent.wait_until_ready()?;
        record.say(&format!("ready {} ms after its start", ready.as_millis()));
        record.sleep_until(down_at, OUTAGE);
        site.discovery.come_back()?;
        std::thread::sleep(ms(1000));
        let asked = load.stop();

        let bound = agent.started_at + GRACE;
        let late: Vec<_> = site
            .received_by("s-0")
            .into_iter()
            .filter(|query| query.at > bound)
            .collect();
        for query in &late {
            record.line(&format!(
                "BROKEN drain: {} {} reached s-0 {:.3} s after the start of the process",
                query.id,
                query.class,
                query.at.duration_since(agent.started_at).as_secs_f64()
            ));
        }
        record.say(&format!("{} requests were asked", asked.len()));
        record.say(&format!(
            "{} requests reached s-0 later than {} ms after the process was told that it drains",
            late.len(),
            GRACE.as_millis()
        ));
        Ok(late.is_empty())
    })
}
