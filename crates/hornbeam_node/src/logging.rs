//! Setup of the process log.

use std::path::Path;

/// Starts logging to `file`, or to standard error if `file` is `None`. Later calls in the same
/// process have no effect.
///
/// # Errors
///
/// Returns an error if the file cannot be opened.
pub fn start(file: Option<&Path>, level: log::LevelFilter) -> std::io::Result<()> {
    let dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "{} {:5} {} {message}",
                crate::clock::unix_ms(),
                record.level(),
                record.target(),
            ));
        })
        .level(log::LevelFilter::Warn)
        .level_for("event", level)
        .level_for("hornbeam_node", level);
    let dispatch = match file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(std::io::stderr()),
    };
    // Fails if a logger is installed already: a second instance in the same process then shares
    // the output of the first.
    let _ = dispatch.apply();
    Ok(())
}
