//! Requests to the key-value store: method, path and timeout. The bodies are built by the client.

use std::fmt;
use std::time::Duration;

use walnutlug_scheduler::storage::revision::Revision;

/// Time limit for an answer, except for the requests below.
const TIMEOUT: Duration = Duration::from_millis(900);
/// Time limit for one page of a listing.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for renewing a lease: short enough to retry before the lease expires.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit for the answer to a watch, beyond the time that the store was asked to wait.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// A request to the store. Errors display it to identify what failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StoreRequest {
    /// Reads one key's value and revision.
    Get { key: String },
    /// Reads one page of the keys below a prefix, after the key `from`.
    List { prefix: String, from: Option<String> },
    /// Commits a transaction with this number of operations.
    Commit { operations: usize },
    /// Grants a new lease.
    GrantLease,
    /// Renews a lease for its full time to live.
    RenewLease { lease: u64 },
    /// Revokes a lease, which deletes the keys that were put under it.
    RevokeLease { lease: u64 },
    /// Waits up to `hold` for changes below a prefix after a revision.
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

    /// Returns the number of operations that count against the write rate.
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
