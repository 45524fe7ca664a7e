//! What befalls an installation, shrunk in time and not in size, and the counts over which it is
//! measured.

use super::play::{Happens, Outcome, Play};
use super::size::Size;
use std::time::Duration;

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Before anything counts: watches stand and rates have settled.
const WARM: Duration = secs(5);
/// Discovery notices what vanished within this span, and tells of it in turns so far apart.
const NOTICE: [Duration; 2] = [ms(1700), ms(4700)];
const TURN: Duration = ms(250);
/// What vanished after a second is back then.
const BACK: Duration = secs(12);
/// Machines of a rack.
const RACK: usize = 40;
/// Restarts and replacements on an ordinary day.
pub const RESTARTS: f64 = 990.0;
/// Of them in a row here.
const RESTARTS_HERE: usize = 12;

/// One row of the first table of docs/CAPACITY.md.
#[derive(Clone, Debug)]
pub struct Row {
    pub name: &'static str,
    pub what: &'static str,
    pub span: Duration,
    pub size: Size,
    pub events: Vec<(Duration, Happens)>,
}

impl Row {
    pub fn play(&self, seed: u64, cores: usize) -> Play {
        let (size, span, events) = (self.size, self.span, self.events.clone());
        Play {
            size,
            seed,
            cores,
            warm: WARM,
            span,
            events,
            own: false,
        }
    }
}

fn list(endpoints: Vec<usize>, state: &'static str, build: Option<u32>, started: bool) -> Happens {
    Happens::List {
        endpoints,
        state,
        build,
        started,
    }
}

/// One endpoint after another goes and comes back, as another build where one is named: first told
/// to leave, then gone, then back.
fn roll(
    which: &[usize],
    from: Duration,
    over: Duration,
    build: Option<u32>,
) -> Vec<(Duration, Happens)> {
    let each = over / which.len().max(1) as u32;
    let one = |(n, a): (usize, &usize)| {
        let at = from + each * n as u32;
        [
            (at, list(vec![*a], "terminating", None, false)),
            (at + secs(2), list(vec![*a], "terminated", None, false)),
            (at + secs(3), list(vec![*a], "in_service", build, true)),
        ]
    };
    which.iter().enumerate().flat_map(one).collect()
}

/// Machines vanish, discovery notices one after another, and all are back later.
fn lost(which: Vec<usize>, at: Duration, back: Duration) -> Vec<(Duration, Happens)> {
    let turns = ((NOTICE[1] - NOTICE[0]).as_millis() / TURN.as_millis()).max(1) as usize;
    let each = which.len().div_ceil(turns).max(1);
    let mut events = vec![
        (at, Happens::Down(which.clone(), true)),
        (back, Happens::Down(which.clone(), false)),
    ];
    for (n, some) in which.chunks(each).enumerate() {
        events.push((
            at + NOTICE[0] + TURN * n as u32,
            list(some.to_vec(), "terminated", None, false),
        ));
        events.push((
            back + TURN * n as u32,
            list(some.to_vec(), "in_service", None, true),
        ));
    }
    events
}

/// The rows, by name; `quiet` plays all but the peak and the calm one with so many requests a
/// second for each agent, where bytes and messages alone are asked for.
pub fn rows(size: Size, quiet: Option<f64>) -> Vec<Row> {
    let rate = quiet.unwrap_or(size.rate);
    let agents: Vec<usize> = (0..size.agents).collect();
    let of_zone = |zone: usize| (0..size.endpoints).filter(move |a| size.zone(*a) == zone);
    let zone_agents: Vec<usize> = agents
        .iter()
        .copied()
        .filter(|a| size.zone(*a) == 0)
        .collect();
    let row = |name, what, span, events| Row {
        name,
        what,
        span: secs(span),
        size: Size { rate, ..size },
        events,
    };
    // A service is one of 140, or the whole of a smaller installation.
    let service: Vec<usize> = match size.services {
        1 if size.endpoints > 1000 => (0..size.endpoints / 140).collect(),
        _ => size.of_service(0).collect(),
    };
    let mut release = roll(&service, secs(1), secs(30), Some(42));
    let trial = |at: u64, stage, phase, cap| {
        (
            secs(at),
            Happens::RolloutStatus {
                build: 42,
                stage,
                phase,
                cap,
            },
        )
    };
    release.extend([
        trial(1, 0, "trial", 0.2),
        trial(12, 1, "trial", 0.6),
        trial(36, 1, "released", 1.0),
    ]);
    let everything: Vec<usize> = (0..size.endpoints).collect();
    let mut all = roll(&everything, secs(1), secs(60), Some(42));
    all.extend([
        trial(1, 0, "trial", 0.2),
        trial(20, 1, "trial", 0.6),
        trial(65, 1, "released", 1.0),
    ]);
    let some: Vec<usize> = everything.iter().copied().take(RESTARTS_HERE).collect();
    let every = secs(60) / zone_agents.len().max(1) as u32;
    let one = |(n, a): (usize, &usize)| (secs(1) + every * n as u32, Happens::Restart(vec![*a]));
    let minute: Vec<_> = zone_agents.iter().enumerate().map(one).collect();
    let one = |(n, a): (usize, &usize)| (ms(1000 + 2000 * n as u64), Happens::Restart(vec![*a]));
    let few: Vec<_> = agents
        .iter()
        .take(RESTARTS_HERE)
        .enumerate()
        .map(one)
        .collect();
    let rack: Vec<usize> = of_zone(size.zones / 2).take(RACK).collect();
    let machine: Vec<usize> = of_zone(0).take(1).collect();
    let mut zone = lost(of_zone(1).collect(), secs(1), BACK);
    let back: Vec<usize> = agents
        .iter()
        .copied()
        .filter(|a| size.zone(*a) == 1)
        .collect();
    zone.push((BACK, Happens::Restart(back)));
    let mut cut = vec![
        (secs(1), Happens::Cut(true)),
        (secs(31), Happens::Cut(false)),
    ];
    cut.extend(roll(
        &of_zone(0).take(5).collect::<Vec<_>>(),
        secs(5),
        secs(20),
        None,
    ));
    let reload = vec![(secs(1), Happens::Reload(agents.clone()))];
    let (calm, peak) = (
        Size {
            rate: size.rate * 0.2,
            ..size
        },
        size,
    );
    vec![
        Row {
            size: peak,
            ..row("peak", "the peak's load, nothing changes", 2, Vec::new())
        },
        Row {
            size: calm,
            ..row(
                "calm",
                "a fifth of the peak's load, nothing changes",
                20,
                Vec::new(),
            )
        },
        row(
            "configuration",
            "SIGHUP to all agents in one moment",
            12,
            reload,
        ),
        row(
            "release",
            "one service's appliances change build within 30 s",
            45,
            release,
        ),
        row(
            "release-all",
            "all appliances change build within 60 s",
            75,
            all,
        ),
        row(
            "restarts",
            "12 appliances restart, one each 2 s",
            32,
            roll(&some, secs(1), secs(24), None),
        ),
        row("agents", "12 agents restart, one each 2 s", 32, few),
        row(
            "zone-agents",
            "all agents of a zone restart within a minute",
            70,
            minute,
        ),
        row(
            "machine",
            "one machine vanishes and is back after 11 s",
            22,
            lost(machine, secs(1), BACK),
        ),
        row(
            "rack",
            "40 machines of a zone vanish and are back after 11 s",
            24,
            lost(rack, secs(1), BACK),
        ),
        row("zone", "a zone vanishes and is back after 11 s", 28, zone),
        row("cut", "the regions lose each other for 30 s", 50, cut),
    ]
}

/// What one figure of a play is called, and how it is read.
pub type Figure = (&'static str, fn(&Outcome) -> f64);

/// Points over one count.
#[derive(Clone, Debug)]
pub struct Sweep {
    pub name: &'static str,
    pub key: &'static str,
    pub plays: Vec<(f64, Play)>,
    pub figures: Vec<Figure>,
    /// Each point is played in a process of its own, whose memory is its own.
    pub apart: bool,
}

fn each_us(o: &Outcome, work: &str, by: u64) -> f64 {
    o.work.get(work).map_or(0.0, |s| s.total as f64) / by.max(1) as f64 / 1000.0
}

fn bytes(o: &Outcome, kind: &str) -> f64 {
    o.traffic.get(kind).map_or(0.0, |s| s.total as f64)
}

fn count(o: &Outcome, kind: &str) -> f64 {
    o.traffic.get(kind).map_or(0.0, |s| s.count as f64)
}

pub const DECISIONS: Figure = ("decisions, us a command", |o| {
    each_us(o, "decisions", o.commands)
});
pub const LOOKS: Figure = ("looks at appliances a command", |o| {
    o.looks as f64 / o.commands.max(1) as f64
});
pub const LOOKS_SURVEY: Figure = ("looks at appliances a survey", |o| {
    o.looks as f64 / o.surveys.max(1) as f64
});
pub const EVALUATION_INTERVAL: Figure = ("survey, us each", |o| each_us(o, "surveys", o.surveys));
pub const TENANTS: Figure = ("tenant's name, us a command", |o| {
    each_us(o, "tenants", o.commands)
});
pub const READING: Figure = ("reading, ms a list", |o| {
    each_us(o, "reading", o.agents as u64) / 1000.0
});
pub const TAKING: Figure = ("List::take, ms a list", |o| {
    each_us(o, "taking", o.agents as u64) / 1000.0
});
pub const LISTING: Figure = ("Choice::list, ms a list", |o| {
    each_us(o, "listing", o.agents as u64) / 1000.0
});
pub const WHOLE: Figure = ("whole list, bytes", |o| {
    bytes(o, "whole lists") / count(o, "whole lists").max(1.0)
});
pub const CHANGES: Figure = ("changes, bytes an agent", |o| {
    bytes(o, "changes") / o.agents.max(1) as f64
});
pub const MEMORY: Figure = ("memory, bytes an agent", |o| {
    o.memory / o.agents.max(1) as f64
});
pub const BYTES: Figure = ("bytes a second an agent", |o| o.bytes);
pub const CALLS: Figure = ("discovery, calls a second in sum", |o| o.calls);
pub const TOLD: Figure = ("discovery, bytes a second in sum", |o| o.discovery_bytes);
pub const PLATFORM: Figure = ("platform, bytes a second in sum", |o| o.platform_bytes);
pub const CORE: Figure = ("share of a core", |o| o.core);
pub const CONTROL: Figure = ("share of a core without commands", |o| o.control_core);

/// The counts over which slopes are measured; `full` to the operators' size.
pub fn sweeps(full: bool, seed: u64) -> Vec<Sweep> {
    let base = Size {
        agents: 2,
        ..Size::default()
    };
    let play = |size: Size, events: Vec<(Duration, Happens)>| Play {
        size,
        seed,
        cores: 1,
        warm: secs(2),
        span: secs(if full { 5 } else { 3 }),
        events,
        own: false,
    };
    let pick = |all: &[usize], few: &[usize]| if full { all.to_vec() } else { few.to_vec() };
    let none = |_: &Size| Vec::new();
    let all = |size: &Size| (0..size.agents).collect::<Vec<_>>();
    let reload = |size: &Size| vec![(secs(1), Happens::Reload(all(size)))];
    let restart = |size: &Size| vec![(secs(1), Happens::Restart(all(size)))];
    let sweep = |name,
                 key,
                 counts: &[usize],
                 of: &dyn Fn(usize) -> Size,
                 events: &dyn Fn(&Size) -> Vec<(Duration, Happens)>,
                 figures: &[Figure]| {
        let plays = counts
            .iter()
            .map(|n| (*n as f64, play(of(*n), events(&of(*n)))))
            .collect();
        Sweep {
            name,
            key,
            plays,
            figures: figures.to_vec(),
            apart: false,
        }
    };
    let endpoints = pick(&[55, 550, 1100, 2200, 4400, 7700], &[55, 110, 220, 440]);
    let classes = pick(&[11, 40, 160, 400, 1600], &[11, 20, 40, 80]);
    let few_classes = pick(&[11, 40, 80, 160], &[3, 6, 12, 24]);
    let tenants = pick(
        &[400, 5600, 14_000, 28_000, 56_000],
        &[400, 800, 1600, 3200],
    );
    let agents = pick(&[6, 24, 96, 384, 770], &[4, 8, 16, 32]);
    let services = pick(&[1, 10, 35, 70, 140], &[1, 2, 4, 8]);
    let rates = pick(&[18, 36, 72, 143, 286], &[20, 40, 80, 160]);
    let far = if full { 770 } else { 110 };
    let with = |endpoints| Size { endpoints, ..base };
    let commands = [DECISIONS, LOOKS, EVALUATION_INTERVAL, CORE, CONTROL];
    let lists = [READING, TAKING, LISTING];
    let mut sweeps = vec![
        sweep(
            "appliances",
            "appliances",
            &endpoints,
            &with,
            &none,
            &commands,
        ),
        sweep(
            "surveys alone, by appliances",
            "appliances",
            &endpoints,
            &|n| Size {
                rate: 0.0,
                ..with(n)
            },
            &none,
            &[LOOKS_SURVEY, EVALUATION_INTERVAL],
        ),
        sweep(
            "a list that is known, by appliances",
            "appliances",
            &endpoints,
            &with,
            &reload,
            &[&lists[..], &[WHOLE]].concat(),
        ),
        sweep(
            "a start's first list, by appliances",
            "appliances",
            &endpoints,
            &with,
            &restart,
            &lists,
        ),
        sweep(
            "lanes",
            "lanes",
            &classes,
            &|classes| Size { classes, ..base },
            &none,
            &commands,
        ),
        sweep(
            "lanes of many appliances",
            "lanes",
            &few_classes,
            &|classes| Size {
                classes,
                endpoints: far,
                ..base
            },
            &none,
            &commands,
        ),
        sweep(
            "tenants",
            "tenants",
            &tenants,
            &|tenants| Size { tenants, ..base },
            &none,
            &[TENANTS, DECISIONS, EVALUATION_INTERVAL, CORE, CONTROL],
        ),
        sweep(
            "load",
            "commands a second",
            &rates,
            &|n| Size {
                rate: n as f64,
                ..base
            },
            &none,
            &commands,
        ),
    ];
    let gentle = Size { rate: 10.0, ..base };
    let sums = [BYTES, CALLS, TOLD, PLATFORM];
    let changes = |size: &Size| {
        roll(
            &size.of_service(0).take(5).collect::<Vec<_>>(),
            secs(1),
            secs(5),
            None,
        )
    };
    let calm = |s: &mut Sweep| {
        s.plays
            .iter_mut()
            .for_each(|p| (p.1.warm, p.1.span) = (secs(5), secs(20)))
    };
    for (name, events) in [
        (
            "agents of one list, calm",
            &none as &dyn Fn(&Size) -> Vec<_>,
        ),
        ("agents of one list, 5 restarts", &changes),
    ] {
        let mut s = sweep(
            name,
            "agents",
            &agents,
            &|agents| Size { agents, ..gentle },
            events,
            &sums,
        );
        calm(&mut s);
        sweeps.push(s);
    }
    let each = |services: usize| Size {
        services,
        agents: services * 11 / 2,
        endpoints: services * 55,
        ..gentle
    };
    let mut s = sweep("services", "services", &services, &each, &none, &sums);
    calm(&mut s);
    sweeps.push(s);
    let memory = |name, key, counts: &[usize], of: &dyn Fn(usize) -> Size| {
        let mut s = sweep(
            name,
            key,
            counts,
            &|n| Size {
                agents: 8,
                rate: 20.0,
                ..of(n)
            },
            &none,
            &[MEMORY],
        );
        s.plays
            .iter_mut()
            .for_each(|p| (p.1.own, p.1.span) = (true, secs(1)));
        Sweep { apart: true, ..s }
    };
    sweeps.extend([
        memory("memory by appliances", "appliances", &endpoints, &with),
        memory("memory by lanes", "lanes", &classes, &|classes| Size {
            classes,
            ..base
        }),
        memory(
            "memory by lanes of many appliances",
            "lanes",
            &few_classes,
            &|classes| Size {
                classes,
                endpoints: far,
                ..base
            },
        ),
        memory("memory by tenants", "tenants", &tenants, &|tenants| Size {
            tenants,
            ..base
        }),
    ]);
    sweeps
}
