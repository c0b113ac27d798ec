//! Sizes of budget slices. A slice is the part of a team's budget that one owner holds.

use domain::MicroUnits;

/// Divisor of the owner's even share of the remaining budget that gives the size of a slice.
const SHARE_DIVISOR: u64 = 4;

/// Returns the size of the next slice of a budget, or zero when the remaining budget `left` does not cover
/// `wanted`.
///
/// A slice is a quarter of the owner's even share of the remaining budget, or `wanted` if that is more.
/// Slices therefore shrink with the budget, and little of it is unused at other owners when it runs out.
pub fn next_slice(left: MicroUnits, owners: u32, wanted: MicroUnits) -> MicroUnits {
    if wanted > left {
        return MicroUnits::ZERO;
    }
    let share = left.0 / u64::from(owners.max(1)) / SHARE_DIVISOR;
    MicroUnits(share.max(wanted.0))
}
