//! Tests of entries and agents that run in this process, with substitutes of the platform on the
//! loopback network.

mod cancels;
mod deployment;
mod foreign_reports;
