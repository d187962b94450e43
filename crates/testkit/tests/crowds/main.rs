//! Crowds of clients that do not behave, against each listener of each process.
//!
//! Each test starts the processes with a small VM, lets a crowd hold its connections open, and checks
//! three things: the process lives, its memory and its descriptors stay within the VM's, and an
//! ordinary request is answered beside the crowd. No check depends on the speed of the machine.

mod agent;
mod client;
mod crowd;
mod own_interface;
mod peers;
mod platform;
mod platform_entry;
mod vm;
