//! Configuration changes and their application.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::{Config, ConfigError, Service};
use crate::ids::{Revision, SchemaVersion, ServiceId};
use crate::patience::Patience;

/// Configuration change as operators submit it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// Creates a service or replaces its configuration.
    PutService {
        /// Name of the service.
        name: ServiceId,
        /// New configuration of the service.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        name: ServiceId,
    },
    /// Sets the live schema versions of a service.
    SetSchemas {
        /// Name of the service.
        name: ServiceId,
        /// Live schema versions in ascending order.
        schemas: Vec<SchemaVersion>,
    },
    /// Sets the patience of a service.
    SetPatience {
        /// Name of the service.
        name: ServiceId,
        /// New patience of the service.
        patience: Patience,
    },
    /// Replaces all services.
    ReplaceAll {
        /// Services by name.
        services: IndexMap<ServiceId, Service>,
    },
}

/// Error for a change that cannot be applied.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum ChangeError {
    /// The change names a service that does not exist.
    #[snafu(display("service {name} does not exist: create it with put_service first"))]
    UnknownService {
        /// Name in the change.
        name: ServiceId,
    },
    /// The resulting configuration would be invalid.
    #[snafu(transparent)]
    Invalid {
        /// Invalid value in the resulting configuration.
        source: ConfigError,
    },
}

impl Change {
    /// Returns the changed configuration with the next revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the change names an unknown service or its result is invalid.
    pub fn apply(&self, config: &Config) -> Result<Config, ChangeError> {
        let mut next = config.clone();
        self.edit(&mut next)?;
        next.check()?;
        next.revision = Revision(config.revision.0 + 1);
        Ok(next)
    }

    fn edit(&self, next: &mut Config) -> Result<(), ChangeError> {
        match self {
            Self::PutService { name, service } => {
                next.services.insert(name.clone(), service.clone());
            }
            Self::RemoveService { name } => {
                existing_service(next, name)?;
                next.services.shift_remove(name);
            }
            Self::SetSchemas { name, schemas } => {
                existing_service(next, name)?.schemas.clone_from(schemas);
            }
            Self::SetPatience { name, patience } => {
                existing_service(next, name)?.patience.clone_from(patience);
            }
            Self::ReplaceAll { services } => next.services.clone_from(services),
        }
        Ok(())
    }
}

fn existing_service<'a>(
    config: &'a mut Config,
    name: &ServiceId,
) -> Result<&'a mut Service, ChangeError> {
    let service = config.services.get_mut(name);
    service.ok_or_else(|| ChangeError::UnknownService { name: name.clone() })
}
