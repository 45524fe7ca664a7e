//! Whether a call is tried again, when, and what it ends as otherwise.
//!
//! An unrepeatable command goes out again only if it provably never ran: its last byte was not written, or the
//! agent said that a retry is harmless. One deduplicated among all appliances may go again inside its window,
//! counted from the first try that may have run; one deduplicated in a zone or cell may not, as the next agent
//! may pick another. Idempotent ones may always. Each retry costs a token, of this agent and of all; tokens are
//! earned by satisfied commands, so that retries stay a tenth of what works and vanish when nothing does.

use crate::service::Retrying;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{Group, Repeats};

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A retry is harmless; when to come back, where that was said.
    Denied(Option<Duration>),
    /// The same, as the agent leaves (57P03).
    Leaving,
    /// Not written to its last byte: refused, never came up, or broke before. It never ran.
    NotSent,
    /// The connection, used before, was closed without a byte of an answer: the close may have crossed it.
    Crossed,
    /// Written whole, then the connection broke.
    Broken,
    /// An error that promises nothing.
    Failed,
    /// An answer that is none.
    Garbage,
    /// Nothing in time.
    Late,
}

impl Ended {
    /// It may have run, or may yet.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Ended::Denied(_) | Ended::Leaving | Ended::NotSent)
    }

    /// As logs and counters write it.
    pub fn word(self) -> &'static str {
        match self {
            Ended::Denied(_) => "denied",
            Ended::Leaving => "leaving",
            Ended::NotSent => "not_sent",
            Ended::Crossed => "crossed",
            Ended::Broken => "broken",
            Ended::Failed => "failed",
            Ended::Garbage => "garbage",
            Ended::Late => "late",
        }
    }
}

/// Why a call is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It may have run and may not run twice.
    MayNotRepeat,
    /// The window in which its repeats are told is over.
    WindowOver,
    Tries,
    Tokens,
    /// The time to come back, or the next pause, lies beyond its expiry.
    Expiry,
}

impl Cause {
    pub fn word(self) -> &'static str {
        match self {
            Cause::MayNotRepeat => "may_not_repeat",
            Cause::WindowOver => "window_over",
            Cause::Tries => "tries",
            Cause::Tokens => "tokens",
            Cause::Expiry => "expiry",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Again at this time.
    Again(Duration),
    Over(Cause),
}

/// One call's tries so far.
#[derive(Clone, Debug)]
pub struct Tries {
    pub repeats: Repeats,
    pub expires: Duration,
    /// Begun, the one that is out among them.
    pub count: u32,
    /// When the first that may have run began.
    pub ran_from: Option<Duration>,
    /// The resend that the protocol allows was used.
    resent: bool,
    began: Duration,
}

impl Tries {
    pub fn new(repeats: Repeats, expires: Duration) -> Tries {
        Tries { repeats, expires, count: 0, ran_from: None, resent: false, began: Duration::ZERO }
    }

    /// A try begins.
    pub fn begin(&mut self, now: Duration) {
        (self.count, self.began) = (self.count + 1, now);
    }

    pub fn may_have_run(&self) -> bool {
        self.ran_from.is_some()
    }

    /// Whether it may go out at this time, which was decided earlier: its window may have ended meanwhile.
    pub fn may_go(&self, now: Duration) -> Result<(), Cause> {
        match (self.repeats, self.ran_from) {
            (Repeats::Idempotent, _) | (_, None) => Ok(()),
            (Repeats::Deduplicated { group: Group::All, window }, Some(from)) if now < from + window => {
                Ok(())
            }
            (Repeats::Deduplicated { group: Group::All, .. }, Some(_)) => Err(Cause::WindowOver),
            _ => Err(Cause::MayNotRepeat),
        }
    }
}

/// The retries of one client.
#[derive(Debug)]
pub struct Retries {
    by: Retrying,
    tokens: f64,
    each: Vec<f64>, // by agent
    rng: Pcg64Mcg,
}

impl Retries {
    pub fn new(by: Retrying, agents: usize, seed: u64) -> Retries {
        let tokens = by.kept;
        Retries { by, tokens, each: vec![tokens; agents], rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// A command was satisfied by this agent.
    pub fn satisfied(&mut self, agent: usize) {
        self.tokens = (self.tokens + self.by.earned).min(self.by.kept);
        if let Some(t) = self.each.get_mut(agent) {
            *t = (*t + self.by.earned).min(self.by.kept);
        }
    }

    /// Tokens left, of all agents together.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// What to do after a try at this agent ended so. Costs a token where it is tried again.
    pub fn next(&mut self, now: Duration, tries: &mut Tries, agent: usize, ended: Ended) -> Next {
        if ended.may_have_run() {
            tries.ran_from.get_or_insert(tries.began);
        }
        if let Err(cause) = tries.may_go(now) {
            return Next::Over(cause);
        }
        // The close of an idle connection crossed the command: sent once more at once, beside all counts.
        if ended == Ended::Crossed && !std::mem::replace(&mut tries.resent, true) {
            return self.at(now, tries);
        }
        if tries.count >= self.by.tries {
            return Next::Over(Cause::Tries);
        }
        let pause = self.pause(tries.count);
        let floor = match ended {
            Ended::Denied(Some(back)) => back,
            _ => Duration::ZERO,
        };
        // Beyond a time to come back that all were told alike, they spread over as long again.
        let beyond = pause.max(floor);
        let drawn = beyond.mul_f64(self.rng.gen_range(0.0..1.0));
        let at = now.saturating_add(floor).saturating_add(drawn);
        if now.saturating_add(floor) >= tries.expires {
            return Next::Over(Cause::Expiry);
        }
        // A pause of its own never costs the last chance: half of what is left is the most it takes.
        let latest = now + floor + (tries.expires - now - floor) / 2;
        let next = self.at(at.min(latest), tries);
        if let Next::Again(_) = next {
            let each = self.each.get(agent).copied().unwrap_or(self.tokens);
            if self.tokens < 1.0 || each < 1.0 {
                return Next::Over(Cause::Tokens);
            }
            self.tokens -= 1.0;
            self.each.get_mut(agent).into_iter().for_each(|t| *t -= 1.0);
        }
        next
    }

    /// At this time, if it may still go out then.
    fn at(&self, at: Duration, tries: &Tries) -> Next {
        match tries.may_go(at) {
            Err(cause) => Next::Over(cause),
            Ok(()) if at >= tries.expires => Next::Over(Cause::Expiry),
            Ok(()) => Next::Again(at),
        }
    }

    /// The longest pause after so many tries.
    fn pause(&self, tries: u32) -> Duration {
        let doubled = self.by.pause.0.saturating_mul(1 << tries.saturating_sub(1).min(20));
        doubled.min(self.by.pause.1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    const ALL: [Ended; 9] = [
        Ended::Denied(None),
        Ended::Denied(Some(ms(300))),
        Ended::Leaving,
        Ended::NotSent,
        Ended::Crossed,
        Ended::Broken,
        Ended::Failed,
        Ended::Garbage,
        Ended::Late,
    ];

    fn once() -> Tries {
        Tries::new(Repeats::Unrepeatable, ms(2000))
    }

    fn keyed(group: Group) -> Tries {
        Tries::new(Repeats::Deduplicated { group, window: ms(500) }, ms(2000))
    }

    #[test]
    fn unrepeatable_goes_again_only_where_it_provably_never_ran() {
        for ended in ALL {
            let (mut retries, mut tries) = (Retries::new(Retrying::default(), 1, 1), once());
            tries.begin(ms(0));
            let next = retries.next(ms(10), &mut tries, 0, ended);
            let again = matches!(next, Next::Again(_));
            assert_eq!(again, !ended.may_have_run(), "{ended:?}: {next:?}");
            // A later end of which it is known that it never ran does not help one that may have run before.
            if !again {
                tries.begin(ms(20));
                let later = retries.next(ms(30), &mut tries, 0, Ended::NotSent);
                assert_eq!(later, Next::Over(Cause::MayNotRepeat));
            }
        }
    }

    #[test]
    fn deduplicated_goes_again_only_in_its_window_counted_from_the_first_that_may_have_run() {
        let mut retries = Retries::new(Retrying::default(), 1, 2);
        let mut tries = keyed(Group::All);
        tries.begin(ms(0));
        assert!(
            matches!(retries.next(ms(100), &mut tries, 0, Ended::Broken), Next::Again(at) if at < ms(500))
        );
        tries.begin(ms(150));
        let next = retries.next(ms(499), &mut tries, 0, Ended::NotSent);
        assert!(matches!(next, Next::Over(Cause::WindowOver)), "its pause would end after it: {next:?}");
        assert_eq!(tries.may_go(ms(500)), Err(Cause::WindowOver));
        for group in [Group::Zone, Group::Cell] {
            let mut tries = keyed(group);
            tries.begin(ms(0));
            let next = retries.next(ms(100), &mut tries, 0, Ended::Broken);
            assert_eq!(next, Next::Over(Cause::MayNotRepeat));
        }
    }

    #[test]
    fn when_nothing_works_retries_are_a_tenth_and_vanish() {
        let mut retries = Retries::new(Retrying::default(), 2, 3);
        let mut sent = 0;
        for call in 0..10_000u64 {
            let mut tries = Tries::new(Repeats::Idempotent, ms(call + 5000));
            loop {
                tries.begin(ms(call));
                sent += 1;
                if !matches!(
                    retries.next(ms(call), &mut tries, call as usize % 2, Ended::Broken),
                    Next::Again(_)
                ) {
                    break;
                }
            }
        }
        assert!(sent <= 10_000 + 10, "{sent}: only what was kept at the start");
        let mut retries = Retries::new(Retrying::default(), 2, 3);
        let mut sent = 0;
        for call in 0..10_000u64 {
            let mut tries = Tries::new(Repeats::Idempotent, ms(call + 5000));
            tries.begin(ms(call));
            sent += 1;
            if call % 3 == 0 {
                while let Next::Again(at) = retries.next(ms(call), &mut tries, 0, Ended::Failed) {
                    tries.begin(at);
                    sent += 1;
                }
            } else {
                retries.satisfied(0);
            }
        }
        assert!(sent as f64 <= 11_000.0, "{sent}");
    }

    #[test]
    fn a_time_to_come_back_is_a_floor_beyond_which_all_spread_and_one_beyond_the_expiry_ends_the_call() {
        let mut times = Vec::new();
        for seed in 0..200 {
            let (mut retries, mut tries) = (Retries::new(Retrying::default(), 1, seed), once());
            tries.begin(ms(0));
            match retries.next(ms(0), &mut tries, 0, Ended::Denied(Some(ms(400)))) {
                Next::Again(at) => times.push(at),
                over => panic!("{over:?}"),
            }
        }
        assert!(times.iter().all(|t| (ms(400)..ms(800)).contains(t)));
        let most = (0..8).map(|n| times.iter().filter(|t| t.as_millis() as u64 / 50 == 8 + n).count()).max();
        assert!(most.unwrap() < 50, "two hundred at once come back spread: {most:?} in 50 ms");
        let (mut retries, mut tries) = (Retries::new(Retrying::default(), 1, 1), once());
        tries.begin(ms(0));
        let next = retries.next(ms(0), &mut tries, 0, Ended::Denied(Some(ms(2000))));
        assert_eq!(next, Next::Over(Cause::Expiry));
        assert_eq!(retries.tokens(), Retrying::default().kept, "which costs no token");
    }

    #[test]
    fn a_close_that_crossed_a_command_is_resent_once_without_a_token() {
        let (mut retries, mut tries) = (
            Retries::new(Retrying { kept: 0.0, ..Retrying::default() }, 1, 1),
            Tries::new(Repeats::Idempotent, ms(2000)),
        );
        tries.begin(ms(0));
        assert_eq!(retries.next(ms(5), &mut tries, 0, Ended::Crossed), Next::Again(ms(5)));
        tries.begin(ms(5));
        assert_eq!(retries.next(ms(9), &mut tries, 0, Ended::Crossed), Next::Over(Cause::Tokens));
    }

    #[test]
    fn whatever_happens_no_try_goes_out_after_the_expiry_or_twice_where_it_may_not() {
        fn play(seed: u64, script: Vec<(u8, u8)>) {
            let mut retries = Retries::new(Retrying { kept: 1e9, ..Retrying::default() }, 3, seed);
            let kinds =
                [once(), keyed(Group::All), keyed(Group::Zone), Tries::new(Repeats::Idempotent, ms(2000))];
            let mut tries = kinds[seed as usize % 4].clone();
            let (mut now, mut ran): (Duration, Option<Duration>) = (ms(0), None);
            for (how, took) in script {
                tries.begin(now);
                let began = now;
                now += ms(u64::from(took) * 4);
                let ended = ALL[how as usize % ALL.len()];
                if ended.may_have_run() {
                    ran.get_or_insert(began);
                }
                let Next::Again(at) = retries.next(now, &mut tries, how as usize % 4, ended) else { return };
                assert!(at >= now && at < ms(2000) && tries.count <= 5);
                match (tries.repeats, ran) {
                    (Repeats::Unrepeatable, ran) => assert_eq!(ran, None),
                    (Repeats::Deduplicated { group: Group::All, window }, Some(from)) => {
                        assert!(at < from + window);
                    }
                    (Repeats::Deduplicated { .. }, ran) => {
                        assert!(ran.is_none() || tries.repeats == kinds[1].repeats)
                    }
                    _ => {}
                }
                now = at;
            }
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(40, 4))
            .tests(3000)
            .quickcheck(play as fn(u64, Vec<(u8, u8)>));
    }
}
