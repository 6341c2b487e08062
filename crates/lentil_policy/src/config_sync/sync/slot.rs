//! One document and the watch on it.

use std::{collections::VecDeque, time};

use lentil_types::Instant;

use crate::{
    config_sync::{Document, Edit, KnownVersion, Update, UpdateBody},
    store,
};

/// Versions back for which a peer gets edits instead of the whole document.
const HISTORY: usize = 16;

/// A call to the store that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) since: Instant,
    pub(super) wait: time::Duration,
}

/// One document and the watch on it.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub(super) current: Option<Document>,
    /// Highest version heard of before the first is put in force.
    pub(super) first: Option<Document>,
    /// Edits that led here, each with the version that it starts from.
    pub(super) history: VecDeque<(store::ObjectVersion, Edit)>,
    pub(super) watch: Option<Watch>,
    pub(super) retry: Instant,
    /// When the store last said that nothing newer exists.
    pub(super) confirmed: Option<Instant>,
}

impl Watch {
    /// When the store is known to have looked. One that waited to the end and
    /// found nothing looked then; otherwise the beginning is certain.
    pub(super) fn confirmed(self, waited: bool) -> Instant {
        if waited {
            self.since + self.wait
        } else {
            self.since
        }
    }
}

impl Slot {
    pub(super) fn version(&self) -> store::ObjectVersion {
        let current = self.current.as_ref();
        current.map(|document| document.version).unwrap_or_default()
    }

    /// Puts a document in force if it is newer. Says whether it was.
    pub(super) fn put(&mut self, document: &Document) -> bool {
        let from = self.version();
        if document.version <= from {
            return false;
        }
        if let Some(old) = &self.current {
            let edit = Edit::between(&old.value, &document.value);
            self.history.push_back((from, edit));
            if self.history.len() > HISTORY {
                self.history.pop_front();
            }
        }
        self.current = Some(document.clone());
        true
    }

    /// What a peer with `known` lacks.
    pub(super) fn update(&self, known: &KnownVersion) -> Option<Update> {
        let current = self.current.as_ref()?;
        if current.version <= known.version {
            return None;
        }
        let body = self.edits_since(known.version);
        Some(Update {
            doc: known.doc,
            version: current.version,
            body: body.unwrap_or_else(|| UpdateBody::Full(current.value.to_vec())),
        })
    }

    /// The edits since a version, when they are known and smaller than the
    /// whole.
    pub(super) fn edits_since(&self, base: store::ObjectVersion) -> Option<UpdateBody> {
        let size = self.current.as_ref()?.value.len();
        let start = self.history.iter().position(|(from, _)| *from == base)?;
        let edits = self
            .history
            .iter()
            .skip(start)
            .map(|(_, edit)| edit.clone());
        let edits: Vec<_> = edits.collect();
        let changed: usize = edits.iter().map(|edit| edit.insert.len()).sum();
        (changed < size).then_some(UpdateBody::Edits { base, edits })
    }

    /// The whole document that an update brings, or `None` when it does not fit.
    pub(super) fn resolve(&self, body: UpdateBody) -> Option<Vec<u8>> {
        match body {
            UpdateBody::Full(value) => Some(value),
            UpdateBody::Edits { base, edits } => {
                let current = self
                    .current
                    .as_ref()
                    .filter(|current| current.version == base)?;
                let apply = |value: Vec<u8>, edit: &Edit| edit.apply(&value).ok();
                edits.iter().try_fold(current.value.to_vec(), apply)
            }
        }
    }
}
