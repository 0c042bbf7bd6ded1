//! How many retries the load allows.

use serde::Serialize;

/// Retries earned by each first try, in hundredths.
const DEPOSIT_HUNDREDTHS: u32 = 10;
/// Cost of a retry, in hundredths.
const RETRY_COST_HUNDREDTHS: u32 = 100;
/// Most that can be saved up, in hundredths.
const MAX_BALANCE_HUNDREDTHS: u32 = 1_000;

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
        Self { hundredths: MAX_BALANCE_HUNDREDTHS }
    }
}

impl RetryBudget {
    /// Notes a first try, which earns part of a retry.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + DEPOSIT_HUNDREDTHS).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Spends one retry if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let is_available = self.hundredths >= RETRY_COST_HUNDREDTHS;
        if is_available {
            self.hundredths -= RETRY_COST_HUNDREDTHS;
        }
        is_available
    }
}
