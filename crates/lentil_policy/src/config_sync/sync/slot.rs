//! State of one document at a process.

use std::{collections::VecDeque, time};

use lentil_types::Instant;

use crate::{
    config_sync::{Document, Edit, KnownVersion, Update, UpdateBody},
    store,
};

/// Versions that a peer may be behind and still get edits.
const MAX_EDITS: usize = 16;

/// A read or watch at the store that is in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) started_at: Instant,
    pub(super) wait: time::Duration,
}

/// One document, its edits, and the watch on it.
#[derive(Clone, Debug, Default)]
pub(super) struct Slot {
    pub(super) current: Option<Document>,
    /// Highest version received during startup, not yet in force.
    pub(super) candidate: Option<Document>,
    /// Edits up to `current`, each with its base version.
    pub(super) history: VecDeque<(store::ObjectVersion, Edit)>,
    pub(super) watch: Option<Watch>,
    pub(super) retry_at: Instant,
    /// When the store last confirmed that nothing newer exists.
    pub(super) confirmed_at: Option<Instant>,
}

impl Watch {
    /// When the store is known to have checked: at the end of a wait that found
    /// nothing, otherwise at the start.
    pub(super) fn confirmed_at(self, is_waited_out: bool) -> Instant {
        if is_waited_out {
            self.started_at + self.wait
        } else {
            self.started_at
        }
    }
}

impl Slot {
    pub(super) fn version(&self) -> store::ObjectVersion {
        let current = self.current.as_ref();
        current.map(|document| document.version).unwrap_or_default()
    }

    /// Puts a document in force if it is newer. Returns whether it was.
    pub(super) fn replace(&mut self, document: &Document) -> bool {
        let from = self.version();
        if document.version <= from {
            return false;
        }
        if let Some(old) = &self.current {
            let edit = Edit::between(&old.value, &document.value);
            self.history.push_back((from, edit));
            if self.history.len() > MAX_EDITS {
                self.history.pop_front();
            }
        }
        self.current = Some(document.clone());
        true
    }

    /// The update for a peer that has `known`; `None` if it is up to date.
    pub(super) fn update_for(&self, known: &KnownVersion) -> Option<Update> {
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

    /// The edits since a version, if known and smaller than the full document.
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

    /// The full document after an update; `None` if it does not fit.
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
