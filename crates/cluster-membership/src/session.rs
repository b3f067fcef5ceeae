//! Which datagrams of one sender count. Each names the life that it is meant for: one that names ours was made since we started,
//! so what was recorded earlier proves nothing. Within a life each counts once, by its number; a life that was replaced by a later
//! one does not come back.

/// Numbers below the highest that are still told apart.
const REPLAYS: u64 = 64;

/// What has come from one name.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Its life and incarnation, once proven; 0: none is.
    pub life: u64,
    pub incarnation: u64,
    /// Its highest number, and which of those below it have come.
    top: u64,
    seen: u64,
    /// Of the last that we sent.
    pub number: u64,
    pub heard_at: u64,
    /// Its life as it says, proven or not, so that what we send names it.
    pub says: u64,
}

/// What to make of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counts {
    Yes,
    /// It is the first of a new life.
    Anew,
    /// It came before.
    Twice,
    /// It names another life of ours, or none: it may be old. The sender is to hear ours.
    Unproven,
    /// It is of a life that another one has replaced. The sender is to hear of that.
    Replaced,
}

impl Session {
    /// Nothing has come yet; what is sent begins above this number.
    pub fn from(number: u64) -> Session {
        Session {
            number,
            ..Session::default()
        }
    }

    /// `to`: the life that the datagram names; `me`: ours.
    pub fn take(&mut self, me: u64, to: u64, life: u64, incarnation: u64, number: u64) -> Counts {
        if life != self.life && self.life != 0 && incarnation <= self.incarnation {
            return Counts::Replaced;
        }
        self.says = life;
        if to != me {
            return Counts::Unproven;
        }
        let anew = life != self.life;
        if anew {
            (self.life, self.top, self.seen) = (life, 0, 0);
        }
        self.incarnation = self.incarnation.max(incarnation);
        match self.fresh(number) {
            true if anew => Counts::Anew,
            true => Counts::Yes,
            false => Counts::Twice,
        }
    }

    /// Whether a number has not come before (the sliding window of RFC 4303 section 3.4.3).
    fn fresh(&mut self, number: u64) -> bool {
        if number > self.top {
            let by = number - self.top;
            self.seen = if by >= REPLAYS { 0 } else { self.seen << by };
            (self.top, self.seen) = (number, self.seen | 1);
            return true;
        }
        let below = self.top - number;
        if below >= REPLAYS || self.seen >> below & 1 == 1 {
            return false;
        }
        self.seen |= 1 << below;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_names_our_life_counts_and_only_once() {
        let mut s = Session::default();
        assert_eq!(s.take(7, 0, 1, 10, 1), Counts::Unproven);
        assert_eq!(
            s.take(7, 6, 1, 10, 2),
            Counts::Unproven,
            "of before our start"
        );
        assert_eq!(s.take(7, 7, 1, 10, 3), Counts::Anew);
        assert_eq!(s.take(7, 7, 1, 10, 3), Counts::Twice);
        assert_eq!(s.take(7, 7, 1, 10, 100), Counts::Yes);
        assert_eq!(
            s.take(7, 7, 1, 10, 60),
            Counts::Yes,
            "late, for the first time"
        );
        assert_eq!(s.take(7, 7, 1, 10, 60), Counts::Twice);
        assert_eq!(s.take(7, 7, 1, 10, 36), Counts::Twice, "too old to be told");
    }

    #[test]
    fn a_life_that_was_replaced_does_not_come_back() {
        let mut s = Session::default();
        assert_eq!(s.take(7, 7, 1, 10, 500), Counts::Anew);
        assert_eq!(s.take(7, 7, 2, 20, 1), Counts::Anew);
        assert_eq!(s.take(7, 7, 1, 10, 501), Counts::Replaced);
        assert_eq!(s.take(7, 7, 1, 20, 502), Counts::Replaced);
        assert_eq!(s.take(7, 7, 2, 20, 2), Counts::Yes);
    }
}
