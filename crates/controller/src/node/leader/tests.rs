use super::*;
use crate::user_api::fake_cluster::FakeStore;

#[tokio::test(start_paused = true)]
async fn types_that_came_while_the_records_were_read_reach_the_scheduler() {
    let node = FakeStore::default().node();
    let (site, tunables) = (node.site.clone(), node.tunables.clone());
    install(&node, Scheduler::new(site, tunables, Term(7), Vec::new(), node.now()));
    let scheduler = node.scheduler.borrow();
    assert_eq!(scheduler.as_ref().map(|s| s.cluster.machine_types.len()), Some(1));
}
