//! The program on each entry VM.

pub mod files;
