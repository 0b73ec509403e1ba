//! Reports the use of the teams' quotas to the control thread.

use std::rc::Rc;

use hornbeam_model::TeamUsage;
use tokio::sync::mpsc;

use crate::core::Core;

/// Sends the usage that has changed at intervals; sooner while a team is near its quota.
pub async fn send_team_usage(core: Rc<Core>, tx: mpsc::UnboundedSender<Vec<TeamUsage>>) {
    loop {
        let interval = core.engine.borrow().team_usage_interval();
        tokio::time::sleep(interval).await;
        let now = core.clock.now();
        let teams = core.engine.borrow_mut().take_team_usage(now);
        core.metrics.limited_teams.set(core.engine.borrow().limited_teams(now) as i64);
        if !teams.is_empty() && tx.send(teams).is_err() {
            return;
        }
    }
}
