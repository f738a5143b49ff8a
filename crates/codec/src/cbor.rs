//! CBOR, with a check of the structure before anything is decoded.
//!
//! The decoder follows nested items on the stack and reserves memory for as many elements as an item
//! declares. Input of other writers is therefore walked first, without recursion or allocation.

use serde::{Serialize, de::DeserializeOwned};

/// Result of encoding or decoding; the error is a message.
pub(crate) type Result<T, E = String> = std::result::Result<T, E>;

/// Deepest nesting of an item: several times that of the records and frames of this release.
const MAX_DEPTH: usize = 32;
/// Additional information of an item without a declared length, and of the break that ends it.
const INDEFINITE: u8 = 31;

/// Encodes a value.
pub(crate) fn to_bytes<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| error.to_string())?;
    Ok(bytes)
}

/// Decodes a value.
pub(crate) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    ItemWalk::new(bytes).check()?;
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}

/// Splits a sequence of items after the first one.
pub(crate) fn split_first(bytes: &[u8]) -> Result<(&[u8], &[u8])> {
    let rest = ItemWalk::new(bytes).check()?;
    Ok(bytes.split_at(bytes.len() - rest.len()))
}

/// Number of items that an open item still contains.
#[derive(Clone, Copy)]
enum OpenItem {
    Counted(u64),
    /// A break ends the item.
    Indefinite,
}

/// Walk over one item.
struct ItemWalk<'a> {
    rest: &'a [u8],
    open: [OpenItem; MAX_DEPTH],
    depth: usize,
}

impl<'a> ItemWalk<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        Self {
            rest: bytes,
            open: [OpenItem::Indefinite; MAX_DEPTH],
            depth: 0,
        }
    }

    /// Checks that the item is complete, that its nesting is bounded and that bytes back each
    /// declared length. Returns the bytes after it.
    fn check(mut self) -> Result<&'a [u8]> {
        loop {
            let first = self.byte()?;
            // The upper three bits are the type of the item.
            let (major, info) = (first >> 5, first & 0x1f);
            match (major, info) {
                (2..=5, INDEFINITE) => self.open(OpenItem::Indefinite)?,
                (7, INDEFINITE) => self.close_indefinite()?,
                _ => {
                    let number = self.number(info)?;
                    match major {
                        2 | 3 => {
                            self.take(number)?;
                            self.complete();
                        }
                        4 => self.open_counted(number)?,
                        5 => self.open_counted(number.saturating_mul(2))?,
                        6 => self.open(OpenItem::Counted(1))?,
                        _ => self.complete(),
                    }
                }
            }
            if self.depth == 0 {
                return Ok(self.rest);
            }
        }
    }

    fn byte(&mut self) -> Result<u8> {
        let (first, rest) = self.rest.split_first().ok_or_else(cut_off)?;
        self.rest = rest;
        Ok(*first)
    }

    fn take(&mut self, length: u64) -> Result<&'a [u8]> {
        let length = usize::try_from(length).map_err(|_| cut_off())?;
        let (taken, rest) = self.rest.split_at_checked(length).ok_or_else(cut_off)?;
        self.rest = rest;
        Ok(taken)
    }

    /// Number that follows the first byte of an item, or is part of it.
    fn number(&mut self, info: u8) -> Result<u64> {
        let length = match info {
            0..24 => return Ok(u64::from(info)),
            24..28 => 1 << (info - 24),
            _ => return Err("invalid first byte of an item".to_owned()),
        };
        let bytes = self.take(length)?.iter();
        Ok(bytes.fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }

    fn open_counted(&mut self, items: u64) -> Result<()> {
        // Each item takes at least one byte.
        if items > self.rest.len() as u64 {
            return Err(cut_off());
        }
        if items > 0 {
            return self.open(OpenItem::Counted(items));
        }
        self.complete();
        Ok(())
    }

    fn open(&mut self, item: OpenItem) -> Result<()> {
        let slot = self.open.get_mut(self.depth);
        *slot.ok_or("items are nested too deeply")? = item;
        self.depth += 1;
        Ok(())
    }

    fn close_indefinite(&mut self) -> Result<()> {
        let innermost = self.depth.checked_sub(1).map(|index| self.open[index]);
        let Some(OpenItem::Indefinite) = innermost else {
            return Err("a break outside an item without a length".to_owned());
        };
        self.depth -= 1;
        self.complete();
        Ok(())
    }

    /// Counts a complete item, and closes the items around it that are complete with it.
    fn complete(&mut self) {
        while let Some(index) = self.depth.checked_sub(1) {
            match &mut self.open[index] {
                OpenItem::Counted(items) if *items > 1 => {
                    *items -= 1;
                    return;
                }
                OpenItem::Counted(_) => self.depth = index,
                OpenItem::Indefinite => return,
            }
        }
    }
}

fn cut_off() -> String {
    "the input is shorter than it declares".to_owned()
}
