//! Requests to the store as they are sent, but for their bodies.

use std::fmt;
use std::time::Duration;

use walnutlug_scheduler::storage::revision::Revision;

/// How long an answer is waited for, where nothing else is said.
const TIMEOUT: Duration = Duration::from_millis(900);
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// A renewal has to be tried again before the lease expires.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(600);
/// How much longer than asked for a watch is waited for.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// One request, as errors name it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreRequest {
    /// One key's value and revision.
    Get { key: String },
    /// A page of the keys below a prefix, after the key `from`.
    List { prefix: String, from: Option<String> },
    /// A transaction of so many operations.
    Commit { operations: usize },
    /// A new lease.
    GrantLease,
    /// The lease's full time again.
    RenewLease { lease: u64 },
    /// The end of the lease, and of the keys that were put under it.
    RevokeLease { lease: u64 },
    /// The changes below a prefix after a revision, waited for as long as `hold`.
    Watch { prefix: String, from: Revision, hold: Duration },
}

impl StoreRequest {
    pub(super) fn method(&self) -> &'static str {
        match self {
            StoreRequest::Get { .. } | StoreRequest::List { .. } | StoreRequest::Watch { .. } => {
                "GET"
            }
            StoreRequest::Commit { .. }
            | StoreRequest::GrantLease
            | StoreRequest::RenewLease { .. } => "POST",
            StoreRequest::RevokeLease { .. } => "DELETE",
        }
    }

    pub(super) fn path(&self) -> String {
        match self {
            StoreRequest::Get { key } => format!("/keys/{key}"),
            StoreRequest::List { prefix, from } => {
                let from = from.as_ref().map(|key| format!("&from={key}")).unwrap_or_default();
                format!("/keys?starts={prefix}{from}&most=500")
            }
            StoreRequest::Commit { .. } => "/multi".to_owned(),
            StoreRequest::GrantLease => "/leases".to_owned(),
            StoreRequest::RenewLease { lease } => format!("/leases/{lease}/touch"),
            StoreRequest::RevokeLease { lease } => format!("/leases/{lease}"),
            StoreRequest::Watch { prefix, from, hold } => {
                format!("/watch?starts={prefix}&from={from}&holdMs={}", hold.as_millis())
            }
        }
    }

    pub(super) fn timeout(&self) -> Duration {
        match self {
            StoreRequest::List { .. } => LIST_TIMEOUT,
            StoreRequest::RenewLease { .. } => RENEWAL_TIMEOUT,
            StoreRequest::Watch { hold, .. } => *hold + WATCH_GRACE,
            StoreRequest::Get { .. }
            | StoreRequest::Commit { .. }
            | StoreRequest::GrantLease
            | StoreRequest::RevokeLease { .. } => TIMEOUT,
        }
    }

    /// Operations that count against the write rate.
    pub(super) fn writes(&self) -> usize {
        match self {
            StoreRequest::Commit { operations } => *operations,
            _ => 0,
        }
    }
}

impl fmt::Display for StoreRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreRequest::Get { key } => write!(f, "get {key}"),
            StoreRequest::List { prefix, .. } => write!(f, "list {prefix}"),
            StoreRequest::Commit { operations } => {
                write!(f, "transaction of {operations} operations")
            }
            StoreRequest::GrantLease => write!(f, "grant a lease"),
            StoreRequest::RenewLease { lease } => write!(f, "renew lease {lease}"),
            StoreRequest::RevokeLease { lease } => write!(f, "revoke lease {lease}"),
            StoreRequest::Watch { prefix, from, .. } => {
                write!(f, "watch {prefix} from revision {from}")
            }
        }
    }
}
