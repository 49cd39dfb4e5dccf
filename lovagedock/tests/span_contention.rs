//! Compares strategies for reserving several engines at increasing load, in virtual time.

mod span_support;

use std::fmt::Write;

use expect_test::expect;
use span_support::{Contention, ContentionFigures, ReserveStrategy};

const SEEDS: u64 = 3;
const HOURS: u64 = 1;

struct StrategyCase {
    name: &'static str,
    strategy: ReserveStrategy,
}

const CASES: [StrategyCase; 4] = [
    StrategyCase {
        name: "ordered",
        strategy: ReserveStrategy::Ordered,
    },
    StrategyCase {
        name: "wound-wait",
        strategy: ReserveStrategy::WoundWait,
    },
    StrategyCase {
        name: "back-off",
        strategy: ReserveStrategy::BackOff,
    },
    StrategyCase {
        name: "aged back-off",
        strategy: ReserveStrategy::AgedBackOff,
    },
];

fn figures(strategy: ReserveStrategy, load: f64) -> Vec<ContentionFigures> {
    (0..SEEDS)
        .map(|seed| Contention::new(strategy, seed).run_arrivals(load, HOURS))
        .collect()
}

fn mean(figures: &[ContentionFigures], field: impl Fn(&ContentionFigures) -> f64) -> f64 {
    figures.iter().map(field).sum::<f64>() / figures.len() as f64
}

// Spans reserve 2, 3, 4 or 6 of 12 whole engines, run for 2 to 8 s and give up after a minute of
// waiting. The table shows means over three seeds, with times in ms of virtual time.
#[test]
fn aged_back_off_gives_up_least() {
    let mut table = String::from(
        "load  strategy        begun  gave up  p50      p95      p95 of 6  held idle  messages\n",
    );
    for load in [0.4, 0.6, 0.75] {
        for case in &CASES {
            let figures = figures(case.strategy, load);
            writeln!(
                table,
                "{load:<5} {:<14} {:>6.0} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>8.1}% {:>8.1}",
                case.name,
                mean(&figures, |f| f.begun as f64),
                mean(&figures, |f| f.given_up as f64),
                mean(&figures, |f| f.wait_p50_ms as f64),
                mean(&figures, |f| f.wait_p95_ms as f64),
                mean(&figures, |f| f.widest_p95_ms as f64),
                mean(&figures, |f| f.held_idle_percent),
                mean(&figures, |f| f.messages_per_span),
            )
            .expect("writing to a string does not fail");
        }
    }
    expect![[r#"
        load  strategy        begun  gave up  p50      p95      p95 of 6  held idle  messages
        0.4   ordered          1143        0       12     9696    19862      3.7%      8.8
        0.4   wound-wait       1140        3        4    19072    26139      7.8%      8.8
        0.4   back-off         1143        0        4     2164     6076      0.0%     16.4
        0.4   aged back-off    1143        0        4     2168     6509      0.0%     17.1
        0.6   ordered          1561      171     1532    51415    60000     28.4%      8.4
        0.6   wound-wait       1263      469    55061    59648    60000     57.1%      8.5
        0.6   back-off         1732        0        4     5235    15082      0.1%     34.0
        0.6   aged back-off    1732        0        4     5263    14486      0.1%     36.5
        0.75  ordered          1512      643    13035    56676    60000     44.8%      7.5
        0.75  wound-wait       1322      834    56947    59793    60000     57.1%      8.3
        0.75  back-off         2152        3      310    10593    34448      0.1%     65.3
        0.75  aged back-off    2155        0      305    11187    33415      0.2%     99.2
    "#]]
    .assert_eq(&table);
}
