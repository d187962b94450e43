//! Tests that the substitutes serve the protocol that the product's own clients speak.

mod store;
