//! Names of VMs, backend servers, accounts and other entities that operators declare.
//!
//! Each kind has its own type. A name is immutable and cheap to clone; it is validated where it is
//! declared, not here.

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
    /// Name of a VM, which runs one router or one backend server.
    Vm
);
name!(
    /// Name of a failure domain: VMs and servers that may fail together.
    FailureDomain
);
name!(
    /// Name of a client account, which requests are attributed to.
    ClientAccount
);
name!(
    /// Name of a backend server: one engine or one instance of a plain service.
    BackendServer
);
name!(
    /// Name of a plain service, provided by one or more backend servers.
    Service
);
name!(
    /// Version of the software of a backend server, an opaque text. What servers of two versions
    /// write for one stream does not fit together.
    SoftwareVersion
);
name!(
    /// Name of a model or adapter that engines serve.
    Model
);
name!(
    /// Name of a prepaid token budget.
    Budget
);
