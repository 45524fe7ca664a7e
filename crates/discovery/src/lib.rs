//! The list of endpoints at an agent, without sockets: `listing` reads what discovery tells, `list`
//! keeps it, `watchdog` says when discovery is asked, `clock` maps its times. The agent puts
//! sockets around it, the lab plays hundreds in one process.

pub mod clock;
pub mod list;
pub mod listing;
pub mod watchdog;
