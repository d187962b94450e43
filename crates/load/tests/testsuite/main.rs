//! Tests of the load tools through their command lines.

mod ideal;
