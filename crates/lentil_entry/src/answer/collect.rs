//! Assembles the chunks of an answer into one object.

use lentil_policy::protocol;
use lentil_types::{RequestId, Table};
use serde_json::{Map, Value, map::Entry};

use crate::{check, openai};

/// Fields that the entry sets itself instead of taking them from a chunk.
const OVERRIDDEN_KEYS: [&str; 5] = ["created", "id", "model", "object", "usage"];
/// Keys whose value a later chunk replaces instead of extending it.
const REPLACED_KEYS: [&str; 5] = ["finish_reason", "id", "index", "role", "type"];

/// Assembles the chunks of an answer.
#[derive(Debug)]
pub(crate) struct Collector {
    choices: Table<u64, Map<String, Value>>,
    rest: Map<String, Value>,
}

impl Collector {
    pub(crate) fn new() -> Self {
        Self {
            choices: Table::new(),
            rest: Map::new(),
        }
    }

    /// Adds a chunk. Data that is not a chunk is ignored.
    pub(crate) fn push(&mut self, data: &[u8]) {
        let Ok(chunk) = serde_json::from_slice::<openai::Chunk>(data) else {
            return;
        };
        let rest = chunk.rest.into_iter();
        self.rest
            .extend(rest.filter(|(key, _)| !OVERRIDDEN_KEYS.contains(&key.as_str())));
        for choice in chunk.choices {
            let index = choice.get("index").and_then(Value::as_u64).unwrap_or(0);
            merge(self.choices.get_or_insert_with(index, Map::new), choice);
        }
    }

    pub(crate) fn finish(
        self,
        kind: check::CompletionKind,
        request: RequestId,
        created: u64,
        model: String,
        usage: protocol::Usage,
    ) -> openai::Completion {
        let (id, object) = match kind {
            check::CompletionKind::Chat => (format!("chatcmpl-{request}"), "chat.completion"),
            check::CompletionKind::Text => (format!("cmpl-{request}"), "text_completion"),
        };
        let choices = self.choices.values().cloned();
        let choices = match kind {
            check::CompletionKind::Chat => choices.map(with_message).collect(),
            check::CompletionKind::Text => choices.collect(),
        };
        openai::Completion {
            id,
            object,
            created,
            model,
            choices,
            usage: usage.into(),
            rest: self.rest,
        }
    }
}

/// Turns the assembled delta of a choice into its message.
fn with_message(mut choice: Map<String, Value>) -> Map<String, Value> {
    let delta = choice.remove("delta");
    let mut message = match delta {
        Some(Value::Object(delta)) => delta,
        _ => Map::new(),
    };
    message.entry("role").or_insert_with(|| "assistant".into());
    message.entry("content").or_insert(Value::Null);
    if let Some(Value::Array(calls)) = message.get_mut("tool_calls") {
        for call in calls.iter_mut().filter_map(Value::as_object_mut) {
            call.remove("index");
        }
    }
    choice.insert("message".to_owned(), message.into());
    choice
}

/// Merges a chunk into the chunks before it: strings and lists are extended,
/// objects merged key by key, and list items with an `index` by index.
fn merge(whole: &mut Map<String, Value>, update: Map<String, Value>) {
    for (key, value) in update {
        let is_replaced = REPLACED_KEYS.contains(&key.as_str());
        match whole.entry(key) {
            Entry::Vacant(entry) => drop(entry.insert(value)),
            Entry::Occupied(mut entry) if is_replaced => drop(entry.insert(value)),
            Entry::Occupied(mut entry) => merge_value(entry.get_mut(), value),
        }
    }
}

fn merge_value(whole: &mut Value, update: Value) {
    match (whole, update) {
        (_, Value::Null) => {}
        (Value::String(whole), Value::String(update)) => whole.push_str(&update),
        (Value::Object(whole), Value::Object(update)) => merge(whole, update),
        (Value::Array(whole), Value::Array(update)) => merge_list(whole, update),
        (whole, update) => *whole = update,
    }
}

fn merge_list(whole: &mut Vec<Value>, update: Vec<Value>) {
    for item in update {
        let index = item.get("index").cloned();
        let has_same_index =
            |other: &&mut Value| index.is_some() && other.get("index") == index.as_ref();
        match whole.iter_mut().find(has_same_index) {
            Some(other) => merge_value(other, item),
            None => whole.push(item),
        }
    }
}
