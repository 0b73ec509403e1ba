//! Standard output of commands.
//!
//! A reader such as `head` closes the pipe before the output ends; the command then exits with code 0
//! and without an error message.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Exit code of a command that cannot write its output.
const WRITE_FAILED_EXIT_CODE: i32 = 1;

/// Writes to standard output. Exits the process with code 0 if the pipe is closed, and with code 1
/// after any other error.
pub fn write(text: Arguments<'_>) {
    let mut out = std::io::stdout().lock();
    let Err(e) = out.write_fmt(text).and_then(|()| out.flush()) else { return };
    if e.kind() == ErrorKind::BrokenPipe {
        std::process::exit(0);
    }
    eprintln!(
        "standard output cannot be written ({e}): check the file or terminal it is redirected to"
    );
    std::process::exit(WRITE_FAILED_EXIT_CODE);
}

/// Prints like `print!`, but exits with code 0 instead of panicking on a closed pipe.
#[macro_export]
macro_rules! out {
    ($($arg:tt)*) => { $crate::output::write(format_args!($($arg)*)) };
}

/// Prints like `println!`, but exits with code 0 instead of panicking on a closed pipe.
#[macro_export]
macro_rules! outln {
    () => { $crate::out!("\n") };
    ($($arg:tt)*) => { $crate::out!("{}\n", format_args!($($arg)*)) };
}
