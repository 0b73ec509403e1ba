//! Output of commands.
//!
//! A reader that has seen enough closes the pipe; the command then ends quietly.

use std::fmt::Arguments;
use std::io::{ErrorKind, Write};

/// Exit code of a command whose output cannot be written.
const FAILED: i32 = 1;

/// Writes to standard output; ends the process if nobody reads it.
pub fn write(text: Arguments<'_>) {
    let mut out = std::io::stdout().lock();
    let Err(e) = out.write_fmt(text).and_then(|()| out.flush()) else { return };
    if e.kind() == ErrorKind::BrokenPipe {
        std::process::exit(0);
    }
    eprintln!("the output cannot be written ({e}): check where it goes");
    std::process::exit(FAILED);
}

/// Prints like `print!`, and ends the command quietly on a closed pipe.
#[macro_export]
macro_rules! out {
    ($($arg:tt)*) => { $crate::output::write(format_args!($($arg)*)) };
}

/// Prints like `println!`, and ends the command quietly on a closed pipe.
#[macro_export]
macro_rules! outln {
    () => { $crate::out!("\n") };
    ($($arg:tt)*) => { $crate::out!("{}\n", format_args!($($arg)*)) };
}
