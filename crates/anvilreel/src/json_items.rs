//! Reads a JSON document with a list whose items come from several writers.
//!
//! Failure: one item holds what no parser reads, such as half of a surrogate pair, a number out of range,
//! a control character, or it ends in the middle. A document that is parsed as a whole fails for it, and
//! all other items are lost with it. So each item is parsed by itself, and where one ends in the middle,
//! the next one that can be read follows.

use serde::Deserialize;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::Deserializer;
use snafu::{OptionExt, ResultExt, Snafu};

/// How many possible ends of a list are tried whose last item ends in the middle.
const MAX_ENDS_TRIED: usize = 256;

/// A document that can't be read.
#[derive(Debug, Snafu)]
pub enum JsonItemsError {
    /// It is no JSON object, or has no list of this name.
    #[snafu(display("no list {name:?} in a JSON object"))]
    NoList {
        /// The list.
        name: String,
    },
    /// It ends within the list, or what follows the list can't be read.
    #[snafu(display("the list {name:?} has no end"))]
    NoEnd {
        /// The list.
        name: String,
    },
    /// What the document has besides the list can't be read.
    #[snafu(display("what is beside the list can't be read: {source}"))]
    Beside {
        /// The cause.
        source: serde_json::Error,
    },
}

/// A document.
#[derive(Debug)]
pub struct JsonItems<T, M> {
    /// The items that can be read.
    pub items: Vec<T>,
    /// Number of items that can't be read; several in a row may count as one.
    pub unreadable: u32,
    /// The document with an empty list.
    pub beside: M,
}

/// Reads a document whose list has this name.
pub fn read<T, M>(text: &[u8], name: &str) -> Result<JsonItems<T, M>, JsonItemsError>
where
    T: DeserializeOwned,
    M: DeserializeOwned,
{
    let start = list_start(text, name).context(NoListSnafu { name })?;
    let list = List { text, start };
    let found = list
        .items(IfArray::Skip)
        .or_else(|| list.items(IfArray::Enter));
    let found: Found<T> = found.context(NoEndSnafu { name })?;
    let beside = serde_json::from_slice(&list.without_items(found.end)).context(BesideSnafu)?;
    Ok(JsonItems {
        items: found.items,
        unreadable: found.unreadable,
        beside,
    })
}

/// What to do with an item that is an array, and so can't be read.
///
/// Failure: the item is the beginning of an array. The items after it, and the end of the list, complete
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IfArray {
    /// It ends where the array ends.
    Skip,
    /// It may end in the middle.
    Enter,
}

/// The items of a list.
struct Found<T> {
    items: Vec<T>,
    unreadable: u32,
    /// Position of the bracket that ends the list.
    end: usize,
}

/// Position after the bracket that begins the list.
fn list_start(text: &[u8], name: &str) -> Option<usize> {
    let mut at = after(text, 0, b'{')?;
    loop {
        let (key, end) = parse_at::<String>(text, at)?;
        at = after(text, end, b':')?;
        if key == name {
            return after(text, at, b'[');
        }
        let (_, end) = parse_at::<IgnoredAny>(text, at)?;
        at = after(text, end, b',')?;
    }
}

/// The position after this byte, if it is the next one but for white space.
fn after(text: &[u8], at: usize, byte: u8) -> Option<usize> {
    let at = skip_space(text, at);
    (text.get(at) == Some(&byte)).then_some(at + 1)
}

fn skip_space(text: &[u8], at: usize) -> usize {
    let rest = text.get(at..).unwrap_or_default();
    let space = rest.iter().take_while(|byte| byte.is_ascii_whitespace());
    at + space.count()
}

/// The value that begins here, and the position after it.
fn parse_at<'a, T: Deserialize<'a>>(text: &'a [u8], at: usize) -> Option<(T, usize)> {
    let mut values = Deserializer::from_slice(text.get(at..)?).into_iter::<T>();
    let value = values.next()?.ok()?;
    Some((value, at + values.byte_offset()))
}

/// A list within its document.
struct List<'a> {
    text: &'a [u8],
    /// Position after the bracket that begins it.
    start: usize,
}

impl List<'_> {
    /// All items; `None` if the list has no end.
    fn items<T: DeserializeOwned>(&self, if_array: IfArray) -> Option<Found<T>> {
        let mut items = Vec::new();
        let mut unreadable = 0;
        let mut at = self.start;
        loop {
            at = self.skip_separators(at);
            if self.ends_at(at) {
                break;
            }
            if let Some((item, end)) = self.value_at::<T>(at) {
                items.push(item);
                at = end;
                continue;
            }
            unreadable += 1;
            let may_skip = if_array == IfArray::Skip || self.text.get(at) != Some(&b'[');
            let skipped = self.value_at::<IgnoredAny>(at).filter(|_| may_skip);
            at = match skipped {
                Some((_, end)) => end,
                None => self.resume_after::<T>(at)?,
            };
        }
        Some(Found {
            items,
            unreadable,
            end: at,
        })
    }

    fn skip_separators(&self, at: usize) -> usize {
        let mut at = skip_space(self.text, at);
        while let Some(next) = after(self.text, at, b',') {
            at = skip_space(self.text, next);
        }
        at
    }

    /// The item that begins here, and the position after it, where the next one or the end follows.
    fn value_at<T: DeserializeOwned>(&self, at: usize) -> Option<(T, usize)> {
        let (value, end) = parse_at(self.text, at)?;
        let next = self.text.get(skip_space(self.text, end));
        matches!(next, Some(b',' | b']')).then_some((value, end))
    }

    /// Whether the list ends with the bracket here: what follows has to complete the document.
    fn ends_at(&self, at: usize) -> bool {
        if self.text.get(at) != Some(&b']') {
            return false;
        }
        serde_json::from_slice::<IgnoredAny>(&self.without_items(at)).is_ok()
    }

    /// The document without the items, if the list ends here.
    fn without_items(&self, end: usize) -> Vec<u8> {
        let parts = [self.text.get(..self.start), self.text.get(end..)];
        parts.map(Option::unwrap_or_default).concat()
    }

    /// Where to go on after an item that begins here and ends in the middle: at the next item that can be
    /// read, or else at the end of the list.
    fn resume_after<T: DeserializeOwned>(&self, at: usize) -> Option<usize> {
        let starts = self.positions_of(b',', at + 1);
        let mut starts = starts.map(|comma| skip_space(self.text, comma + 1));
        let next = starts.find(|start| {
            self.text.get(*start) == Some(&b'{') && self.value_at::<T>(*start).is_some()
        });
        next.or_else(|| {
            let ends = self.positions_of(b']', at).rev().take(MAX_ENDS_TRIED);
            ends.into_iter().find(|end| self.ends_at(*end))
        })
    }

    fn positions_of(&self, byte: u8, from: usize) -> impl DoubleEndedIterator<Item = usize> {
        let from = from.min(self.text.len());
        let found = self.text.iter().enumerate().skip(from);
        found.filter(move |(_, b)| **b == byte).map(|(at, _)| at)
    }
}
