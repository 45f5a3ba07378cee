//! Adopts the cloud actions that earlier holders of a role recorded.

use crate::intent::{Action, ScaleOut, TerminatedMachine};
use crate::leased_role::RecordError;

/// Outcome of adopting the intent records of earlier holders.
#[derive(Debug, Default)]
pub struct Adopted {
    /// Scale-outs that are requested again under their original request names.
    pub scale_outs: Vec<ScaleOut>,
    /// Machines whose recorded scale-in is still to be carried out.
    pub scale_ins: Vec<TerminatedMachine>,
    /// Machines whose recorded scale-in is not carried out because tasks were placed on them
    /// afterwards. Only a version without fencing does that.
    pub cancelled_scale_ins: Vec<String>,
    /// Errors of the records that can't be acted on and stay in the store unchanged.
    pub faults: Vec<RecordError>,
}

impl Adopted {
    /// Adds an action recorded under an earlier epoch to the outcome. Returns the part of it that
    /// remains to be carried out, if any.
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
                // A holder never places tasks on a machine whose scale-in is recorded. Tasks that
                // appeared after the recording were placed by a version that doesn't read intents.
                let gained_tasks = |m: &TerminatedMachine| !m.holds_tasks && has_tasks(&m.machine);
                let (cancelled, remaining): (Vec<_>, Vec<_>) =
                    machines.into_iter().partition(gained_tasks);
                self.cancelled_scale_ins.extend(cancelled.into_iter().map(|m| m.machine));
                self.scale_ins.extend(remaining.iter().cloned());
                (!remaining.is_empty()).then_some(Action::ScaleIn(remaining))
            }
        }
    }
}
