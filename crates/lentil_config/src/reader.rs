//! Reads typed values from a TOML tree and collects all faults.

use std::{borrow::Cow, ops, str};

use lentil_types::UnitRate;
use toml::{Spanned, de};

use crate::{Fault, FaultKind, Faults, reference};

/// Byte range of a value in the text.
pub(crate) type Span = ops::Range<usize>;

/// A value and its position in the text.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) span: Span,
}

/// Collects the faults of a text.
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

    /// Text of a span.
    pub(crate) fn source(&self, span: &Span) -> String {
        self.text.get(span.clone()).unwrap_or_default().to_owned()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// All faults, in text order.
    pub(crate) fn into_faults(mut self) -> Faults {
        self.faults.sort_by_key(|(start, _)| *start);
        Faults(self.faults.into_iter().map(|(_, fault)| fault).collect())
    }
}

/// Line and column, both from 1, of a byte offset in a text.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    (line, before[line_start..].chars().count() + 1)
}

/// A TOML table from which keys are removed as they are read.
pub(crate) struct Fields<'t> {
    keys: &'static reference::TableKeys,
    span: Span,
    pairs: Vec<(Spanned<Cow<'t, str>>, Spanned<de::DeValue<'t>>)>,
}

impl<'t> Fields<'t> {
    /// Reports the table's unknown keys as faults.
    pub(crate) fn new(
        report: &mut Report<'t>,
        keys: &'static reference::TableKeys,
        span: Span,
        table: de::DeTable<'t>,
    ) -> Self {
        let mut pairs = Vec::new();
        for (name, value) in table {
            if keys
                .keys
                .iter()
                .any(|key| key.name == name.get_ref().as_ref())
            {
                pairs.push((name, value));
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
        Self { keys, span, pairs }
    }

    /// Position of the table in the text.
    pub(crate) fn span(&self) -> &Span {
        &self.span
    }

    /// Whether the table has this key and it has not been read yet.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.pairs.iter().any(|(key, _)| key.get_ref() == name)
    }

    /// Reads a required value.
    pub(crate) fn required<T: str::FromStr>(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Option<Located<T>> {
        let value = self.take_required(report, name)?;
        self.parse(report, name, &value)
    }

    /// Reads an optional value.
    pub(crate) fn optional<T: str::FromStr>(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Option<Located<T>> {
        let value = self.take(name)?;
        self.parse(report, name, &value)
    }

    /// Reads a required whole number in `range`.
    pub(crate) fn number(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
        range: ops::RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
        let number = self.required::<u32>(report, name)?;
        self.in_range(report, name, number, range)
    }

    /// Reads an optional whole number in `range`.
    pub(crate) fn optional_number(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
        range: ops::RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
        let number = self.optional::<u32>(report, name)?;
        self.in_range(report, name, number, range)
    }

    /// Reads a required rate, a whole number or one with a fraction.
    pub(crate) fn rate(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Option<Located<UnitRate>> {
        let value = self.take_required(report, name)?;
        match value.get_ref() {
            de::DeValue::Float(number) => {
                self.parse_text(report, name, value.span(), number.as_str())
            }
            _ => self.parse(report, name, &value),
        }
    }

    /// Reads an optional array of values. Invalid values are left out.
    pub(crate) fn values<T: str::FromStr>(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Vec<Located<T>> {
        let items = self.items(report, name);
        items
            .iter()
            .filter_map(|item| self.parse(report, name, item))
            .collect()
    }

    /// Reads an optional array of tables.
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

    /// Reads an optional table.
    pub(crate) fn table(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
        keys: &'static reference::TableKeys,
    ) -> Option<Fields<'t>> {
        let value = self.take(name)?;
        let span = value.span();
        match value.into_inner() {
            de::DeValue::Table(table) => Some(Fields::new(report, keys, span, table)),
            other => {
                self.bad_value(report, name, &span, other.type_str());
                None
            }
        }
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
        let index = self
            .pairs
            .iter()
            .position(|(key, _)| key.get_ref().as_ref() == name)?;
        Some(self.pairs.remove(index).1)
    }

    fn take_required(
        &mut self,
        report: &mut Report<'t>,
        name: &'static str,
    ) -> Option<Spanned<de::DeValue<'t>>> {
        let value = self.take(name);
        if value.is_none() {
            let found = format!("no {name} in {}", self.keys.title);
            report.add(&self.span, FaultKind::MissingKey, found, self.allowed(name));
        }
        value
    }

    fn parse<T: str::FromStr>(
        &self,
        report: &mut Report<'t>,
        name: &str,
        value: &Spanned<de::DeValue<'t>>,
    ) -> Option<Located<T>> {
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
        self.parse_text(report, name, span, &text)
    }

    fn parse_text<T: str::FromStr>(
        &self,
        report: &mut Report<'t>,
        name: &str,
        span: Span,
        text: &str,
    ) -> Option<Located<T>> {
        if let Ok(value) = text.parse() {
            return Some(Located { value, span });
        }
        let found = report.source(&span);
        self.bad_value(report, name, &span, &found);
        None
    }

    fn in_range(
        &self,
        report: &mut Report<'t>,
        name: &str,
        number: Located<u32>,
        range: ops::RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
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
