//! Which jobs wait, and in what order they are served.

pub mod dependencies;
pub mod fair_share;
pub mod order;
