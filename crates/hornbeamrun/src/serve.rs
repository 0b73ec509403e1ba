//! Runs an instance until it receives a stop signal; checks settings files.

use hornbeam_events::outln;
use hornbeam_node::{Node, logging};
use hornbeam_settings::Settings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::args::{CheckArgs, ServeArgs};

/// Checks a settings file and prints a summary of its instance.
pub fn check(args: &CheckArgs) -> Result<(), String> {
    let settings = Settings::read(&args.settings).map_err(|e| e.to_string())?;
    outln!(
        "{}: instance {} of zone {}, {} peers, {} voters: ok",
        args.settings.display(),
        settings.instance,
        settings.zone,
        settings.peers.len(),
        settings.voters.len()
    );
    Ok(())
}

/// Runs an instance until SIGTERM, SIGINT or a drain request.
pub fn run(args: &ServeArgs) -> Result<(), String> {
    let settings = Settings::read(&args.settings).map_err(|e| e.to_string())?;
    logging::start(settings.log_file.as_deref(), log::LevelFilter::Info)
        .map_err(|e| format!("the log file cannot be opened ({e}): check log_file"))?;
    let runtime = crate::runtime(settings.traffic_threads)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), String> {
    let mut sigterm = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let node = Node::start(settings).await.map_err(|e| e.to_string())?;
    let app = node.app().clone();
    tokio::select! {
        _ = sigterm.recv() => {}
        _ = sigint.recv() => {}
        () = app.stop.notified() => {}
    }
    drop(app);
    let (tx, mut repeated_signals) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = sigterm.recv() => {}
                _ = sigint.recv() => {}
            }
            let _ = tx.send(());
        }
    });
    node.shut_down(&mut repeated_signals).await;
    Ok(())
}
