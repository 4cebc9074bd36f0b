//! Shared immutable names of the things an operator declares.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $ident:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $ident(Arc<str>);

        impl $ident {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $ident {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $ident {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl std::borrow::Borrow<str> for $ident {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $ident {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

name!(
    /// A VM that runs one router.
    Vm
);
name!(
    /// A failure domain.
    FailureDomain
);
name!(
    /// A client account.
    ClientAccount
);
name!(
    /// A backend server: one engine or one instance of a plain service.
    BackendServer
);
name!(
    /// A plain service, provided by one or more backend servers.
    Service
);
name!(
    /// A model or adapter that engines serve.
    Model
);
name!(
    /// A prepaid budget.
    Budget
);
