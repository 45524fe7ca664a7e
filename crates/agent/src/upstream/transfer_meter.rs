//! Measurement of the bytes that one attempt transfers over its sockets.

use crate::protocol::connection::SocketTraffic;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tulipwall_zones::ResponseFault;

/// The numbers of bytes transferred in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// The bytes that this agent wrote.
    pub sent: u64,
    /// The bytes that this agent read.
    pub received: u64,
}

/// Records the progress and the traffic of one attempt, and keeps them when the attempt is dropped
/// halfway.
///
/// The attempt writes it; the request to which the attempt belongs reads it.
#[derive(Default)]
pub struct TransferMeter {
    fully_written: Cell<bool>,
    fault: Cell<ResponseFault>,
    accumulated: Cell<TransferredBytes>, // of the connections before the current one
    current: RefCell<Option<Rc<SocketTraffic>>>,
}

impl TransferMeter {
    /// Tracks the traffic of the connection on which the attempt continues.
    pub fn track(&self, traffic: Rc<SocketTraffic>) {
        self.transferred();
        *self.current.borrow_mut() = Some(traffic);
    }

    /// Records that the statement was fully written; from then on it may have run.
    pub fn set_fully_written(&self) {
        self.fully_written.set(true);
    }

    /// Returns whether the statement was fully written.
    pub fn is_fully_written(&self) -> bool {
        self.fully_written.get()
    }

    /// Records the fault of the response.
    pub fn set_fault(&self, fault: ResponseFault) {
        self.fault.set(fault);
    }

    /// Returns the fault of the response; [`ResponseFault::None`] if none was recorded.
    pub fn fault(&self) -> ResponseFault {
        self.fault.get()
    }

    /// Returns the bytes transferred since the attempt began. Each byte of a connection is charged
    /// once, so the current connection is no longer tracked after this call.
    pub fn transferred(&self) -> TransferredBytes {
        let mut total = self.accumulated.get();
        if let Some(traffic) = self.current.take() {
            let (sent, received) = traffic.take_uncharged();
            total.sent += sent;
            total.received += received;
        }
        self.accumulated.set(total);
        total
    }
}
