//! The catalogue: what operators declare, as a TOML file under version control.
