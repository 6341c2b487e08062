//! Conversion between generated and validated messages about documents.

use std::time;

use lentil_policy::{
    config_sync::{Doc, Edit, KnownVersion, Reply, Update, UpdateBody},
    store::ObjectVersion,
};
use lentil_types::{BootId, RunnerState};

use crate::{
    ConvertError,
    convert::{micros, require_known, saturate_u8},
    generated,
    message::{Sync, Synced},
};

pub(crate) fn sync_to_wire(sync: &Sync) -> generated::Sync {
    generated::Sync {
        known: known_to_wire(&sync.known),
        wait_us: micros(sync.wait),
    }
}

pub(crate) fn sync_from_wire(sync: &generated::Sync) -> Result<Sync, ConvertError> {
    Ok(Sync {
        known: known_from_wire(&sync.known)?,
        wait: time::Duration::from_micros(sync.wait_us),
    })
}

pub(crate) fn synced_to_wire(synced: Synced) -> generated::Synced {
    let Reply { updates, age } = synced.reply;
    generated::Synced {
        boot: synced.boot.0,
        state: synced.state as u32,
        known: known_to_wire(&synced.known),
        updates: updates.into_iter().map(update_to_wire).collect(),
        confirmed: age.is_some(),
        age_us: age.map_or(0, micros),
    }
}

pub(crate) fn synced_from_wire(synced: generated::Synced) -> Result<Synced, ConvertError> {
    let state = RunnerState::from_repr(saturate_u8(synced.state));
    let updates = synced.updates.into_iter().map(update_from_wire);
    let age = time::Duration::from_micros(synced.age_us);
    Ok(Synced {
        boot: BootId(synced.boot),
        state: require_known(state, "runner state", synced.state)?,
        known: known_from_wire(&synced.known)?,
        reply: Reply {
            updates: updates.collect::<Result<_, _>>()?,
            age: synced.confirmed.then_some(age),
        },
    })
}

fn known_to_wire(known: &[KnownVersion]) -> Vec<generated::KnownDoc> {
    let to_wire = |known: &KnownVersion| generated::KnownDoc {
        doc: known.doc as u32,
        version: known.version.0,
    };
    known.iter().map(to_wire).collect()
}

fn known_from_wire(known: &[generated::KnownDoc]) -> Result<Vec<KnownVersion>, ConvertError> {
    let from_wire = |known: &generated::KnownDoc| {
        Ok(KnownVersion {
            doc: doc_from_wire(known.doc)?,
            version: ObjectVersion(known.version),
        })
    };
    known.iter().map(from_wire).collect()
}

fn doc_from_wire(doc: u32) -> Result<Doc, ConvertError> {
    require_known(Doc::from_repr(saturate_u8(doc)), "document", doc)
}

fn update_to_wire(update: Update) -> generated::DocUpdate {
    let (base, whole, edits) = match update.body {
        UpdateBody::Full(whole) => (0, whole, Vec::new()),
        UpdateBody::Edits { base, edits } => (base.0, Vec::new(), edits),
    };
    generated::DocUpdate {
        doc: update.doc as u32,
        version: update.version.0,
        base,
        whole,
        edits: edits.into_iter().map(edit_to_wire).collect(),
    }
}

fn update_from_wire(update: generated::DocUpdate) -> Result<Update, ConvertError> {
    let body = match update.base {
        0 => UpdateBody::Full(update.whole),
        base => UpdateBody::Edits {
            base: ObjectVersion(base),
            edits: update.edits.into_iter().map(edit_from_wire).collect(),
        },
    };
    Ok(Update {
        doc: doc_from_wire(update.doc)?,
        version: ObjectVersion(update.version),
        body,
    })
}

fn edit_to_wire(edit: Edit) -> generated::DocEdit {
    generated::DocEdit {
        front: edit.prefix_len as u64,
        back: edit.suffix_len as u64,
        insert: edit.insert,
        digest: edit.digest,
    }
}

fn edit_from_wire(edit: generated::DocEdit) -> Edit {
    // A length above usize::MAX cannot fit the document: applying the edit fails.
    let length = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    Edit {
        prefix_len: length(edit.front),
        suffix_len: length(edit.back),
        insert: edit.insert,
        digest: edit.digest,
    }
}
