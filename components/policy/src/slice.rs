//! Sizes of budget slices.

use domain::MicroUnits;

/// Part of its even share that an owner takes at once.
const SHARE_DIVISOR: u64 = 4;

/// Returns the size of the next slice of a budget, or zero when what is left does not cover `wanted`.
///
/// A slice is a quarter of the owner's even share of what is left, so slices shrink as the rest shrinks and
/// little lies idle at other owners when the budget runs out.
pub fn next_slice(left: MicroUnits, owners: u32, wanted: MicroUnits) -> MicroUnits {
    if wanted > left {
        return MicroUnits::ZERO;
    }
    let share = left.0 / u64::from(owners.max(1)) / SHARE_DIVISOR;
    MicroUnits(share.max(wanted.0))
}
