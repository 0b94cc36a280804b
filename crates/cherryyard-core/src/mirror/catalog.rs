//! Machine types and operators' attributes of machines, and what jobs' rules come to by
//! these.

use super::OpenJob;
use crate::pools::Matcher;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::rules::Attributes;

/// Machine types and attributes as last stored. Only the mirror writes it.
#[derive(Clone, Debug, Default)]
pub struct MachineCatalog {
    /// Machine types.
    pub machine_types: Vec<MachineType>,
    /// Revision of their record.
    pub machine_types_revision: u64,
    /// Operators' own attributes of machines.
    pub attributes: Attributes,
    /// Revision of their record.
    pub(super) attributes_revision: u64,
    /// What jobs' rules come to, by types and attributes.
    pub matcher: Matcher,
}

impl MachineCatalog {
    /// Takes machine types; false if they are as before.
    pub(super) fn set_machine_types(&mut self, machine_types: Vec<MachineType>) -> bool {
        if self.machine_types == machine_types {
            return false;
        }
        self.machine_types = machine_types;
        true
    }

    /// Takes attributes, or that there are none.
    pub(super) fn set_attributes(&mut self, attributes: Attributes, revision: u64) {
        self.attributes = attributes;
        self.attributes_revision = revision;
    }

    /// Types or attributes have changed: what jobs' rules come to is worked out
    /// afresh. What runs stays where it is, what waits follows.
    pub(super) fn rematch<'a>(&mut self, jobs: impl Iterator<Item = &'a mut OpenJob>) {
        self.matcher = Matcher::new(&self.machine_types, &self.attributes);
        for open in jobs {
            if let Some((rules, pools)) = &mut open.rules {
                *pools = self.matcher.pools(rules, open.submitted_at);
            }
        }
    }
}
