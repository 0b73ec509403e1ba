//! Runs an entry or a controller until it is stopped.

use crate::args::{ControllerArgs, DialectName, EntryArgs};

/// Runs an entry with the dialect of the command line.
pub fn entry(args: &EntryArgs) -> Result<(), String> {
    let dialect = match args.dialect {
        DialectName::Own => hornbeam_entry::Dialect::default(),
        DialectName::Platform => hornbeam_platform::entry_dialect(),
    };
    hornbeam_entry::run(&args.settings, dialect).map_err(|e| e.to_string())
}

/// Runs a controller with the dialect of the command line.
pub fn controller(args: &ControllerArgs) -> Result<(), String> {
    let dialect = match args.dialect {
        DialectName::Own => hornbeam_controller::Dialect::default(),
        DialectName::Platform => hornbeam_platform::controller_dialect(),
    };
    hornbeam_controller::run(&args.settings, dialect).map_err(|e| e.to_string())
}
