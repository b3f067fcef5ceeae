//! Replay protection for the datagrams of one sender.
//!
//! Each datagram names the process instance that it is meant for. One that names the local instance was made after the local
//! start, so datagrams recorded earlier prove nothing. Within one instance of the sender each sequence number counts once, and
//! an instance that a later one has replaced is not accepted again.

#[cfg(test)]
mod tests;

/// Width of the replay window: sequence numbers this far below the highest are rejected.
const REPLAY_WINDOW: u64 = 64;

/// What is known of the datagrams exchanged with one member name.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Instance that has proven itself by naming ours; 0: none has.
    pub proven_instance_id: u64,
    /// Instance named in the last datagram, proven or not, so that replies can name it.
    pub claimed_instance_id: u64,
    /// Sequence number of the last datagram sent.
    pub last_sent_sequence: u64,
    /// When the member was last heard itself, in microseconds of running time; 0: never.
    pub heard_at_us: u64,
    incarnation: u64,
    highest_sequence: u64,
    /// Bit `n` is set if the sequence number `highest_sequence - n` has been received.
    received_window: u64,
}

/// What a datagram says of its sender and receiver.
#[derive(Clone, Copy, Debug)]
pub struct DatagramIdentity {
    /// Instance of the receiver that the datagram is meant for; 0: the sender knows none.
    pub to_instance_id: u64,
    /// Instance of the sender.
    pub instance_id: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number, growing with each datagram from the sender to this receiver.
    pub sequence: u64,
}

/// How a datagram is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramVerdict {
    /// It counts.
    Accepted,
    /// It counts, as the first of a new instance.
    AcceptedNewInstance,
    /// It was received before, or is too old to tell.
    Duplicate,
    /// It names another instance of the receiver, or none, and may be a replay. The sender has to learn the current instance.
    Unproven,
    /// It comes from an instance that another one has replaced. The sender has to learn of that.
    Replaced,
}

impl Session {
    /// A session without any datagram received. The first one sent has the number after `last_sent_sequence`.
    pub fn starting_after(last_sent_sequence: u64) -> Session {
        Session {
            last_sent_sequence,
            ..Session::default()
        }
    }

    /// Judges a datagram and records it as received. `local_instance_id`: the instance of this process.
    pub fn receive(
        &mut self,
        local_instance_id: u64,
        datagram: DatagramIdentity,
    ) -> DatagramVerdict {
        let instance_id = datagram.instance_id;
        let is_new_instance = instance_id != self.proven_instance_id;
        let has_proven_instance = self.proven_instance_id != 0;
        if is_new_instance && has_proven_instance && datagram.incarnation <= self.incarnation {
            return DatagramVerdict::Replaced;
        }
        self.claimed_instance_id = instance_id;
        if datagram.to_instance_id != local_instance_id {
            return DatagramVerdict::Unproven;
        }
        if is_new_instance {
            self.proven_instance_id = instance_id;
            self.highest_sequence = 0;
            self.received_window = 0;
        }
        self.incarnation = self.incarnation.max(datagram.incarnation);
        if !self.record_sequence(datagram.sequence) {
            DatagramVerdict::Duplicate
        } else if is_new_instance {
            DatagramVerdict::AcceptedNewInstance
        } else {
            DatagramVerdict::Accepted
        }
    }

    /// Returns whether the number was not received before (the sliding window of RFC 4303 section 3.4.3).
    fn record_sequence(&mut self, sequence: u64) -> bool {
        if sequence > self.highest_sequence {
            let advance = sequence - self.highest_sequence;
            let shifted = if advance >= REPLAY_WINDOW {
                0
            } else {
                self.received_window << advance
            };
            self.highest_sequence = sequence;
            self.received_window = shifted | 1;
            return true;
        }
        let below = self.highest_sequence - sequence;
        if below >= REPLAY_WINDOW || self.received_window >> below & 1 == 1 {
            return false;
        }
        self.received_window |= 1 << below;
        true
    }
}
