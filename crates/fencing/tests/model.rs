//! An exhaustive check of the protocol of leases, intents and settlement, on a small model of it.
//!
//! Bounds: two nodes, three epochs, one machine that is used and returned, scale-outs by the first epoch. A node
//! may stand still between any two steps, and a message may arrive at any time after it was sent. Writes are applied at any time after they were sent, if their fence still holds. Left out: refused scale-outs,
//! batches, clocks (a lease that is certainly held is one that the store still keeps) and the machine list.

use std::collections::{BTreeSet, HashMap};

use pathfinding::prelude::{bfs, bfs_reach};

const NODES: usize = 2;
const MAX_EPOCHS: u8 = 3;
/// Rentals are decided up to that epoch.
const RENTING_EPOCHS: u8 = 1;

/// The check is worth something only on as many states as this model has.
const LEAST_STATES: usize = 50_000;

type Epoch = u8;

/// An outside action: the return of the one machine, or the scale-out that an epoch asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Action {
    Return,
    Rent(Epoch),
}

/// Something on its way, by the epoch that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Record(Epoch, Action),
    Use(Epoch),
    Cloud(Epoch, Action),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Step {
    Writing,
    Recorded,
    Sent,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    /// 0: it holds nothing as far as it knows.
    epoch: Epoch,
    loaded: bool,
    /// It takes the machine for used, or its use is being written.
    uses: bool,
    open: BTreeSet<(Action, Step)>,
    knows: BTreeSet<Epoch>,
}

impl Node {
    fn has(&self, action: Action) -> bool {
        self.open.iter().any(|(a, _)| *a == action)
    }

    fn advance(&mut self, action: Action, from: Step, to: Option<Step>) {
        if self.open.remove(&(action, from)) {
            self.open.extend(to.map(|to| (action, to)));
        }
    }
}

/// The parts of the fence, each of which may be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Parts {
    record_first: bool,
    check_before_sending: bool,
    adopt: bool,
    exclude: bool,
}

const ALL_PARTS: Parts =
    Parts { record_first: true, check_before_sending: true, adopt: true, exclude: true };

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    parts: Parts,
    epoch: Epoch,
    held: bool,
    intents: BTreeSet<Action>,
    ever_recorded: BTreeSet<Action>,
    in_use: bool,
    returned: bool,
    rented: BTreeSet<Epoch>,
    messages: BTreeSet<Message>,
    nodes: Vec<Node>,
    broken: Option<&'static str>,
}

impl World {
    fn start(parts: Parts) -> World {
        World {
            parts,
            epoch: 0,
            held: false,
            intents: BTreeSet::new(),
            ever_recorded: BTreeSet::new(),
            in_use: false,
            returned: false,
            rented: BTreeSet::new(),
            messages: BTreeSet::new(),
            nodes: vec![Node::default(); NODES],
            broken: None,
        }
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// What may follow: with trouble, also a lost lease and new decisions. (A lost message is one that stays
    /// on its way.)
    fn next(&self, trouble: bool) -> Vec<World> {
        if self.broken.is_some() {
            return Vec::new();
        }
        let mut all = Vec::new();
        if trouble && self.held {
            all.push(self.with(|w| w.held = false));
        }
        for node in 0..NODES {
            self.node_steps(node, trouble, &mut all);
        }
        for &message in &self.messages {
            all.push(self.with(|w| w.deliver(message)));
        }
        all
    }

    fn node_steps(&self, n: usize, trouble: bool, all: &mut Vec<World>) {
        let node = &self.nodes[n];
        if !self.held && self.epoch < MAX_EPOCHS {
            all.push(self.with(|w| w.acquire(n)));
        }
        if node.epoch == 0 {
            return;
        }
        if node.epoch != self.epoch {
            // It learns that another holds the role, sooner or later.
            all.push(self.with(|w| w.nodes[n] = Node::default()));
        }
        if !node.loaded {
            all.push(self.with(|w| w.load(n)));
            return;
        }
        if trouble {
            self.decisions(n, all);
        }
        for &(action, step) in &node.open {
            match step {
                Step::Writing => all.push(self.with(|w| {
                    w.messages.insert(Message::Record(node.epoch, action));
                })),
                Step::Recorded | Step::Sent => {
                    // An unknown outcome is asked for again.
                    if self.may_send(n) {
                        all.push(self.with(|w| w.send(n, action, step)));
                    }
                }
            }
        }
    }

    /// What a holder may decide in its registry.
    fn decisions(&self, n: usize, all: &mut Vec<World>) {
        let node = &self.nodes[n];
        let scale_out = Action::Rent(node.epoch);
        let first = if self.parts.record_first { Step::Writing } else { Step::Recorded };
        let decided = node.has(scale_out) || node.knows.contains(&node.epoch);
        if node.epoch <= RENTING_EPOCHS && !decided {
            all.push(self.with(|w| {
                w.nodes[n].open.insert((scale_out, first));
            }));
        }
        let returning = node.has(Action::Return);
        let excluded = self.parts.exclude && returning;
        if !node.uses && !excluded && !self.returned {
            all.push(self.with(|w| {
                w.nodes[n].uses = true;
                w.messages.insert(Message::Use(node.epoch));
            }));
        }
        let excluded = self.parts.exclude && node.uses;
        if !returning && !excluded && !self.returned {
            all.push(self.with(|w| {
                w.nodes[n].open.insert((Action::Return, first));
            }));
        }
    }

    fn acquire(&mut self, n: usize) {
        self.epoch += 1;
        self.held = true;
        self.nodes[n] = Node { epoch: self.epoch, ..Node::default() };
    }

    fn load(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.loaded = true;
        node.uses = self.in_use;
        if self.parts.adopt {
            node.open.extend(self.intents.iter().map(|&action| (action, Step::Recorded)));
        }
    }

    fn may_send(&self, n: usize) -> bool {
        let certain = self.held && self.nodes[n].epoch == self.epoch;
        certain || !self.parts.check_before_sending
    }

    fn send(&mut self, n: usize, action: Action, step: Step) {
        let epoch = self.nodes[n].epoch;
        if epoch != self.epoch {
            self.broken = Some("a replaced holder sent an action");
        }
        self.nodes[n].advance(action, step, Some(Step::Sent));
        self.messages.insert(Message::Cloud(epoch, action));
    }

    fn deliver(&mut self, message: Message) {
        self.messages.remove(&message);
        match message {
            Message::Record(epoch, action) => {
                // The fence. A record of this epoch that was stored before is not made anew.
                if epoch == self.epoch && self.ever_recorded.insert(action) {
                    self.intents.insert(action);
                }
                if epoch == self.epoch {
                    let node = self.nodes.iter_mut().find(|node| node.epoch == epoch);
                    let answered = |node: &mut Node| {
                        node.advance(action, Step::Writing, Some(Step::Recorded));
                    };
                    node.into_iter().for_each(answered);
                }
            }
            Message::Use(epoch) => {
                if epoch == self.epoch {
                    self.in_use = true;
                }
            }
            Message::Cloud(epoch, action) => self.carry_out(epoch, action),
        }
    }

    fn carry_out(&mut self, epoch: Epoch, action: Action) {
        let takes_effect = match action {
            Action::Return => !std::mem::replace(&mut self.returned, true),
            Action::Rent(name) => self.rented.insert(name),
        };
        if !self.ever_recorded.contains(&action) {
            self.broken = Some("an action without a recorded intent");
        } else if takes_effect && epoch < self.epoch && !self.intents.contains(&action) {
            self.broken = Some("a stale action took effect that no holder has adopted");
        } else if takes_effect && action == Action::Return && self.in_use {
            self.broken = Some("a machine was returned and in use");
        }
        // The answer, if whoever sent it is still there; then the record is dropped under the fence.
        let node = self.nodes.iter_mut().find(|node| node.epoch == epoch);
        if let Some(node) = node {
            node.advance(action, Step::Sent, None);
            if let Action::Rent(name) = action {
                node.knows.insert(name);
            }
        }
        if epoch == self.epoch {
            self.intents.remove(&action);
        }
    }

    /// All is settled: nothing recorded, nothing on its way, and the holder knows what is rented.
    fn is_settled(&self) -> bool {
        let holder = self.nodes.iter().find(|node| node.epoch == self.epoch);
        self.held
            && self.intents.is_empty()
            && self.messages.is_empty()
            && holder.is_some_and(|node| node.loaded && node.open.is_empty())
    }
}

fn shortest_violation(parts: Parts) -> Option<(usize, &'static str)> {
    let start = World::start(parts);
    let path = bfs(&start, |world| world.next(true), |world| world.broken.is_some())?;
    Some((path.len(), path.last()?.broken?))
}

#[test]
fn no_reachable_state_breaks_a_rule_and_each_can_settle() {
    let start = World::start(ALL_PARTS);
    let states: Vec<World> = bfs_reach(start, |world| world.next(true)).collect();
    println!("{} states", states.len());
    let broken = states.iter().find_map(|world| world.broken);
    assert_eq!(broken, None);
    assert!(states.len() > LEAST_STATES, "the model is as large as it was: {}", states.len());

    // Progress once trouble ends: a settled state is reached from each by steps without trouble. States in
    // which the last epoch has been used up and lost are the model's end, not the protocol's.
    let number: HashMap<&World, usize> = states.iter().zip(0..).collect();
    let mut before: Vec<Vec<usize>> = vec![Vec::new(); states.len() + 1];
    for (world, at) in states.iter().zip(0..) {
        for next in world.next(false) {
            before[number[&next]].push(at);
        }
        if world.is_settled() {
            before[states.len()].push(at);
        }
    }
    let settling: BTreeSet<usize> = bfs_reach(states.len(), |&at| before[at].clone()).collect();
    let stuck = states
        .iter()
        .zip(0..)
        .find(|(world, at)| (world.held || world.epoch < MAX_EPOCHS) && !settling.contains(at));
    assert!(stuck.is_none(), "{stuck:?}");
}

#[test]
fn each_part_of_the_fence_is_needed() {
    let without = [
        ("recording first", Parts { record_first: false, ..ALL_PARTS }),
        ("the check before sending", Parts { check_before_sending: false, ..ALL_PARTS }),
        ("adoption", Parts { adopt: false, ..ALL_PARTS }),
        ("exclusion", Parts { exclude: false, ..ALL_PARTS }),
    ];
    for (part, parts) in without {
        let found = shortest_violation(parts);
        println!("without {part}: {found:?}");
        assert!(found.is_some(), "nothing breaks without {part}");
    }
}
