//! Measures the slopes behind `docs/CAPACITY.md` and prints them with what they give at the size
//! to design for, as Markdown. `bench/capacity` writes the page's tables with it.

mod config;
mod kernel;
mod meter;
mod scale;
mod slope;
mod wire;

use std::{fs, time::SystemTime};

use config::ConfigSlopes;
use kernel::KernelSlopes;
use slope::SlopeSeries;
use wire::WireSlopes;

fn main() {
    print_machine();
    let wire = WireSlopes::measure();
    print_slopes("Sessions", &wire.series());
    let kernel = KernelSlopes::measure();
    print_slopes("Decisions", &kernel.series());
    let config = ConfigSlopes::measure();
    print_slopes("Configuration", &config.series());
}

fn print_machine() {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("Run on {}.", httpdate::fmt_http_date(SystemTime::now()));
    println!(
        "{cores} cores; load average at the start {}.",
        load.split(' ').take(3).collect::<Vec<_>>().join(", ")
    );
}

fn print_slopes(title: &str, series: &[&SlopeSeries]) {
    println!("\n## {title}\n\n{}", SlopeSeries::header());
    for one in series {
        println!("{}", one.row());
    }
}
