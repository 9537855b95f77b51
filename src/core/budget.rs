//! The availability budget of a pool: who may leave, counting failures and maintenance together.

use super::config::Reserve;

/// A host of the pool, as the budget sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its rack, as any number that is the same for hosts that fail together.
    pub rack: usize,
    /// Whether it serves and is alive.
    pub serving: bool,
    /// Whether it is on its way out, out, or not yet back.
    pub out: bool,
}

/// What a pool promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// How many must serve.
    pub serving_min: usize,
    /// The failure that must be survivable on top.
    pub reserve: Reserve,
}

/// The figures that a verdict rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the host may leave.
    pub allowed: bool,
    /// Hosts that would serve after it left.
    pub serving_after: usize,
    /// Hosts that the reserved-for failure would take on top.
    pub reserved: usize,
}

impl Budget {
    /// Whether the host at `leaving` may leave now.
    ///
    /// A host that does not serve takes nothing away, so it may always leave.
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

    /// How many serving hosts the reserved-for failure takes at worst.
    fn reserved(&self, serving: &[Member]) -> usize {
        match self.reserve {
            Reserve::None => 0,
            Reserve::Host => serving.len().min(1),
            Reserve::Rack => largest_rack(serving),
        }
    }

    /// How many hosts could be out at once if none had failed and all served.
    pub fn max_unavailable(&self, members: &[Member]) -> usize {
        let all: Vec<Member> = members.to_vec();
        let reserved = self.reserved(&all);
        members.len().saturating_sub(self.serving_min + reserved)
    }
}

fn largest_rack(members: &[Member]) -> usize {
    let mut racks: Vec<usize> = members.iter().map(|m| m.rack).collect();
    racks.sort_unstable();
    racks
        .chunk_by(|a, b| a == b)
        .map(<[usize]>::len)
        .max()
        .unwrap_or(0)
}
