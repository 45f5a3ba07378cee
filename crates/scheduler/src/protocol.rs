//! Messages of the platform's protocols as serde types, with one module per interface.
//!
//! The protocols' own field names appear only in these modules; all other code uses the usual terms
//! of the field.

pub mod cloud;
pub mod key_value;
pub mod users;
pub mod workers;

#[cfg(test)]
mod tests;
