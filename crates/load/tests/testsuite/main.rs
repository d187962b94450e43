//! The load tools, run as their users run them.

mod ideal;
