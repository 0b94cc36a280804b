//! Interns attribute names, which are compared ignoring case.

use indexmap::IndexMap;

/// An interned attribute name; valid only with the [`Names`] that issued it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameId(pub(crate) u32);

/// Interns attribute names: spellings that differ only in case share one id.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The first spelling of each name, by the name in lower case.
    spellings: IndexMap<String, String>,
}

impl Names {
    /// Returns the id of `name`, a new one if the name was unknown.
    pub fn intern(&mut self, name: &str) -> NameId {
        let entry = self.spellings.entry(name.to_ascii_lowercase());
        let index = entry.index();
        entry.or_insert_with(|| name.to_string());
        NameId(index as u32)
    }

    /// Returns the id of `name`, if the name is known.
    pub fn get(&self, name: &str) -> Option<NameId> {
        let index = self.spellings.get_index_of(&name.to_ascii_lowercase())?;
        Some(NameId(index as u32))
    }

    /// Returns the name with this id, in its first spelling; empty for an id issued by
    /// another [`Names`].
    pub fn name(&self, id: NameId) -> &str {
        self.spellings
            .get_index(id.0 as usize)
            .map_or("", |(_, spelling)| spelling)
    }
}
