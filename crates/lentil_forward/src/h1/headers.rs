//! Header fields of a message.

use bytes::{BufMut as _, Bytes, BytesMut};
use compact_str::CompactString;

/// Header fields in message order. Names are case-insensitive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(CompactString, Bytes)>,
}

impl Headers {
    /// Appends a field, also if one of that name exists.
    pub fn push(&mut self, name: &str, value: impl Into<Bytes>) {
        self.fields.push((name.into(), value.into()));
    }

    /// The first value of a field.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let is_named = |(n, _): &&(CompactString, Bytes)| n.eq_ignore_ascii_case(name);
        self.fields
            .iter()
            .find(is_named)
            .map(|(_, value)| value.as_ref())
    }

    /// The first value of a field, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// All values of a field.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let is_named = move |(n, _): &&(CompactString, Bytes)| n.eq_ignore_ascii_case(name);
        self.fields
            .iter()
            .filter(is_named)
            .map(|(_, value)| value.as_ref())
    }

    /// Whether a comma-separated field has this element, ignoring case.
    pub fn lists(&self, name: &str, element: &str) -> bool {
        let elements = self.all(name).flat_map(|value| value.split(|&b| b == b','));
        let mut texts = elements.filter_map(|element| std::str::from_utf8(element).ok());
        texts.any(|text| text.trim().eq_ignore_ascii_case(element))
    }

    /// The fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Bytes)> {
        self.fields
            .iter()
            .map(|(name, value)| (name.as_str(), value))
    }

    /// Appends the fields to `out` as lines of a head.
    pub fn write(&self, out: &mut BytesMut) {
        for (name, value) in self.iter() {
            out.put_slice(name.as_bytes());
            out.put_slice(b": ");
            out.put_slice(value);
            out.put_slice(b"\r\n");
        }
    }
}
