//! The one owner of the `Choice`: all that the agent tells and asks it passes here, with the time.

use super::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::*;
use tulipwall_discovery::clock::Clock;

pub struct Hand {
    choice: RefCell<Choice>,
    clock: Rc<Clock>,
    counters: Rc<Counters>,
    taken: Cell<u64>,
    open: RefCell<HashSet<String>>, // the ids of commands in hand
    news: RefCell<Option<News>>,
    turns: Cell<u64>, // how often the news changed
    watch: RefCell<Option<Watch>>,
    keys: RefCell<HashMap<u64, (usize, Option<u64>)>>, // lane and key of commands in hand, while something is watched
}

/// A command is open under its id for as long as this lives.
pub struct Opened<'a>(&'a Hand, String);

impl Drop for Opened<'_> {
    fn drop(&mut self) {
        self.0.open.borrow_mut().remove(&self.1);
    }
}

impl Hand {
    /// Nothing while another command is open under this id: its answers could not be told apart.
    pub fn open(&self, id: &str) -> Option<Opened<'_>> {
        self.open
            .borrow_mut()
            .insert(id.to_owned())
            .then(|| Opened(self, id.to_owned()))
    }

    pub fn new(deployment: Deployment, clock: Rc<Clock>, counters: Rc<Counters>) -> Hand {
        Hand {
            choice: RefCell::new(Choice::new(clock.now(), deployment)),
            clock,
            counters,
            taken: Cell::default(),
            open: RefCell::default(),
            news: RefCell::default(),
            turns: Cell::default(),
            watch: RefCell::default(),
            keys: RefCell::default(),
        }
    }

    /// A command has come in: its number, and where to send it.
    pub fn take(&self, command: Command) -> (u64, Answer) {
        let id = self.taken.get();
        self.taken.set(id + 1);
        self.counters.taken.add();
        let (now, lane, key) = (self.clock.now(), command.lane, command.key);
        self.choice.borrow_mut().take(now, id, command);
        if let Some(watch) = self.watch.borrow_mut().as_mut() {
            watch.take(&self.choice.borrow(), lane);
            self.keys.borrow_mut().insert(id, (lane, key));
        }
        let answer = self.choice.borrow_mut().place(now, id);
        (id, self.watched(now, id, answer))
    }

    pub fn place(&self, id: u64) -> Answer {
        let now = self.clock.now();
        let answer = self.choice.borrow_mut().place(now, id);
        self.watched(now, id, answer)
    }

    /// Counts where the watched settings would have decided otherwise; the answer stands as it is.
    fn watched(&self, now: Duration, id: u64, answer: Answer) -> Answer {
        if let Some(watch) = self.watch.borrow_mut().as_mut() {
            let known = self.keys.borrow().get(&id).copied();
            match (&answer, known) {
                (Answer::Send { appliance, .. }, Some((lane, key))) => {
                    watch.sent(now, &self.choice.borrow(), lane, key, *appliance);
                }
                (Answer::Deny { .. } | Answer::Scrap, _) => {
                    self.keys.borrow_mut().remove(&id);
                }
                _ => {}
            }
        }
        answer
    }

    /// From now on this shape is watched, or none.
    pub fn watch(&self, present: &Deployment, shape: Option<&Shape>) {
        *self.watch.borrow_mut() = shape.map(|s| Watch::new(present, s));
        self.keys.borrow_mut().clear();
    }

    /// What commands in hand count in.
    pub fn in_hand(&self) -> InHand {
        self.choice.borrow().in_hand()
    }

    /// From now on these settings decide, numbered as `by` says; `zones` are appliances whose zone has another number.
    pub fn renew(
        &self,
        d: &Deployment,
        by: &Numbering,
        zones: &[(usize, usize)],
        shape: Option<&Shape>,
    ) {
        let mut choice = self.choice.borrow_mut();
        choice.renew(self.clock.now(), d, by);
        choice.rezone(zones);
        if let (Some(watch), Some(shape)) = (self.watch.borrow_mut().as_mut(), shape) {
            watch.renew(d, shape);
        }
    }

    /// Where the watched settings would have decided otherwise so far; nothing while none are watched.
    pub fn otherwise(&self) -> Option<Otherwise> {
        self.watch.borrow().as_ref().map(|w| w.counts)
    }

    /// An appliance said how many commands it holds.
    pub fn told(&self, appliance: usize, held: f64) {
        self.choice
            .borrow_mut()
            .told(self.clock.now(), appliance, Outcome::Satisfied, Some(held));
    }

    /// A delivery that was decided at `sent` has ended.
    pub fn after(
        &self,
        id: u64,
        delivery: usize,
        sent: Duration,
        outcome: Outcome,
        closed: bool,
    ) -> Answer {
        self.counters.end(outcome);
        let now = self.clock.now();
        let end = End {
            outcome,
            took: now.saturating_sub(sent),
            closed,
            held: None,
        };
        let answer = self.choice.borrow_mut().after(now, id, delivery, end);
        let answer = self.watched(now, id, answer);
        if closed {
            self.keys.borrow_mut().remove(&id);
        }
        answer
    }

    /// The client went away.
    pub fn left(&self, id: u64) {
        self.choice.borrow_mut().left(id);
        self.keys.borrow_mut().remove(&id);
    }

    pub fn list(&self, entries: &[Listed], complete: bool) {
        self.counters.lists.add();
        self.choice
            .borrow_mut()
            .list(self.clock.now(), entries, complete);
    }

    pub fn list_failed(&self) {
        self.counters.list_failures.add();
        self.choice.borrow_mut().list_failed(self.clock.now());
    }

    /// Until when the list tells all that counts as told.
    pub fn vouch(&self, until: Option<Duration>) {
        self.choice.borrow_mut().vouched = until;
    }

    pub fn news(&self, news: News) {
        self.counters.news.add();
        let told = |n: &News| (n.build, n.stage, n.phase, n.cap.to_bits());
        if self.news.borrow().as_ref().map(told) != Some(told(&news)) {
            self.turns.set(self.turns.get() + 1);
        }
        *self.news.borrow_mut() = Some(news.clone());
        self.choice.borrow_mut().news(news);
    }

    /// Whether this build is on trial, as far as the news go.
    pub fn on_trial(&self, build: u32) -> bool {
        let news = self.news.borrow();
        news.as_ref()
            .is_some_and(|n| build > n.build || build == n.build && n.phase != Phase::Released)
    }

    /// The newest build that the platform told of.
    pub fn newest(&self) -> Option<u32> {
        self.news.borrow().as_ref().map(|n| n.build)
    }

    pub fn crossings(&self, told: Crossings) {
        self.choice.borrow_mut().crossings(told);
    }

    pub fn rooms(&self, zones: usize) -> Vec<Room> {
        self.choice.borrow().rooms(self.clock.now(), zones)
    }

    /// What the news stood at when a delivery was decided.
    pub fn turn(&self) -> u64 {
        self.turns.get()
    }

    /// Whether a delivery to `build` decided at `turn` still goes by the news it was decided on.
    pub fn stands(&self, build: u32, turn: u64) -> bool {
        turn == self.turns.get() || self.news.borrow().as_ref().is_some_and(|n| build < n.build)
    }

    /// Whether a delivery that was decided may still be written.
    pub fn holds(&self, id: u64, delivery: usize) -> bool {
        self.choice.borrow().holds(self.clock.now(), id, delivery)
    }

    pub fn flag(&self, appliance: usize, lane: usize, age: Duration) {
        self.choice
            .borrow_mut()
            .flag(self.clock.now(), appliance, lane, age);
    }

    pub fn tally(&self, tally: &Tally) {
        self.choice.borrow_mut().tally(tally);
    }

    pub fn reply(&self, reply: Reply) {
        self.choice.borrow_mut().reply(self.clock.now(), reply);
    }

    /// Commands, appliances, builds and keys that the module keeps.
    pub fn kept(&self) -> [usize; 4] {
        self.choice.borrow().kept()
    }

    pub fn wait(&self) -> Due {
        self.choice.borrow_mut().wait(self.clock.now())
    }
}
