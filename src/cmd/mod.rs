//! The operators' commands, one file each.
