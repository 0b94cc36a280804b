//! Machine types, the attributes of machines that operators define, and the evaluation of jobs'
//! rules against both.

use super::OpenJob;
use crate::pools::Matcher;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::rules::Attributes;

/// Machine types and attributes of machines as last stored; while no machine types are stored,
/// those that the cloud lists. Written only by the mirror.
#[derive(Clone, Debug, Default)]
pub struct MachineCatalog {
    /// Machine types of the cloud.
    pub machine_types: Vec<MachineType>,
    /// Revision of the record of machine types.
    pub machine_types_revision: u64,
    /// Attributes of machines that operators define.
    pub attributes: Attributes,
    /// Revision of the record of attributes.
    pub(super) attributes_revision: u64,
    /// Evaluation of jobs' rules against the current machine types and attributes.
    pub matcher: Matcher,
}

impl MachineCatalog {
    /// Sets the machine types; returns false if they are unchanged.
    pub(super) fn set_machine_types(&mut self, machine_types: Vec<MachineType>) -> bool {
        if self.machine_types == machine_types {
            return false;
        }
        self.machine_types = machine_types;
        true
    }

    /// Sets the attributes of machines and the revision of their record, 0 if there is none.
    pub(super) fn set_attributes(&mut self, attributes: Attributes, revision: u64) {
        self.attributes = attributes;
        self.attributes_revision = revision;
    }

    /// Re-evaluates the rules of the given jobs, after a change of machine types or attributes.
    /// Running tasks stay where they are; the result applies to waiting tasks.
    pub(super) fn rematch<'a>(&mut self, jobs: impl Iterator<Item = &'a mut OpenJob>) {
        self.matcher = Matcher::new(&self.machine_types, &self.attributes);
        for open in jobs {
            if let Some((rules, pools)) = &mut open.rules {
                *pools = self.matcher.pools(rules, open.submitted_at);
            }
        }
    }
}
