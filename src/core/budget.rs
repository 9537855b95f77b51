//! The availability budget of a pool: whether a host may leave, with failed hosts and hosts in maintenance counted
//! together. Operators' drains and moves, waves and the sizing of pools check the budget.

use super::config::Reserve;

/// The properties of a pool's host that the budget depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Number of its rack; hosts with the same number fail together.
    pub rack: usize,
    /// Whether it serves and is live.
    pub serving: bool,
    /// Whether it is draining, out or returning.
    pub out: bool,
}

/// The availability that a pool's configuration demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Minimum number of serving hosts.
    pub serving_min: usize,
    /// The failure that must still leave `serving_min` hosts.
    pub reserve: Reserve,
}

/// Whether a host may leave, with the figures behind the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the host may leave.
    pub allowed: bool,
    /// Hosts that would serve after it left.
    pub serving_after: usize,
    /// Number of serving hosts kept for the failure in `reserve`.
    pub reserved: usize,
}

impl Budget {
    /// Checks whether the host at index `leaving` may leave now.
    ///
    /// A host that does not serve may always leave, since the number of serving hosts stays the same.
    pub fn may_leave(&self, members: &[Member], leaving: usize) -> Verdict {
        let stays = |i: usize, m: &Member| m.serving && i != leaving;
        let after: Vec<Member> = members
            .iter()
            .enumerate()
            .filter(|(i, m)| stays(*i, m))
            .map(|(_, m)| *m)
            .collect();
        let reserved = self.reserved(&after);
        let serves = members.get(leaving).is_some_and(|m| m.serving);
        Verdict {
            allowed: !serves || after.len() >= self.serving_min + reserved,
            serving_after: after.len(),
            reserved,
        }
    }

    /// Returns the number of serving hosts that the failure in `reserve` takes down in the worst case.
    fn reserved(&self, serving: &[Member]) -> usize {
        match self.reserve {
            Reserve::None => 0,
            Reserve::Host => serving.len().min(1),
            Reserve::Rack => largest_rack_size(serving),
        }
    }

    /// Returns how many hosts could be out at once if none had failed and all served.
    pub fn max_unavailable(&self, members: &[Member]) -> usize {
        let all: Vec<Member> = members.to_vec();
        let reserved = self.reserved(&all);
        members.len().saturating_sub(self.serving_min + reserved)
    }
}

fn largest_rack_size(members: &[Member]) -> usize {
    let mut racks: Vec<usize> = members.iter().map(|m| m.rack).collect();
    racks.sort_unstable();
    racks
        .chunk_by(|a, b| a == b)
        .map(<[usize]>::len)
        .max()
        .unwrap_or(0)
}
