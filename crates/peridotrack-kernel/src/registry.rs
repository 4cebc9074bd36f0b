//! The registry in which the services of a process look each other up by name.
//!
//! A service is registered under a unique name and found by that name and its Rust type. Entries
//! are reference-counted and stay until the registry is cleared.

use std::{any::Any, cell::RefCell, rc::Rc};

use peridotrack_types::collections;

/// Reason why a service cannot be registered or found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Another service is registered under this name.
    #[error("service {name:?} is already registered")]
    Taken {
        /// Name that both services use.
        name: &'static str,
    },
    /// No service is registered under this name.
    #[error("service {name:?} is not registered")]
    Missing {
        /// Name that was looked up.
        name: &'static str,
    },
    /// The registered service has a type other than the requested one.
    #[error("service {name:?} is not a {expected}")]
    WrongType {
        /// Name that was looked up.
        name: &'static str,
        /// Name of the requested type.
        expected: &'static str,
    },
}

/// Registered services by name.
#[derive(Default)]
pub struct Registry {
    services: RefCell<collections::HashMap<&'static str, Rc<dyn Any>>>,
}

impl Registry {
    /// Registers a service under a unique name.
    ///
    /// # Errors
    ///
    /// Fails if the name is already registered.
    pub fn register<T: Any>(&self, name: &'static str, service: Rc<T>) -> Result<(), Error> {
        let mut services = self.services.borrow_mut();
        if services.contains_key(name) {
            return Err(Error::Taken { name });
        }
        services.insert(name, service);
        Ok(())
    }

    /// Returns the service registered under `name`.
    ///
    /// # Errors
    ///
    /// Fails if there is none or if it is not a `T`.
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

    /// Unregisters all services, which breaks the reference cycles between them.
    pub fn clear(&self) {
        let services = std::mem::take(&mut *self.services.borrow_mut());
        drop(services);
    }
}
