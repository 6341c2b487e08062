//! Reads typed values from a TOML tree and notes every fault on the way.

use std::{borrow::Cow, ops, str};

use toml::{Spanned, de};

use crate::{Fault, FaultKind, Faults, reference};

/// Bytes of a text that a value stands in.
pub(crate) type Span = ops::Range<usize>;

/// A value and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct At<T> {
    pub(crate) value: T,
    pub(crate) span: Span,
}

/// The faults found so far.
pub(crate) struct Report<'t> {
    text: &'t str,
    faults: Vec<(usize, Fault)>,
}

impl<'t> Report<'t> {
    pub(crate) fn new(text: &'t str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    pub(crate) fn add(
        &mut self,
        span: &Span,
        kind: FaultKind,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        let (line, column) = position(self.text, span.start);
        let (found, allowed) = (found.into(), allowed.into());
        self.faults.push((
            span.start,
            Fault {
                line,
                column,
                kind,
                found,
                allowed,
            },
        ));
    }

    /// The text at a span.
    pub(crate) fn source(&self, span: &Span) -> String {
        self.text.get(span.clone()).unwrap_or_default().to_owned()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Every fault, in the order of the text.
    pub(crate) fn into_faults(mut self) -> Faults {
        self.faults.sort_by_key(|(start, _)| *start);
        Faults(self.faults.into_iter().map(|(_, fault)| fault).collect())
    }
}

/// Line and column, from 1, of a byte of a text.
fn position(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    (line, before[line_start..].chars().count() + 1)
}

/// A table that is being read, key by key.
pub(crate) struct Fields<'t> {
    keys: &'static reference::TableKeys,
    span: Span,
    rows: Vec<(Spanned<Cow<'t, str>>, Spanned<de::DeValue<'t>>)>,
}

impl<'t> Fields<'t> {
    /// Begins to read a table. Unknown keys are faults.
    pub(crate) fn new(
        report: &mut Report<'t>,
        keys: &'static reference::TableKeys,
        span: Span,
        table: de::DeTable<'t>,
    ) -> Self {
        let mut rows = Vec::new();
        for (name, value) in table {
            if keys
                .keys
                .iter()
                .any(|key| key.name == name.get_ref().as_ref())
            {
                rows.push((name, value));
            } else {
                let allowed: Vec<_> = keys.keys.iter().map(|key| key.name).collect();
                let found = name.get_ref().to_string();
                report.add(
                    &name.span(),
                    FaultKind::UnknownKey,
                    found,
                    allowed.join(", "),
                );
            }
        }
        Self { keys, span, rows }
    }

    /// Where the table stands.
    pub(crate) fn span(&self) -> &Span {
        &self.span
    }

    /// A value that must be there.
    pub(crate) fn required<T: str::FromStr>(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Option<At<T>> {
        match self.take(name) {
            Some(value) => self.parse(report, name, &value),
            None => {
                let found = format!("no {name} in {}", self.keys.title);
                report.add(&self.span, FaultKind::MissingKey, found, self.allowed(name));
                None
            }
        }
    }

    /// A value that may be left out.
    pub(crate) fn optional<T: str::FromStr>(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Option<At<T>> {
        let value = self.take(name)?;
        self.parse(report, name, &value)
    }

    /// A whole number that must be there.
    pub(crate) fn number(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
        range: ops::RangeInclusive<u32>,
    ) -> Option<At<u32>> {
        let number = self.required::<u32>(report, name)?;
        self.in_range(report, name, number, range)
    }

    /// A whole number that may be left out.
    pub(crate) fn optional_number(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
        range: ops::RangeInclusive<u32>,
    ) -> Option<At<u32>> {
        let number = self.optional::<u32>(report, name)?;
        self.in_range(report, name, number, range)
    }

    /// An array of values.
    pub(crate) fn values<T: str::FromStr>(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Vec<At<T>> {
        let items = self.items(report, name);
        items
            .iter()
            .filter_map(|item| self.parse(report, name, item))
            .collect()
    }

    /// An array of tables.
    pub(crate) fn tables(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
        keys: &'static reference::TableKeys,
    ) -> Vec<Fields<'t>> {
        let mut tables = Vec::new();
        for item in self.items(report, name) {
            let span = item.span();
            match item.into_inner() {
                de::DeValue::Table(table) => tables.push(Fields::new(report, keys, span, table)),
                other => self.bad_value(report, name, &span, other.type_str()),
            }
        }
        tables
    }

    fn items(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Vec<Spanned<de::DeValue<'t>>> {
        let Some(value) = self.take(name) else {
            return Vec::new();
        };
        let span = value.span();
        match value.into_inner() {
            de::DeValue::Array(items) => items.into_iter().collect(),
            other => {
                self.bad_value(report, name, &span, other.type_str());
                Vec::new()
            }
        }
    }

    fn take(&mut self, name: &str) -> Option<Spanned<de::DeValue<'t>>> {
        let at = self
            .rows
            .iter()
            .position(|(key, _)| key.get_ref().as_ref() == name)?;
        Some(self.rows.remove(at).1)
    }

    fn parse<T: str::FromStr>(
        &self,
        report: &mut Report<'t>,
        name: &str,
        value: &Spanned<de::DeValue<'t>>,
    ) -> Option<At<T>> {
        let span = value.span();
        let text = match value.get_ref() {
            de::DeValue::String(text) => text.to_string(),
            de::DeValue::Integer(number) => number.as_str().to_owned(),
            de::DeValue::Boolean(value) => value.to_string(),
            other => {
                self.bad_value(report, name, &span, other.type_str());
                return None;
            }
        };
        if let Ok(value) = text.parse() {
            return Some(At { value, span });
        }
        let found = report.source(&span);
        self.bad_value(report, name, &span, &found);
        None
    }

    fn in_range(
        &self,
        report: &mut Report<'t>,
        name: &str,
        number: At<u32>,
        range: ops::RangeInclusive<u32>,
    ) -> Option<At<u32>> {
        if range.contains(&number.value) {
            return Some(number);
        }
        self.bad_value(report, name, &number.span, &number.value.to_string());
        None
    }

    fn bad_value(&self, report: &mut Report<'t>, name: &str, span: &Span, found: &str) {
        report.add(
            span,
            FaultKind::BadValue,
            format!("{name} = {found}"),
            self.allowed(name),
        );
    }

    fn allowed(&self, name: &str) -> String {
        let key = self.keys.keys.iter().find(|key| key.name == name);
        key.map(|key| key.value.to_owned()).unwrap_or_default()
    }
}
