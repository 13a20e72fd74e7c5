//! The places of callers' connections and requests.

use std::cell::RefCell;
use std::rc::Rc;

use jujube_core::pipeline::crowd;
use jujube_core::pipeline::crowd::Visitor;
use jujube_core::pipeline::memory::Size;

/// The connections and requests at this entry.
#[derive(Clone)]
pub struct Crowd(Rc<RefCell<crowd::Crowd>>);

impl Crowd {
    /// Creates the crowd of an entry on a machine with this memory.
    pub fn new(memory: Option<Size>) -> Self {
        Self(Rc::new(RefCell::new(crowd::Crowd::new(memory))))
    }

    /// Takes a place; `None` if there is none.
    pub fn admit(&self, visitor: Visitor) -> Option<Place> {
        let is_admitted = self.0.borrow_mut().admit(visitor);
        is_admitted.then(|| Place {
            crowd: self.clone(),
            visitor,
        })
    }

    /// Returns how things stand.
    pub fn view(&self) -> crowd::Crowd {
        *self.0.borrow()
    }
}

/// A place, which is given back on drop.
pub struct Place {
    crowd: Crowd,
    visitor: Visitor,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.crowd.0.borrow_mut().leave(self.visitor);
    }
}
