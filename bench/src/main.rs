//! Measures the slopes behind `docs/CAPACITY.md` and prints them with what they give at the size
//! to design for, as Markdown. `bench/capacity` writes the page's tables with it.

mod budget;
mod changes;
mod claims;
mod config;
mod days;
mod kernel;
mod limits;
mod meter;
mod peer;
mod relay;
mod scale;
mod store;
mod subset;
mod traffic;
mod wire;

use std::{env, fs, path::Path, time::SystemTime};

use budget::MeasuredSlopes;
use changes::ChangeSlopes;
use claims::ClaimSlopes;
use config::ConfigSlopes;
use kernel::KernelSlopes;
use limits::LimitSlopes;
use lovagedock_bench::{page, slope};
use relay::RelaySlopes;
use slope::SlopeSeries;
use store::StoreSlopes;
use subset::SubsetSlopes;
use wire::WireSlopes;

fn main() {
    print_machine("start");
    let slopes = MeasuredSlopes {
        wire: WireSlopes::measure(),
        kernel: KernelSlopes::measure(),
        config: ConfigSlopes::measure(),
        changes: ChangeSlopes::measure(),
        subset: SubsetSlopes::measure(),
        limits: LimitSlopes::measure(),
        usage_bytes: peer::usage_bytes(),
        relay: RelaySlopes::measure(),
        claims: ClaimSlopes::measure(),
        store: StoreSlopes::measure(),
    };
    print_machine("end");
    let table = budget::table(&slopes);
    let days = days::table(&slopes);
    println!("\n## At the size to design for\n\n{table}\n{days}");
    if let Some(page) = env::args_os().nth(1) {
        let page = Path::new(&page);
        page::replace_table(page, "table", &table).expect("page with markers");
        page::replace_table(page, "days", &days).expect("page with markers");
    }
    print_slopes("Sessions", &slopes.wire.series());
    print_slopes("Decisions", &slopes.kernel.series());
    print_slopes("Configuration in memory", &slopes.config.series());
    print_slopes("Changes of the configuration", &slopes.changes.series());
    println!("\nA change at 25,000 organisations and 10,000 endpoints, by size of chunk:\n");
    changes::print_levels(slopes.changes.levels());
    print_slopes("Subsets", &slopes.subset.series());
    println!();
    subset::print_movement();
    let mut limits = slopes.limits.series();
    limits.push(&slopes.usage_bytes);
    print_slopes("Limits of organisations", &limits);
    print_slopes("Configuration relay", &slopes.relay.series());
    println!("\nA region is cut off for 60 s while 13 changes are accepted, then returns:\n");
    relay::print_cut();
    print_slopes("Claims", &slopes.claims.series());
    print_slopes("Calls to the store", &slopes.store.series());
}

fn print_machine(moment: &str) {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load: Vec<&str> = load.split(' ').take(3).collect();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "{}, {moment}: {cores} cores, load average {}.\n",
        httpdate::fmt_http_date(SystemTime::now()),
        load.join(", ")
    );
}

fn print_slopes(title: &str, series: &[&SlopeSeries]) {
    println!("\n## {title}\n\n{}", SlopeSeries::header());
    for one in series {
        println!("{}", one.row());
    }
}
