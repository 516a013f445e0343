//! A type for each kind of name, so that names of different kinds cannot be confused. Clones share the text, so they
//! are cheap.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name! {
    /// The name of a machine, as the platform gives it.
    NodeName
}
name! {
    /// The name of a role in the deploy file.
    RoleName
}
name! {
    /// The name of a zone.
    ZoneName
}
name! {
    /// The name of a region, which holds zones.
    RegionName
}
name! {
    /// The name of a service, which its executors register under.
    ServiceName
}
name! {
    /// The name of a route.
    RouteName
}
name! {
    /// The host of a route, in lower case and without a port.
    HostName
}
name! {
    /// The name of a model that executors hold.
    ModelName
}
