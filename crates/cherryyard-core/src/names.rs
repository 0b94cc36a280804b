//! Interned names: each gets a dense index where it enters the core.

use std::collections::HashMap;
use std::sync::Arc;

/// Gives each name an index, in order of first sight.
#[derive(Clone, Debug, Default)]
pub struct Names {
    index: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl Names {
    /// Interns the names given, in their order.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut all = Self::default();
        for name in names {
            all.intern(name);
        }
        all
    }

    /// The index of `name`, new if it was unknown.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        let i = self.names.len() as u32;
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.index.insert(name, i);
        i
    }

    /// The index of `name`, if it is known.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }

    /// The name at `index`.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
