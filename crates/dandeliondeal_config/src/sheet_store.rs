//! Reads revisions of the sheet from the platform.

use dandeliondeal_types::{Clock, ObjectStore};

use crate::SheetRows;
use crate::accept_error::AcceptError;
use crate::content_hash::content_hash;
use crate::sheet_chunk::join_chunk;
use crate::sheet_manifest::{HEAD_NAME, SheetHead, SheetManifest, StoredSheet, content_name};
use crate::store_session::StoreSession;

impl<Store, Time> StoreSession<'_, Store, Time>
where
    Store: ObjectStore,
    Time: Clock,
{
    /// Reads the head and the revision to which it points.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or an object is damaged.
    pub async fn load_sheet(&self) -> Result<StoredSheet, AcceptError> {
        let (version, head) = self.read_json::<SheetHead>(HEAD_NAME).await?;
        if head.stamp.manifest.is_empty() {
            return Ok(StoredSheet {
                version,
                ..StoredSheet::default()
            });
        }
        let manifest = self.load_manifest(&head.stamp.manifest).await?;
        Ok(StoredSheet {
            rows: self.load_rows(&manifest).await?,
            head,
            version,
            manifest: Some(manifest),
        })
    }

    /// Reads a manifest by its hash.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or the manifest is missing or damaged.
    pub async fn load_manifest(&self, hash: &str) -> Result<SheetManifest, AcceptError> {
        let body = self.load_content(hash).await?;
        serde_json::from_str(&body)
            .map_err(|error| AcceptError::damaged(&content_name(hash), &error.to_string()))
    }

    /// Reads the chunks of a manifest.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or a chunk is missing or damaged.
    pub async fn load_rows(&self, manifest: &SheetManifest) -> Result<SheetRows, AcceptError> {
        let mut rows = SheetRows::default();
        for hash in &manifest.chunks {
            let body = self.load_content(hash).await?;
            join_chunk(&mut rows, &body)
                .map_err(|error| AcceptError::damaged(&content_name(hash), &error.to_string()))?;
        }
        Ok(rows)
    }

    /// Reads the manifests of the latest revisions, the newest first, at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or a manifest is damaged.
    pub async fn load_history(&self, limit: usize) -> Result<Vec<SheetManifest>, AcceptError> {
        let (_, head) = self.read_json::<SheetHead>(HEAD_NAME).await?;
        let mut history = Vec::new();
        let mut next = head.stamp.manifest;
        while !next.is_empty() && history.len() < limit {
            let manifest = self.load_manifest(&next).await?;
            next = manifest.parent.clone();
            history.push(manifest);
        }
        Ok(history)
    }

    async fn load_content(&self, hash: &str) -> Result<std::sync::Arc<str>, AcceptError> {
        let name = content_name(hash);
        let value = self.read(&name).await?;
        let value = value.ok_or_else(|| AcceptError::damaged(&name, "the object is missing"))?;
        if &*content_hash(&value.body) != hash {
            return Err(AcceptError::damaged(
                &name,
                "its content does not match its hash",
            ));
        }
        Ok(value.body)
    }
}
