//! Two zones, discovery, a platform, an agent and some clients on loopback, played through in half
//! a minute: a build is offered, a zone drains and returns cold, and what crosses is shown as it
//! happens.

use super::report;
use clap::Args;
use std::io;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_config::Door;
use tulipwall_testkit::{classes, Caller, Link, Load, Offer, Program, Ways, World};
use tulipwall_zones::Document;

const ZONES: [&str; 2] = ["akl-east", "akl-west"];
const EACH: usize = 3;
const STEP: Duration = Duration::from_secs(2);
const CAPS: [f64; 3] = [0.1, 0.4, 1.0];
/// What happens, in seconds from the first command.
const OFFERED: u64 = 4;
const DRAINS: u64 = 13;
const RETURNS: u64 = 18;
const ENDS: u64 = 25;
const GONE: Duration = Duration::from_secs(4);

#[derive(Args)]
pub struct Show {
    /// Commands a second.
    #[arg(long, default_value_t = 150.0, value_parser = rate)]
    rate: f64,
}

fn rate(text: &str) -> Result<f64, String> {
    let rate = text
        .parse::<f64>()
        .ok()
        .filter(|r| (1.0..=2000.0).contains(r));
    rate.ok_or_else(|| "a number from 1 to 2000 is wanted".into())
}

impl Show {
    pub fn run(self) -> ExitCode {
        match play(self.rate) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(e) => {
                eprintln!("demo: {e}");
                ExitCode::FAILURE
            }
        }
    }
}

fn ways() -> Ways {
    Ways {
        work: Duration::from_millis(8),
        steady: 0.4,
        cores: 2,
        value: 400,
        ..Ways::default()
    }
}

/// Plays it; whether every command had its answer.
fn play(rate: f64) -> io::Result<bool> {
    let world = Arc::new(World::new(&ZONES, classes())?);
    for (zone, name) in ZONES.iter().enumerate() {
        for n in 0..EACH {
            world.endpoint(zone, &format!("{name}-{n}"), 41, ways())?;
        }
    }
    link(&world);
    let folder = tempfile::tempdir()?;
    let (socket, file) = (folder.path().join("door"), folder.path().join("zones.kdl"));
    let text = format!(
        "door \"unix:{}\"\nzones {{\n    routing \"near-first\"\n    link \"{}\" \"{}\" {{\n        delay \"8ms\"\n        \
         price delivery=0.00001 out-gib=0.02 in-gib=0.02\n    }}\n    budget \"crossing\" {{ share 0.05; window \"10s\"; }}\n}}\n",
        socket.display(),
        ZONES[0],
        ZONES[1]
    );
    std::fs::write(&file, &text)?;
    println!("Two zones of {EACH} appliances each, 8 ms apart, build 41; an agent in {}; {rate} commands a second.", ZONES[0]);
    println!("What is set for the zones:\n\n{text}");
    let installation = file.display().to_string();
    let arguments = ["run", "--installation", installation.as_str()];
    let agent = Program::start(
        std::env::current_exe()?,
        world.configuration("demo", 0)?,
        &arguments,
    )?;
    let address = agent.address()?;
    Caller::connect(address)?;
    let wait = Duration::from_millis(1500);
    let classes = [
        ("view", 4.0, false),
        ("send", 4.0, true),
        ("payment", 1.0, false),
    ];
    let load = Load {
        agent: address,
        rate,
        span: Duration::from_secs(ENDS),
        classes: classes
            .map(|(name, weight, keyed)| (name.to_owned(), weight, wait, keyed))
            .to_vec(),
        connections: 200,
        seed: 1,
    };
    let (begun, load) = (Instant::now(), load.begin());
    let (released, door) = (Arc::new(AtomicBool::new(false)), Door::Unix(socket));
    println!("  time   taken  near  cross   over  build 42   what happens");
    let (mut before, mut offer) = (Sums::default(), None);
    for second in 1..=ENDS {
        std::thread::sleep(
            (begun + Duration::from_secs(second)).saturating_duration_since(Instant::now()),
        );
        let mut what = String::new();
        if second == OFFERED {
            what =
                "build 42 is offered: a tenth of it, then two fifths, then all, as its stages pass"
                    .into();
            let (w, r) = (world.clone(), released.clone());
            let staged = move |stage: usize, _: f64| {
                // One more endpoint of each zone comes up with it at each stage, cold.
                for (zone, name) in ZONES.iter().enumerate() {
                    let _ = w.cold(zone, &format!("{name}-new-{stage}"), 42, ways());
                }
                link(&w);
                r.store(stage + 1 == CAPS.len(), Ordering::SeqCst);
            };
            let stages = Offer {
                build: 42,
                caps: CAPS.to_vec(),
                step: STEP,
            };
            offer = Some(world.platform.offer(stages, staged));
        }
        if second == DRAINS {
            world.state(0, "terminating");
            what = format!("all of {} drains; the budget is for a twentieth", ZONES[0]);
        }
        if second == RETURNS {
            for n in 0..EACH {
                let id = format!("{}-back-{n}", ZONES[0]);
                world.cold(
                    0,
                    &id,
                    if released.load(Ordering::SeqCst) {
                        42
                    } else {
                        41
                    },
                    ways(),
                )?;
            }
            what = format!("{} returns, cold", ZONES[0]);
        }
        if what.is_empty() && second > DRAINS && second < RETURNS {
            what = "only the far side can answer: every command still has its answer".into();
        }
        if Duration::from_secs(second) > Duration::from_secs(RETURNS) + GONE && second + 2 > ENDS {
            what = "near first again".into();
        }
        let now = Sums::of(&report::ask(&door).map_err(io::Error::other)?);
        println!(
            "{second:4} s {:7} {:5} {:6} {:6} {:9}   {what}",
            now.taken - before.taken,
            now.near - before.near,
            now.crossed - before.crossed,
            now.over - before.over,
            now.fresh - before.fresh,
        );
        before = now;
    }
    let answered = futures_lite::future::block_on(load);
    drop(offer);
    let document = report::ask(&door).map_err(io::Error::other)?;
    println!(
        "\nThe account, as `tulipwall-agent report` prints it:\n\n{}",
        report::tables(&document, false)
    );
    println!(
        "{} commands: {} satisfied, {} denied, {} scrapped, {} without an answer; half within {:.1} ms, all but a \
         hundredth within {:.1} ms.",
        answered.asked,
        answered.succeeded,
        answered.rejected,
        answered.failed,
        answered.unanswered,
        answered.quantile_ms(0.5),
        answered.quantile_ms(0.99),
    );
    let twice = world.ran_twice("payment");
    println!("Payments that ran twice: {}.", twice.len());
    Ok(answered.unanswered == 0 && twice.is_empty())
}

fn link(world: &World) {
    let way = Duration::from_millis(4);
    world.link(
        0,
        1,
        Link {
            there: way,
            back: way,
            cut: false,
        },
    );
}

/// What one line of the demo counts.
#[derive(Clone, Copy, Default)]
struct Sums {
    taken: u64,
    near: u64,
    crossed: u64,
    over: u64,
    fresh: u64,
}

impl Sums {
    fn of(d: &Document) -> Sums {
        let mut sums = Sums {
            taken: d.heads.iter().flat_map(|h| h.requests.values()).sum(),
            ..Sums::default()
        };
        for l in &d.links {
            *(if l.from == l.to {
                &mut sums.near
            } else {
                &mut sums.crossed
            }) += l.attempts;
            sums.over += l.over_budget_total();
            sums.fresh += if l.build == 42 { l.attempts } else { 0 };
        }
        sums
    }
}
