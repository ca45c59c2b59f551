//! Spreads runners evenly over zones.

/// Spreads `wanted` runners as evenly as the limits of the zones allow; the first zones get the remainder.
pub fn spread(wanted: u32, limits: &[u32]) -> Vec<u32> {
    let mut shares = vec![0; limits.len()];
    let mut left = wanted;
    while left > 0 {
        let open: Vec<usize> = (0..limits.len()).filter(|index| shares[*index] < limits[*index]).collect();
        let Some(per_zone) = left.checked_div(open.len() as u32) else {
            break;
        };
        for index in open {
            let added = per_zone.max(1).min(limits[index] - shares[index]).min(left);
            shares[index] += added;
            left -= added;
        }
    }
    shares
}
