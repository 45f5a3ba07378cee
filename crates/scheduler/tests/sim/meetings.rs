//! Scenarios with overlapping faults. The tests play them to check the invariants, and to compare
//! their transcripts with the golden files.

use super::JobKind::*;
use super::ScriptedEvent::{self, *};

/// Two or more overlapping faults, in addition to [`BASE_WORKLOAD`].
pub struct Scenario {
    pub name: &'static str,
    /// Events and when they happen, in milliseconds from the start.
    pub script: &'static [(u64, ScriptedEvent)],
    /// Conditions that must occur with every seed; otherwise the faults did not overlap as planned.
    pub expected: &'static [&'static str],
}

/// Jobs that every scenario submits.
pub const BASE_WORKLOAD: [(u64, ScriptedEvent); 6] = [
    (500, Submit(2, Plain(6))),
    (600, Submit(2, Long(4))),
    (700, Submit(2, Capped(3))),
    (800, Submit(1, InZoneA(4))),
    (900, Submit(1, SingleZone(4))),
    (1_000, Submit(1, Spread(5))),
];

/// All scenarios. The index of each is part of its transcript's file name, so new ones go to the
/// end.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "controllers hand over and back, all end, one returns within a second",
        script: &[
            (6_000, CrashLeader),
            (10_000, CrashLeader),
            (11_000, Cancel(2)),
            (14_000, StopAllControllers(700)),
            (16_000, CrashLeader),
        ],
        expected: &["leader ended", "all away", "elected", "cancelled"],
    },
    Scenario {
        name: "transactions carried out late, after newer ones, and the leader ends",
        script: &[
            (4_000, DelayCommits(40, 25_000)),
            (5_000, Submit(3, Plain(5))),
            (9_000, Cancel(3)),
            (12_000, CrashLeader),
            (17_000, Submit(3, Plain(4))),
        ],
        expected: &["carried out late", "cancelled", "leader ended"],
    },
    Scenario {
        name: "transactions carried out at once unheard, and the leader ends",
        script: &[
            (3_000, LoseCommitResponses(40, 25_000)),
            (5_000, Submit(3, Plain(5))),
            (9_000, Cancel(3)),
            (12_000, CrashLeader),
        ],
        expected: &["carried out unheard", "cancelled", "leader ended"],
    },
    Scenario {
        name: "teams at their limits, cancelled on machines that hang or are cut, the leader changes",
        script: &[
            (2_000, Submit(4, Capped(4))),
            (6_000, PauseMachines(50, 18_000)),
            (6_000, PartitionMachines(40, 30_000)),
            (7_000, Cancel(5)),
            (8_000, CrashLeader),
            (13_000, Cancel(2)),
        ],
        expected: &["team at its limit", "cancelled on an ill machine", "leader ended"],
    },
    Scenario {
        name: "workers reach no controller, direct commands reach them, jobs are cancelled",
        script: &[
            (6_000, LoseHeartbeats(100, 30_000)),
            (8_000, Cancel(4)),
            (12_000, CrashLeader),
            (16_000, Cancel(2)),
        ],
        expected: &["mute with tasks", "cancelled on an ill machine", "leader ended"],
    },
    Scenario {
        name: "a team at its limit when the leader changes, some machines can't be asked, a cancellation",
        script: &[
            (2_000, Submit(4, Capped(4))),
            (6_000, LoseInboundMessages(60, 25_000)),
            (6_500, CrashLeader),
            (9_000, Cancel(4)),
            (11_000, Submit(2, Capped(4))),
        ],
        expected: &[
            "team at its limit",
            "deaf with tasks",
            "cancelled while the lead changed hands",
        ],
    },
    Scenario {
        name: "reports held back until a new leader has acted",
        script: &[
            (2_000, DuplicateHeartbeats(60, 40_000)),
            (8_000, CrashLeader),
            (10_000, Cancel(2)),
            (16_000, KillMachines(2)),
            (20_000, CrashLeader),
            (30_000, CrashLeader),
        ],
        expected: &["copies of reports", "leader ended", "machines died"],
    },
    Scenario {
        name: "old reports reach everybody just as a new leader begins",
        script: &[
            (2_000, ReplayToNextLeader(50_000)),
            (9_000, CrashLeader),
            (10_000, Cancel(2)),
            (22_000, PartitionMachines(40, 30_000)),
            (24_000, CrashLeader),
            (36_000, CrashLeader),
        ],
        expected: &["old reports at a new leader", "leader ended", "cancelled"],
    },
    Scenario {
        name: "cancelled at the moment of the refusal, a second later down for all",
        script: &[
            (7_000, RejectLeader(14_000)),
            (7_100, Cancel(3)),
            (7_900, Cancel(3)),
            (8_000, StoreOutage(46_000)),
            (56_000, Cancel(1)),
        ],
        expected: &["leader refused alone", "cancelled while the leader was refused"],
    },
    Scenario {
        name: "the same with the frames between nodes lost",
        script: &[
            (6_500, LosePeerMessages(60_000)),
            (7_000, RejectLeader(14_000)),
            (7_100, Cancel(3)),
            (7_900, Cancel(3)),
            (8_000, StoreOutage(46_000)),
        ],
        expected: &["leader refused alone", "cancelled while the leader was refused"],
    },
    Scenario {
        name: "more work than room, urgent and not, commands held up",
        script: &[
            (2_000, Submit(10, Plain(6))),
            (3_000, DelayCommands(40, 30_000)),
            (5_000, Submit(8, HighPriority(3))),
            (9_000, CrashLeader),
            (14_000, Submit(5, HighPriority(3))),
            (15_000, Cancel(4)),
        ],
        expected: &["commands held up", "leader ended", "cancelled"],
    },
    Scenario {
        name: "a leader cut from state and peers while workers reach it, cancelled through the new one",
        script: &[
            (6_000, PartitionLeader(60_000)),
            (7_000, Cancel(2)),
            (10_500, Cancel(3)),
            (20_000, Cancel(3)),
        ],
        expected: &[
            "leader cut",
            "cancelled while the leader was cut",
            "a report to the former leader",
        ],
    },
    Scenario {
        name: "a leader ends while machines with long tasks don't hear the new one",
        script: &[
            (6_000, LoseInboundMessages(50, 45_000)),
            (6_000, PartitionMachines(30, 28_000)),
            (7_000, CrashLeader),
            (15_000, Cancel(3)),
        ],
        expected: &["deaf with tasks", "cut with tasks", "leader ended", "cancelled"],
    },
    Scenario {
        name: "all controllers away for longer than a lease",
        script: &[
            (7_000, Cancel(2)),
            (7_200, StopAllControllers(26_000)),
            (36_000, Cancel(2)),
            (40_000, StopAllControllers(24_000)),
        ],
        expected: &["all away", "cancelled"],
    },
    Scenario {
        name: "leaders change ten times in two minutes, also inside an outage",
        script: &[
            (6_000, CrashLeader),
            (18_000, CrashLeader),
            (22_000, Cancel(1)),
            (30_000, CrashLeader),
            (30_500, StoreOutage(12_000)),
            (38_000, CrashLeader),
            (50_000, CrashLeader),
            (52_000, Submit(4, Long(3))),
            (62_000, CrashLeader),
            (70_000, Cancel(1)),
            (74_000, CrashLeader),
            (86_000, CrashLeader),
            (98_000, CrashLeader),
            (110_000, CrashLeader),
        ],
        expected: &["leader ended", "elected", "cancelled"],
    },
    Scenario {
        name: "jobs bound to one zone, arrays too, lose machines, and the leader changes",
        script: &[
            (2_000, Submit(3, InZoneA(5))),
            (2_500, Submit(3, SingleZone(5))),
            (2_600, Submit(3, Spread(7))),
            (7_000, KillMachines(3)),
            (8_000, CrashLeader),
            (12_000, LoseHeartbeats(40, 24_000)),
            (20_000, KillMachines(3)),
            (24_000, CrashLeader),
        ],
        expected: &["machines died", "leader ended"],
    },
    Scenario {
        name: "new machines up within two seconds get work while writes lag, and the leader ends",
        script: &[
            (1_500, FastBoots(40_000)),
            (2_000, DelayCommits(35, 25_000)),
            (3_000, Submit(12, Plain(6))),
            (8_000, CrashLeader),
            (10_000, Submit(8, HighPriority(3))),
            (16_000, CrashLeader),
            (18_000, Cancel(4)),
        ],
        expected: &["up within two seconds", "carried out late", "leader ended"],
    },
    Scenario {
        name: "a zone cut off for longer than a lease, and the leader changes",
        script: &[
            (6_000, PartitionZone("a", 28_000)),
            (7_000, Cancel(3)),
            (9_000, CrashLeader),
            (14_000, Cancel(3)),
        ],
        expected: &["cut with tasks", "cancelled on an ill machine", "leader ended"],
    },
    Scenario {
        name: "commands or their answers held up for seconds, machines hang and go on",
        script: &[
            (3_000, DelayCommands(50, 40_000)),
            (6_000, PauseMachines(50, 15_000)),
            (7_000, Cancel(4)),
            (24_000, PauseMachines(50, 19_000)),
            (25_000, Cancel(2)),
            (26_000, CrashLeader),
        ],
        expected: &["commands held up", "hung with tasks", "cancelled on an ill machine"],
    },
    Scenario {
        name: "cancellations meet the ends of jobs' last tasks",
        script: &[
            (1_000, CancelOnTaskExit(50, 60_000)),
            (2_000, Submit(20, Plain(1))),
            (12_000, Submit(20, Plain(2))),
            (24_000, CrashLeader),
        ],
        expected: &["cancelled at the end"],
    },
    Scenario {
        name: "one-task jobs several a second, a quarter cancelled, while the work changes hands",
        script: &[
            (1_500, SubmitSingleTaskJobs(60_000)),
            (12_000, CrashLeader),
            (30_000, RejectLeader(9_000)),
            (45_000, CrashLeader),
        ],
        expected: &["cancelled while the lead changed hands", "leader refused alone"],
    },
    Scenario {
        name: "jobs of two or three tasks end far apart across changes of the leader",
        script: &[
            (1_500, Submit(6, Plain(2))),
            (1_500, Submit(4, Long(3))),
            (7_000, CrashLeader),
            (11_000, LoseCommitResponses(30, 20_000)),
            (14_000, CrashLeader),
            (60_000, CrashLeader),
        ],
        expected: &["leader ended", "carried out unheard"],
    },
    Scenario {
        name: "a flood of urgent jobs while leaders end, writes are late and machines are cut off",
        script: &[
            (3_000, Submit(45, Flood(20))),
            (9_000, PartitionMachines(30, 25_000)),
            (12_000, CrashLeader),
            (18_000, DelayCommits(30, 15_000)),
            (20_000, Submit(3, Capped(3))),
            (22_000, Cancel(8)),
            (30_000, StopAllControllers(700)),
            (41_000, CrashLeader),
        ],
        expected: &[
            "an overload shared",
            "leader ended",
            "all away",
            "carried out late",
            "team at its limit",
        ],
    },
    Scenario {
        name: "a flood of urgent jobs while the leader is cut off and jobs are cancelled through the next one",
        script: &[
            (3_000, Submit(45, Flood(20))),
            (10_000, PartitionLeader(30_000)),
            (16_000, Cancel(10)),
            (22_000, DelayCommands(30, 20_000)),
            (25_000, LoseInboundMessages(30, 20_000)),
            (34_000, RejectLeader(9_000)),
        ],
        expected: &[
            "an overload shared",
            "leader cut",
            "cancelled while the leader was cut",
            "commands held up",
        ],
    },
];
