use super::*;
use crate::user_api::fake_cluster::FakeStore;

#[tokio::test(start_paused = true)]
async fn machine_types_read_during_loading_reach_the_installed_scheduler() {
    let node = FakeStore::default().node();
    let (site, tunables) = (node.site.clone(), node.tunables.clone());
    install_scheduler(&node, Scheduler::new(site, tunables, Term(7), Vec::new(), node.now()));
    let scheduler = node.scheduler.borrow();
    assert_eq!(scheduler.as_ref().map(|scheduler| scheduler.cluster.machine_types.len()), Some(1));
}
