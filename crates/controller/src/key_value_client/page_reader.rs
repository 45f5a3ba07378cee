//! Reads all key-value pairs below a prefix one page at a time, so that a node never holds more than
//! a page of them.

use walnutlug_scheduler::protocol::key_value::{KeyValue, Page};
use walnutlug_scheduler::storage::revision::Revision;

use super::StoreRequest;
use super::{decode_body, unexpected_status, KeyValueClient, KeyValueError, RequestClass};

/// Position in a listing.
pub(crate) struct PageReader<'a> {
    client: &'a KeyValueClient,
    class: RequestClass,
    prefix: String,
    /// Last key of the previous page.
    last_key: Option<String>,
    first_revision: Option<Revision>,
    is_finished: bool,
}

impl<'a> PageReader<'a> {
    pub(super) fn new(
        client: &'a KeyValueClient,
        class: RequestClass,
        prefix: &str,
    ) -> PageReader<'a> {
        PageReader {
            client,
            class,
            prefix: prefix.to_owned(),
            last_key: None,
            first_revision: None,
            is_finished: false,
        }
    }

    /// Reads the next page, or returns `None` after the last one.
    ///
    /// # Errors
    ///
    /// If the page can't be read. The call may be repeated; it continues with the same page.
    pub(crate) async fn next_page(&mut self) -> Result<Option<Vec<KeyValue>>, KeyValueError> {
        if self.is_finished {
            return Ok(None);
        }
        let request =
            StoreRequest::List { prefix: self.prefix.clone(), from: self.last_key.clone() };
        let response = self.client.send(self.class, &request, b"").await?;
        if response.status != 200 {
            return Err(unexpected_status(request, &response));
        }
        let page: Page = decode_body(request, &response)?;
        self.first_revision.get_or_insert(page.store_revision);
        self.last_key = page.key_values.last().map(|last| last.key.clone());
        self.is_finished = !page.more || page.key_values.is_empty();
        Ok(Some(page.key_values))
    }

    /// Returns the revision from which to watch the prefix. It is the revision of the first page, so
    /// that a watch includes all changes made while later pages were read.
    pub(crate) fn store_revision(&self) -> Revision {
        self.first_revision.unwrap_or(Revision::NONE)
    }
}
