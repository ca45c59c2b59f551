//! Passes the git revision to the compiler as `TEASELCROFT_REVISION`, for reports; empty outside a repository.

use std::process::Command;

fn main() {
    let output = Command::new("git").args(["rev-parse", "--short=12", "HEAD"]).output();
    let revision = output.ok().filter(|output| output.status.success());
    let revision = revision.and_then(|output| String::from_utf8(output.stdout).ok()).unwrap_or_default();
    println!("cargo::rustc-env=TEASELCROFT_REVISION={}", revision.trim());
    println!("cargo::rerun-if-changed=../../.git/HEAD");
    println!("cargo::rerun-if-changed=../../.git/refs/heads");
}
