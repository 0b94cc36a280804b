//! Container images that a machine is assumed to hold or to fetch.

use super::Machine;

/// An image on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Image {
    /// Name of the image.
    pub name: String,
    /// Size of the image in GB.
    pub gb: f64,
    /// Whether the fetch of the image has completed.
    pub is_complete: bool,
}

/// Progress of an image on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ImageState {
    /// The image would have to be fetched.
    Absent,
    /// The image is being fetched.
    Fetching,
    /// The image is on the machine.
    Held,
}

impl Machine {
    /// Marks an image as the most recently used, and evicts the least recently used images until
    /// the rest fit into `cache_gb`. The image itself is never evicted.
    pub fn use_image(&mut self, name: &str, gb: f64, is_complete: bool, cache_gb: f64) {
        let known = self.images.iter().position(|image| image.name == name);
        let previous = known.map(|i| self.images.remove(i));
        let was_complete = previous.is_some_and(|image| image.is_complete);
        self.images.push(Image {
            name: name.to_string(),
            gb,
            is_complete: is_complete || was_complete,
        });
        let mut total: f64 = self.images.iter().map(|image| image.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).gb;
        }
    }

    /// Returns whether the machine holds or fetches an image.
    pub fn image(&self, name: &str) -> ImageState {
        match self.images.iter().find(|image| image.name == name) {
            Some(image) if image.is_complete => ImageState::Held,
            Some(_) => ImageState::Fetching,
            None => ImageState::Absent,
        }
    }
}
