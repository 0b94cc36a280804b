//! Sets of task numbers, stored as inclusive ranges.

use serde::{Deserialize, Serialize};

/// Set of task numbers. Its JSON is a list of `[first, last]` pairs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(Vec<(u32, u32)>);

impl RangeSet {
    /// Returns the empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the numbers from `first` to `last`, both included; the empty set if `first` is
    /// above `last`.
    pub fn from_range(first: u32, last: u32) -> Self {
        if first > last {
            Self::new()
        } else {
            Self(vec![(first, last)])
        }
    }

    /// Returns whether the ranges are sorted, disjoint and not adjacent, as `insert` keeps them.
    pub fn is_canonical(&self) -> bool {
        self.0.iter().all(|r| r.0 <= r.1)
            && self
                .0
                .windows(2)
                .all(|w| w[0].1 < u32::MAX && w[0].1 + 1 < w[1].0)
    }

    /// Returns the number of elements.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0 + 1).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the ranges, in ascending order.
    pub fn ranges(&self) -> &[(u32, u32)] {
        &self.0
    }

    /// Returns whether `n` is in the set.
    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 < n);
        self.0.get(i).is_some_and(|r| r.0 <= n)
    }

    /// Returns whether all numbers below `n` are in the set.
    pub fn covers_first(&self, n: u32) -> bool {
        n == 0 || matches!(self.0.first(), Some(&(0, last)) if last >= n - 1)
    }

    /// Returns all numbers, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|r| r.0..=r.1)
    }

    /// Adds `n`.
    pub fn insert(&mut self, n: u32) {
        let i = self.0.partition_point(|r| r.1 < n);
        if self.0.get(i).is_some_and(|r| r.0 <= n) {
            return;
        }
        let joins_left = i > 0 && self.0[i - 1].1 + 1 == n;
        let joins_right = self.0.get(i).is_some_and(|r| n + 1 == r.0);
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[i - 1].1 = self.0[i].1;
                self.0.remove(i);
            }
            (true, false) => self.0[i - 1].1 = n,
            (false, true) => self.0[i].0 = n,
            (false, false) => self.0.insert(i, (n, n)),
        }
    }

    /// Removes `n`.
    pub fn remove(&mut self, n: u32) {
        let i = self.0.partition_point(|r| r.1 < n);
        let Some(&(first, last)) = self.0.get(i) else {
            return;
        };
        if first > n {
            return;
        }
        match (first == n, last == n) {
            (true, true) => {
                self.0.remove(i);
            }
            (true, false) => self.0[i].0 = n + 1,
            (false, true) => self.0[i].1 = n - 1,
            (false, false) => {
                self.0[i].1 = n - 1;
                self.0.insert(i + 1, (n + 1, last));
            }
        }
    }

    /// Returns the difference: the numbers of `self` that are not in `other`.
    pub fn difference(&self, other: &Self) -> Self {
        let mut difference = Vec::new();
        // The first range of `other` that does not end before the current range of `self`.
        let mut next_other = 0;
        for &(first, last) in &self.0 {
            while next_other < other.0.len() && other.0[next_other].1 < first {
                next_other += 1;
            }
            let mut from = first;
            let mut has_remainder = true;
            for &(cut_first, cut_last) in &other.0[next_other..] {
                if cut_first > last {
                    break;
                }
                if cut_first > from {
                    difference.push((from, cut_first - 1));
                }
                if cut_last >= last {
                    has_remainder = false;
                    break;
                }
                from = from.max(cut_last + 1);
            }
            if has_remainder && from <= last {
                difference.push((from, last));
            }
        }
        Self(difference)
    }

    /// Returns the union: the numbers that are in either set.
    pub fn union(&self, other: &Self) -> Self {
        let mut all: Vec<_> = self.0.iter().chain(&other.0).copied().collect();
        all.sort_unstable();
        let mut out: Vec<(u32, u32)> = Vec::with_capacity(all.len());
        for (a, b) in all {
            match out.last_mut() {
                Some(last) if a <= last.1.saturating_add(1) => last.1 = last.1.max(b),
                _ => out.push((a, b)),
            }
        }
        Self(out)
    }

    /// Returns the set of the `n` lowest numbers; all if there are fewer.
    pub fn first(&self, n: u32) -> Self {
        let mut out = Vec::new();
        let mut remaining = n;
        for &(a, b) in &self.0 {
            if remaining == 0 {
                break;
            }
            let take = (b - a + 1).min(remaining);
            out.push((a, a + take - 1));
            remaining -= take;
        }
        Self(out)
    }

    /// Returns the set of the `n` highest numbers; all if there are fewer.
    pub fn last(&self, n: u32) -> Self {
        let len = self.len();
        self.difference(&self.first(len.saturating_sub(n)))
    }
}

impl FromIterator<u32> for RangeSet {
    fn from_iter<T: IntoIterator<Item = u32>>(iter: T) -> Self {
        let mut set = Self::new();
        for n in iter {
            set.insert(n);
        }
        set
    }
}

#[cfg(test)]
mod tests;
