//! The words of the platform's protocols, as serde types: one module for each interface.
//!
//! Nothing outside these modules spells them; everything else uses the terms of the field.

pub mod cloud;
pub mod key_value;
pub mod users;
pub mod workers;

#[cfg(test)]
mod tests;
