//! Generated messages about documents to checked ones and back.

use std::time;

use lentil_policy::{
    config_sync::{Doc, Edit, KnownVersion, Reply, Update, UpdateBody},
    store::ObjectVersion,
};
use lentil_types::{BootId, RunnerState};

use crate::{
    ConvertError,
    convert::{micros, small, unknown},
    generated,
    message::{Sync, Synced},
};

pub(crate) fn sync_out(sync: &Sync) -> generated::Sync {
    generated::Sync {
        known: known_out(&sync.known),
        wait_us: micros(sync.wait),
    }
}

pub(crate) fn sync_in(sync: &generated::Sync) -> Result<Sync, ConvertError> {
    Ok(Sync {
        known: known_in(&sync.known)?,
        wait: time::Duration::from_micros(sync.wait_us),
    })
}

pub(crate) fn synced_out(synced: Synced) -> generated::Synced {
    let Reply { updates, age } = synced.reply;
    generated::Synced {
        boot: synced.boot.0,
        state: synced.state as u32,
        known: known_out(&synced.known),
        updates: updates.into_iter().map(update_out).collect(),
        confirmed: age.is_some(),
        age_us: age.map_or(0, micros),
    }
}

pub(crate) fn synced_in(synced: generated::Synced) -> Result<Synced, ConvertError> {
    let state = RunnerState::from_repr(small(synced.state));
    let updates = synced.updates.into_iter().map(update_in);
    let age = time::Duration::from_micros(synced.age_us);
    Ok(Synced {
        boot: BootId(synced.boot),
        state: unknown(state, "runner state", synced.state)?,
        known: known_in(&synced.known)?,
        reply: Reply {
            updates: updates.collect::<Result<_, _>>()?,
            age: synced.confirmed.then_some(age),
        },
    })
}

fn known_out(known: &[KnownVersion]) -> Vec<generated::KnownDoc> {
    let out = |known: &KnownVersion| generated::KnownDoc {
        doc: known.doc as u32,
        version: known.version.0,
    };
    known.iter().map(out).collect()
}

fn known_in(known: &[generated::KnownDoc]) -> Result<Vec<KnownVersion>, ConvertError> {
    let checked = |known: &generated::KnownDoc| {
        Ok(KnownVersion {
            doc: doc_in(known.doc)?,
            version: ObjectVersion(known.version),
        })
    };
    known.iter().map(checked).collect()
}

fn doc_in(doc: u32) -> Result<Doc, ConvertError> {
    unknown(Doc::from_repr(small(doc)), "document", doc)
}

fn update_out(update: Update) -> generated::DocUpdate {
    let (base, whole, edits) = match update.body {
        UpdateBody::Full(whole) => (0, whole, Vec::new()),
        UpdateBody::Edits { base, edits } => (base.0, Vec::new(), edits),
    };
    generated::DocUpdate {
        doc: update.doc as u32,
        version: update.version.0,
        base,
        whole,
        edits: edits.into_iter().map(edit_out).collect(),
    }
}

fn update_in(update: generated::DocUpdate) -> Result<Update, ConvertError> {
    let body = match update.base {
        0 => UpdateBody::Full(update.whole),
        base => UpdateBody::Edits {
            base: ObjectVersion(base),
            edits: update.edits.into_iter().map(edit_in).collect(),
        },
    };
    Ok(Update {
        doc: doc_in(update.doc)?,
        version: ObjectVersion(update.version),
        body,
    })
}

fn edit_out(edit: Edit) -> generated::DocEdit {
    generated::DocEdit {
        front: edit.prefix_len as u64,
        back: edit.suffix_len as u64,
        insert: edit.insert,
        digest: edit.digest,
    }
}

fn edit_in(edit: generated::DocEdit) -> Edit {
    // A span that does not fit this machine does not fit the document either.
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    Edit {
        prefix_len: size(edit.front),
        suffix_len: size(edit.back),
        insert: edit.insert,
        digest: edit.digest,
    }
}
