//! Interned names: each distinct name has a dense index that the core uses in its place.

use std::collections::HashMap;
use std::sync::Arc;

/// Set of names with an index for each, in the order in which they were first interned.
#[derive(Clone, Debug, Default)]
pub struct Names {
    index: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl Names {
    /// Creates a set with the given names, interned in their order.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut all = Self::default();
        for name in names {
            all.intern(name);
        }
        all
    }

    /// Returns the index of `name`, which is added if it is not known.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&name_index) = self.index.get(name) {
            return name_index;
        }
        let name_index = self.names.len() as u32;
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.index.insert(name, name_index);
        name_index
    }

    /// Returns the index of `name`, if it is known.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// Returns the name with this index.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
