//! Replay protection for the datagrams of one sender.
//!
//! Each datagram names the process instance of its receiver. A datagram that names the receiver's current instance
//! was created after the receiver started, so it is no replay from before that start. Within one instance of the
//! sender each sequence number is accepted once, and an instance that a later one has replaced is not accepted again.

#[cfg(test)]
mod tests;

/// Width of the replay window: sequence numbers this far or further below the highest one are rejected.
const REPLAY_WINDOW: u64 = 64;

/// State of the datagrams exchanged with the processes under one member name.
#[derive(Clone, Debug, Default)]
pub struct Session {
    /// Proven instance: a datagram from it was addressed to this process's instance; 0 for none.
    pub proven_instance_id: u64,
    /// Sender's instance in the last datagram, whether or not it is proven, so that replies can name it.
    pub claimed_instance_id: u64,
    /// Sequence number of the last datagram sent to the member.
    pub last_sent_sequence: u64,
    /// When a datagram was last accepted from the member, in microseconds of running time; 0 for never.
    pub last_received_at_us: u64,
    /// Highest incarnation received from the proven instance.
    incarnation: u64,
    /// Highest sequence number received from the proven instance.
    highest_sequence: u64,
    /// Replay window: bit `n` is set if the sequence number `highest_sequence - n` has been received.
    received_window: u64,
}

/// The fields of a datagram that identify its sender, its receiver and the datagram itself.
#[derive(Clone, Copy, Debug)]
pub struct DatagramIdentity {
    /// Instance of the receiver that the datagram is addressed to; 0 if the sender knows none.
    pub to_instance_id: u64,
    /// Instance of the sender.
    pub instance_id: u64,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number, which grows with each datagram from the sender to this receiver.
    pub sequence: u64,
}

/// How the receiver has to treat a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramVerdict {
    /// The datagram is accepted.
    Accepted,
    /// The datagram is accepted as the first one of a new instance of the sender.
    AcceptedNewInstance,
    /// The datagram was received before, or its sequence number is below the replay window.
    Duplicate,
    /// The datagram names another instance of the receiver, or none, and may be a replay. The receiver replies, so
    /// that the sender learns the current instance.
    Unproven,
    /// The datagram comes from an instance that another one has replaced. The receiver replies, so that the sender
    /// learns of that.
    Replaced,
}

impl Session {
    /// Creates a session without any received datagrams. The first one sent has the sequence number after
    /// `last_sent_sequence`.
    pub fn starting_after(last_sent_sequence: u64) -> Session {
        Session {
            last_sent_sequence,
            ..Session::default()
        }
    }

    /// Returns the verdict on a datagram and records the datagram as received. `own_instance_id`: the instance of
    /// this process.
    pub fn receive(&mut self, own_instance_id: u64, datagram: DatagramIdentity) -> DatagramVerdict {
        let instance_id = datagram.instance_id;
        let is_new_instance = instance_id != self.proven_instance_id;
        let has_proven_instance = self.proven_instance_id != 0;
        if is_new_instance && has_proven_instance && datagram.incarnation <= self.incarnation {
            return DatagramVerdict::Replaced;
        }
        self.claimed_instance_id = instance_id;
        if datagram.to_instance_id != own_instance_id {
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

    /// Records a sequence number in the sliding window (RFC 4303 section 3.4.3). Returns false if it was received
    /// before or is below the window.
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
