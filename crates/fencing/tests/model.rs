//! Exhaustive model check of the protocol of leases, intents and settlement.
//!
//! Bounds: two nodes, three epochs, one machine that is used and returned, and scale-outs in the
//! first epoch only. A node may pause between any two steps, and a message may arrive at any time
//! after it was sent. A write is applied at any time after it was sent, if its fence still holds.
//!
//! Not modelled: refused scale-outs, batches, the machine list, and clocks. A lease counts as
//! certainly held while the store keeps it.

use std::collections::{BTreeSet, HashMap};

use pathfinding::prelude::{bfs, bfs_reach};

const NODES: usize = 2;
const MAX_EPOCHS: u8 = 3;
/// Last epoch in which scale-outs are decided.
const LAST_RENTING_EPOCH: u8 = 1;

/// Lower bound on the number of reachable states, so that a model that became too small fails the
/// check.
const MIN_STATES: usize = 50_000;

type Epoch = u8;

/// Cloud action: the return of the only machine, or the scale-out requested in an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Action {
    Return,
    Rent(Epoch),
}

/// Message in transit, with the epoch of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Record(Epoch, Action),
    UseMachine(Epoch),
    Cloud(Epoch, Action),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Progress {
    Writing,
    Recorded,
    Sent,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    /// Epoch under which the node believes to hold the role, or 0 if it does not.
    epoch: Epoch,
    loaded: bool,
    /// The node believes that the machine is in use, or has sent a write that puts it to use.
    believes_in_use: bool,
    open_actions: BTreeSet<(Action, Progress)>,
    known_rentals: BTreeSet<Epoch>,
}

impl Node {
    fn has(&self, action: Action) -> bool {
        self.open_actions.iter().any(|(a, _)| *a == action)
    }

    fn advance(&mut self, action: Action, from: Progress, to: Option<Progress>) {
        if self.open_actions.remove(&(action, from)) {
            self.open_actions.extend(to.map(|to| (action, to)));
        }
    }
}

/// Rules of the protocol, each of which can be disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Rules {
    record_before_sending: bool,
    check_before_sending: bool,
    adopt: bool,
    exclude_conflicting_decisions: bool,
}

const ALL_RULES: Rules = Rules {
    record_before_sending: true,
    check_before_sending: true,
    adopt: true,
    exclude_conflicting_decisions: true,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    rules: Rules,
    epoch: Epoch,
    held: bool,
    intents: BTreeSet<Action>,
    ever_recorded: BTreeSet<Action>,
    in_use: bool,
    returned: bool,
    rented: BTreeSet<Epoch>,
    messages: BTreeSet<Message>,
    nodes: Vec<Node>,
    violation: Option<&'static str>,
}

impl World {
    fn start(rules: Rules) -> World {
        World {
            rules,
            epoch: 0,
            held: false,
            intents: BTreeSet::new(),
            ever_recorded: BTreeSet::new(),
            in_use: false,
            returned: false,
            rented: BTreeSet::new(),
            messages: BTreeSet::new(),
            nodes: vec![Node::default(); NODES],
            violation: None,
        }
    }

    fn with(&self, change: impl FnOnce(&mut World)) -> World {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    /// Returns the possible successor states. `with_disruptions` also allows a lost lease and new
    /// decisions. A lost message is modelled as one that is never delivered.
    fn next(&self, with_disruptions: bool) -> Vec<World> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut successors = Vec::new();
        if with_disruptions && self.held {
            successors.push(self.with(|w| w.held = false));
        }
        for node in 0..NODES {
            self.add_node_steps(node, with_disruptions, &mut successors);
        }
        for &message in &self.messages {
            successors.push(self.with(|w| w.deliver(message)));
        }
        successors
    }

    fn add_node_steps(&self, n: usize, with_disruptions: bool, successors: &mut Vec<World>) {
        let node = &self.nodes[n];
        if !self.held && self.epoch < MAX_EPOCHS {
            successors.push(self.with(|w| w.acquire(n)));
        }
        if node.epoch == 0 {
            return;
        }
        if node.epoch != self.epoch {
            // A replaced holder learns at any later time that it lost the role.
            successors.push(self.with(|w| w.nodes[n] = Node::default()));
        }
        if !node.loaded {
            successors.push(self.with(|w| w.load(n)));
            return;
        }
        if with_disruptions {
            self.add_decisions(n, successors);
        }
        for &(action, progress) in &node.open_actions {
            match progress {
                Progress::Writing => successors.push(self.with(|w| {
                    w.messages.insert(Message::Record(node.epoch, action));
                })),
                Progress::Recorded | Progress::Sent => {
                    // An action whose outcome is unknown is sent again.
                    if self.may_send(n) {
                        successors.push(self.with(|w| w.send(n, action, progress)));
                    }
                }
            }
        }
    }

    /// Adds the states that follow from a holder's new decisions: to rent, to use the machine or to
    /// return it.
    fn add_decisions(&self, n: usize, successors: &mut Vec<World>) {
        let node = &self.nodes[n];
        let scale_out = Action::Rent(node.epoch);
        let initial =
            if self.rules.record_before_sending { Progress::Writing } else { Progress::Recorded };
        let decided = node.has(scale_out) || node.known_rentals.contains(&node.epoch);
        if node.epoch <= LAST_RENTING_EPOCH && !decided {
            successors.push(self.with(|w| {
                w.nodes[n].open_actions.insert((scale_out, initial));
            }));
        }
        let returning = node.has(Action::Return);
        let excluded = self.rules.exclude_conflicting_decisions && returning;
        if !node.believes_in_use && !excluded && !self.returned {
            successors.push(self.with(|w| {
                w.nodes[n].believes_in_use = true;
                w.messages.insert(Message::UseMachine(node.epoch));
            }));
        }
        let excluded = self.rules.exclude_conflicting_decisions && node.believes_in_use;
        if !returning && !excluded && !self.returned {
            successors.push(self.with(|w| {
                w.nodes[n].open_actions.insert((Action::Return, initial));
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
        node.believes_in_use = self.in_use;
        if self.rules.adopt {
            node.open_actions
                .extend(self.intents.iter().map(|&action| (action, Progress::Recorded)));
        }
    }

    fn may_send(&self, n: usize) -> bool {
        let holds_lease = self.held && self.nodes[n].epoch == self.epoch;
        holds_lease || !self.rules.check_before_sending
    }

    fn send(&mut self, n: usize, action: Action, progress: Progress) {
        let epoch = self.nodes[n].epoch;
        if epoch != self.epoch {
            self.violation = Some("a replaced holder sent an action");
        }
        self.nodes[n].advance(action, progress, Some(Progress::Sent));
        self.messages.insert(Message::Cloud(epoch, action));
    }

    fn deliver(&mut self, message: Message) {
        self.messages.remove(&message);
        match message {
            Message::Record(epoch, action) => {
                // The fence rejects writes of other epochs. A record that was stored before is not
                // created again by a late copy of its write.
                if epoch == self.epoch && self.ever_recorded.insert(action) {
                    self.intents.insert(action);
                }
                if epoch == self.epoch {
                    let node = self.nodes.iter_mut().find(|node| node.epoch == epoch);
                    let answered = |node: &mut Node| {
                        node.advance(action, Progress::Writing, Some(Progress::Recorded));
                    };
                    node.into_iter().for_each(answered);
                }
            }
            Message::UseMachine(epoch) => {
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
            self.violation = Some("an action took effect without a recorded intent");
        } else if takes_effect && epoch < self.epoch && !self.intents.contains(&action) {
            self.violation =
                Some("a stale action took effect that the current holder had not adopted");
        } else if takes_effect && action == Action::Return && self.in_use {
            self.violation = Some("a machine was returned while it was in use");
        }
        // The sender gets the response unless it has learned of a successor by now. The record is
        // deleted if the fence still holds.
        let node = self.nodes.iter_mut().find(|node| node.epoch == epoch);
        if let Some(node) = node {
            node.advance(action, Progress::Sent, None);
            if let Action::Rent(name) = action {
                node.known_rentals.insert(name);
            }
        }
        if epoch == self.epoch {
            self.intents.remove(&action);
        }
    }

    /// Returns whether a holder exists and has loaded its state, and no intents, open actions or
    /// messages remain.
    fn is_settled(&self) -> bool {
        let holder = self.nodes.iter().find(|node| node.epoch == self.epoch);
        self.held
            && self.intents.is_empty()
            && self.messages.is_empty()
            && holder.is_some_and(|node| node.loaded && node.open_actions.is_empty())
    }
}

fn shortest_violation(rules: Rules) -> Option<(usize, &'static str)> {
    let start = World::start(rules);
    let path = bfs(&start, |world| world.next(true), |world| world.violation.is_some())?;
    Some((path.len(), path.last()?.violation?))
}

#[test]
fn every_reachable_state_is_safe_and_can_reach_a_settled_state() {
    let start = World::start(ALL_RULES);
    let states: Vec<World> = bfs_reach(start, |world| world.next(true)).collect();
    println!("{} reachable states", states.len());
    let violation = states.iter().find_map(|world| world.violation);
    assert_eq!(violation, None);
    assert!(states.len() > MIN_STATES, "the model has too few reachable states: {}", states.len());

    // Liveness: every state must reach a settled one by steps without disruptions. States in which
    // the last epoch is used up and lost are excluded: they end the model, not the protocol.
    let number: HashMap<&World, usize> = states.iter().zip(0..).collect();
    let mut predecessors: Vec<Vec<usize>> = vec![Vec::new(); states.len() + 1];
    for (world, at) in states.iter().zip(0..) {
        for next in world.next(false) {
            predecessors[number[&next]].push(at);
        }
        if world.is_settled() {
            predecessors[states.len()].push(at);
        }
    }
    let settling: BTreeSet<usize> =
        bfs_reach(states.len(), |&at| predecessors[at].clone()).collect();
    let stuck = states
        .iter()
        .zip(0..)
        .find(|(world, at)| (world.held || world.epoch < MAX_EPOCHS) && !settling.contains(at));
    assert!(stuck.is_none(), "{stuck:?}");
}

#[test]
fn disabling_any_protocol_rule_leads_to_a_violation() {
    let cases = [
        ("recording before sending", Rules { record_before_sending: false, ..ALL_RULES }),
        ("the lease check before sending", Rules { check_before_sending: false, ..ALL_RULES }),
        ("adoption", Rules { adopt: false, ..ALL_RULES }),
        (
            "the exclusion of conflicting decisions",
            Rules { exclude_conflicting_decisions: false, ..ALL_RULES },
        ),
    ];
    for (rule, rules) in cases {
        let found = shortest_violation(rules);
        println!("without {rule}: {found:?}");
        assert!(found.is_some(), "no violation without {rule}");
    }
}
