//! Output of results as text or JSON.

use serde::Serialize;

/// Output format of results.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    json: bool,
}

impl Output {
    pub(super) fn new(json: bool) -> Self {
        Self { json }
    }

    pub(super) fn is_json(self) -> bool {
        self.json
    }

    /// Prints a result as JSON, or calls `text` to print it as text.
    pub(super) fn print<T: Serialize>(self, result: &T, text: impl FnOnce(&T)) {
        if self.json {
            println!("{}", serde_json::to_string(result).unwrap_or_default());
        } else {
            text(result);
        }
    }
}
