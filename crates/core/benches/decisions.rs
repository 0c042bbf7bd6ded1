//! Speed of the decisions that every packet and change needs.

fn main() {}
