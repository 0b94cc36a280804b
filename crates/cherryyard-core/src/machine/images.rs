//! The images that a machine is believed to have.

use super::Machine;

/// An image on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Image {
    /// Its name.
    pub name: String,
    /// Its size.
    pub gb: f64,
    /// Whether it is there, not on its way.
    pub whole: bool,
}

/// How near an image is to being on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ImageState {
    /// It would have to be fetched.
    Absent,
    /// It is being fetched.
    Fetching,
    /// It is there.
    Held,
}

impl Machine {
    /// Notes that an image was used, and drops what no longer fits the cache.
    pub fn use_image(&mut self, name: &str, gb: f64, whole: bool, cache_gb: f64) {
        let known = self.images.iter().position(|image| image.name == name);
        let before = known.map(|i| self.images.remove(i));
        let was_whole = before.is_some_and(|image| image.whole);
        self.images.push(Image {
            name: name.to_string(),
            gb,
            whole: whole || was_whole,
        });
        let mut total: f64 = self.images.iter().map(|image| image.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).gb;
        }
    }

    /// Whether the machine holds or fetches an image.
    pub fn image(&self, name: &str) -> ImageState {
        match self.images.iter().find(|image| image.name == name) {
            Some(image) if image.whole => ImageState::Held,
            Some(_) => ImageState::Fetching,
            None => ImageState::Absent,
        }
    }
}
