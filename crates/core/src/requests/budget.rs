//! How many retries the load allows.

use serde::Serialize;

/// Retries earned by each first try, in hundredths.
const EARNED: u32 = 10;
/// Cost of a retry, in hundredths.
const COST: u32 = 100;
/// Most that can be saved up, in hundredths.
const MOST: u32 = 1_000;

/// A share of the load that may be spent on retries.
///
/// A fixed number of retries a request multiplies the load just when targets fail from it. A share of the load adds
/// a tenth at the worst.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { hundredths: MOST }
    }
}

impl RetryBudget {
    /// Notes a first try, which earns part of a retry.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + EARNED).min(MOST);
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        let enough = self.hundredths >= COST;
        if enough {
            self.hundredths -= COST;
        }
        enough
    }
}
