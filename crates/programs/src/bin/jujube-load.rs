//! `jujube-load`: load and experiments; the first command comes with the capacity page.

fn main() {}
