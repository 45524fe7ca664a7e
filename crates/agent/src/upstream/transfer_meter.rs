//! What one attempt transfers over its sockets.

use crate::protocol::connection::SocketTraffic;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tulipwall_zones::ResponseFault;

/// Bytes that went both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// Written by this agent.
    pub sent: u64,
    /// Read by this agent.
    pub received: u64,
}

/// Follows one attempt, also when it is dropped halfway.
///
/// Written by the attempt; read by the request that it belongs to.
#[derive(Default)]
pub struct TransferMeter {
    fully_written: Cell<bool>,
    fault: Cell<ResponseFault>,
    finished: Cell<TransferredBytes>, // over connections before the present one
    present: RefCell<Option<Rc<SocketTraffic>>>,
}

impl TransferMeter {
    /// The attempt goes on on this connection.
    pub fn follow(&self, traffic: Rc<SocketTraffic>) {
        self.transferred();
        *self.present.borrow_mut() = Some(traffic);
    }

    /// All of the statement went out: from now on it may have run.
    pub fn set_fully_written(&self) {
        self.fully_written.set(true);
    }

    /// Whether all of the statement went out.
    pub fn is_fully_written(&self) -> bool {
        self.fully_written.get()
    }

    /// What was wrong with the answer.
    pub fn set_fault(&self, fault: ResponseFault) {
        self.fault.set(fault);
    }

    /// What was wrong with the answer, if anything.
    pub fn fault(&self) -> ResponseFault {
        self.fault.get()
    }

    /// Bytes since the attempt's beginning. Each byte of a connection is charged once: afterwards
    /// the present connection is not followed any more.
    pub fn transferred(&self) -> TransferredBytes {
        let mut total = self.finished.get();
        if let Some(traffic) = self.present.take() {
            let (sent, received) = traffic.take_uncharged();
            total.sent += sent;
            total.received += received;
        }
        self.finished.set(total);
        total
    }
}
