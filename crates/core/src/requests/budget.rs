//! Retry budget: limits retries to a share of the load.

use serde::Serialize;

/// Share of a retry that each first attempt adds to the balance, in hundredths.
const DEPOSIT_HUNDREDTHS: u32 = 10;
/// Cost of a retry, in hundredths.
const RETRY_COST_HUNDREDTHS: u32 = 100;
/// Maximum balance, in hundredths.
const MAX_BALANCE_HUNDREDTHS: u32 = 1_000;

/// Balance of retries, earned by first attempts.
///
/// A fixed number of retries per request multiplies the load exactly when overload makes targets fail. A share of the
/// load adds at most a tenth, apart from the balance.
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
    /// Records a first attempt, which adds a share of a retry to the balance.
    pub fn deposit(&mut self) {
        self.hundredths = (self.hundredths + DEPOSIT_HUNDREDTHS).min(MAX_BALANCE_HUNDREDTHS);
    }

    /// Pays for one retry and returns whether the balance was sufficient.
    pub fn try_withdraw(&mut self) -> bool {
        let is_available = self.hundredths >= RETRY_COST_HUNDREDTHS;
        if is_available {
            self.hundredths -= RETRY_COST_HUNDREDTHS;
        }
        is_available
    }
}
