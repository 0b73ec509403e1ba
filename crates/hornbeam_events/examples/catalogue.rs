//! Prints the table of event kinds for docs/EVENTS.md.

fn main() {
    print!("{}", hornbeam_events::catalogue::markdown());
}
