//! Services that find each other by name.

use std::{any::Any, cell::RefCell, rc::Rc};

use peridotrack_types::collections;

/// A service that cannot be registered or found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name is taken.
    #[error("service {name:?} is already registered")]
    Taken {
        /// Name of the service.
        name: &'static str,
    },
    /// No service has this name.
    #[error("service {name:?} is not registered")]
    Missing {
        /// Name of the service.
        name: &'static str,
    },
    /// The service has another type than the one asked for.
    #[error("service {name:?} is not a {expected}")]
    WrongType {
        /// Name of the service.
        name: &'static str,
        /// Type that was asked for.
        expected: &'static str,
    },
}

/// Running services by name.
#[derive(Default)]
pub struct Registry {
    services: RefCell<collections::HashMap<&'static str, Rc<dyn Any>>>,
}

impl Registry {
    /// Registers a service under a name that nothing else has.
    pub fn register<T: Any>(&self, name: &'static str, service: Rc<T>) -> Result<(), Error> {
        let mut services = self.services.borrow_mut();
        if services.contains_key(name) {
            return Err(Error::Taken { name });
        }
        services.insert(name, service);
        Ok(())
    }

    /// Returns the service of this name and type.
    pub fn find<T: Any>(&self, name: &'static str) -> Result<Rc<T>, Error> {
        let service = self
            .services
            .borrow()
            .get(name)
            .cloned()
            .ok_or(Error::Missing { name })?;
        service.downcast::<T>().map_err(|_| Error::WrongType {
            name,
            expected: std::any::type_name::<T>(),
        })
    }

    /// Drops every service, which breaks the references that services hold on each other.
    pub fn clear(&self) {
        let services = std::mem::take(&mut *self.services.borrow_mut());
        drop(services);
    }
}
