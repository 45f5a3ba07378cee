//! What a new holder takes over from what former holders recorded.

use crate::intent::{Action, ScaleOut, TerminatedMachine};
use crate::leased_role::RecordError;

/// What a new holder takes over.
#[derive(Debug, Default)]
pub struct Adopted {
    /// Rentals that will be asked for again under their names.
    pub scale_outs: Vec<ScaleOut>,
    /// Machines whose recorded return is carried out.
    pub scale_ins: Vec<TerminatedMachine>,
    /// Machines whose recorded return is not carried out, since work was recorded on them after it, which
    /// only a version without fences does.
    pub cancelled_scale_ins: Vec<String>,
    /// Records that were left as they are.
    pub faults: Vec<RecordError>,
}

impl Adopted {
    /// What is left to do of an action that another epoch recorded.
    pub(crate) fn adopt(
        &mut self,
        action: Action,
        has_tasks: &impl Fn(&str) -> bool,
    ) -> Option<Action> {
        match action {
            Action::ScaleOut(scale_out) => {
                self.scale_outs.push(scale_out.clone());
                Some(Action::ScaleOut(scale_out))
            }
            Action::ScaleIn(machines) => {
                // No holder puts work on a machine whose return is recorded. Work that is there now and
                // was not when the return was recorded was put there by a version that reads no intents.
                let in_use = |m: &TerminatedMachine| !m.holds_tasks && has_tasks(&m.machine);
                let (used, gone): (Vec<_>, Vec<_>) = machines.into_iter().partition(in_use);
                self.cancelled_scale_ins.extend(used.into_iter().map(|m| m.machine));
                self.scale_ins.extend(gone.iter().cloned());
                (!gone.is_empty()).then_some(Action::ScaleIn(gone))
            }
        }
    }
}
