//! Scripted scenarios of the configuration in force, with all processes of a small fleet.
//!
//! `fleet relays=N leaves=N domains=N regions=N` starts processes and accepts generation 1.
//! `steps` runs one step per line: `accept`, `run MS`, `store down|up`, `cut REGION`, `heal`,
//! `kill NAME`, `restart NAME`, `status`.

mod support;

use std::time::Duration;

use datadriven::TestCase;
use lovagedock::AdoptionCounter;
use support::relay_simulation::{RelaySetup, RelaySimulation};

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios/adoption", |file| {
        let mut simulation = None;
        file.run(|case| match case.directive.as_str() {
            "fleet" => {
                let started = simulation.insert(RelaySimulation::new(setup(case)));
                format!(
                    "watching the store: {}\n",
                    started.watcher_names().join(" ")
                )
            }
            "steps" => {
                let simulation = simulation.as_mut().expect("`fleet` precedes `steps`");
                case.input
                    .lines()
                    .map(|line| run_line(simulation, line))
                    .collect()
            }
            other => panic!("unknown directive {other}"),
        });
    });
}

fn setup(case: &TestCase) -> RelaySetup {
    let number = |name: &str, default: usize| {
        let values = case.args.get(name);
        values.map_or(default, |values| values[0].parse().expect("a number"))
    };
    RelaySetup {
        relays: number("relays", 4),
        leaves: number("leaves", 0),
        domains: number("domains", 3),
        regions: number("regions", 1),
        loss: number("loss", 0) as u32,
        ..RelaySetup::default()
    }
}

fn run_line(simulation: &mut RelaySimulation, line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let mut shown = String::new();
    match words[0] {
        "accept" => {
            let generation = simulation.accept();
            shown = format!("    generation {generation} is accepted\n");
        }
        "run" => simulation.run(Duration::from_millis(
            words[1].parse().expect("milliseconds"),
        )),
        "store" => simulation.store_up = words[1] == "up",
        "cut" => {
            simulation
                .cut_regions
                .insert(words[1].parse().expect("a region"));
        }
        "heal" => simulation.cut_regions.clear(),
        "kill" => {
            let position = simulation.position(words[1]);
            simulation.kill(position);
        }
        "restart" => {
            let position = simulation.position(words[1]);
            simulation.restart(position);
        }
        "status" => shown = status(simulation),
        other => panic!("unknown step {other}"),
    }
    format!("{line}\n{shown}")
}

/// Formats the output of `status`. The counter includes only processes that answer.
fn status(simulation: &RelaySimulation) -> String {
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    let names = (0..simulation.len()).map(|position| simulation.name(position));
    let mut counter = AdoptionCounter::new(names);
    for position in (0..simulation.len()).filter(|position| simulation.is_alive(*position)) {
        counter.report(simulation.name(position), simulation.generation(position));
    }
    let count = counter.count(simulation.accepted());
    let mut text = format!(
        "    generation {} in force at {} of {}\n",
        simulation.accepted(),
        count.in_force,
        simulation.len()
    );
    for (title, names) in [("behind", &count.behind), ("silent", &count.silent)] {
        if !names.is_empty() {
            text += &format!("    {title}: {}\n", names.join(" "));
        }
    }
    text
}
