//! Bytes of a change of one organisation, by how the configuration is cut.

use std::collections::HashSet;

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use lovagedock::{ConfigBundle, FleetConfig, chunk_hash};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    config::{ORGANISATIONS, fleet, text_of},
    slope::{SlopeSeries, short},
};

const EDITS: usize = 20;
const SEED: u64 = 7;
/// Average sizes that are asked of the cutter; the last is what the store's chunks have.
const AVERAGES: [usize; 6] = [512, 1 << 10, 2 << 10, 4 << 10, 8 << 10, 32 << 10];
const STORE_AVERAGE: usize = 32 << 10;
/// Bytes that a chunk takes in a root: its hash in quotes and a comma.
const ROOT_BYTES_PER_CHUNK: usize = 67;
const ENDPOINTS: usize = 10_000;

/// What a change costs.
pub(crate) struct ChangeSlopes {
    /// Bundle between peers with the store's chunks, over organisations.
    pub(crate) bundle_bytes: SlopeSeries,
    /// Root of the store, over organisations.
    pub(crate) root_bytes: SlopeSeries,
    /// Chunks, over organisations.
    pub(crate) chunks: SlopeSeries,
    /// Bundle between peers, over the average chunk size at 25,000 organisations.
    pub(crate) bundle_by_average: SlopeSeries,
    levels: Vec<ChunkLevels>,
}

impl ChangeSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let mut slopes = Self {
            bundle_bytes: SlopeSeries::new("bundle of a change", "organisations", "B"),
            root_bytes: SlopeSeries::new("hashes in the store's root", "organisations", "B"),
            chunks: SlopeSeries::new("chunks of a configuration", "organisations", "chunks"),
            bundle_by_average: SlopeSeries::new(
                "bundle of a change at 25,000 organisations and 10,000 endpoints",
                "average chunk, B",
                "B",
            ),
            levels: Vec::new(),
        };
        for count in ORGANISATIONS {
            let config = fleet(count, 9);
            let chunks = cut(&text_of(&config), STORE_AVERAGE).len();
            slopes.chunks.push(count, vec![chunks as f64]);
            let root = chunks * ROOT_BYTES_PER_CHUNK;
            slopes.root_bytes.push(count, vec![root as f64]);
            let edits = edit_bytes(&config, STORE_AVERAGE);
            slopes.bundle_bytes.push(count, edits);
        }
        let config = fleet(25_000, ENDPOINTS);
        let text = text_of(&config);
        for average in AVERAGES {
            let edits = edit_bytes(&config, average);
            let chunks = cut(&text, average).len();
            slopes
                .levels
                .push(ChunkLevels::new(average, chunks, &edits));
            slopes.bundle_by_average.push(average, edits);
        }
        slopes
    }

    /// What each size of chunk costs at the size to design for, in the order of their sizes.
    pub(crate) fn levels(&self) -> &[ChunkLevels] {
        &self.levels
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.chunks,
            &self.root_bytes,
            &self.bundle_bytes,
            &self.bundle_by_average,
        ]
    }
}

/// What a change costs with one size of chunk.
pub(crate) struct ChunkLevels {
    average: usize,
    chunks: usize,
    /// Bundle of a change, mean over edits, in bytes.
    pub(crate) changed: f64,
    /// Hashes in a root that names all chunks, in bytes.
    pub(crate) flat_root: f64,
    /// Hashes in a root that names groups, and in one group, in bytes; worked out.
    pub(crate) two_levels: f64,
}

impl ChunkLevels {
    fn new(average: usize, chunks: usize, edits: &[f64]) -> Self {
        let per_chunk = ROOT_BYTES_PER_CHUNK as f64;
        Self {
            average,
            chunks,
            changed: edits.iter().sum::<f64>() / edits.len() as f64,
            flat_root: chunks as f64 * per_chunk,
            two_levels: 2.0 * (chunks as f64).sqrt() * per_chunk,
        }
    }
}

/// Prints, for each size of chunk, what the store's readers pay with one root and with two levels.
pub(crate) fn print_levels(levels: &[ChunkLevels]) {
    println!(
        "| average chunk, B | chunks | bundle, mean B | flat root, B | root and group in two \
         levels, B | read of a change, flat, B | two levels, B |\n|---|---|---|---|---|---|---|"
    );
    for level in levels {
        println!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            level.average,
            level.chunks,
            short(level.changed),
            short(level.flat_root),
            short(level.two_levels),
            short(level.changed + level.flat_root),
            short(level.changed + level.two_levels),
        );
    }
}

fn edit_bytes(config: &FleetConfig, average: usize) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let old = cut(&text_of(config), average);
    let mut edited = config.clone();
    (0..EDITS)
        .map(|_| {
            let at = rng.random_range(0..config.organisations.len());
            edited.organisations[at].services.push("service-1".into());
            let new = cut(&text_of(&edited), average);
            edited.organisations[at].services.pop();
            bundle(&old, &new).encode().len() as f64
        })
        .collect()
}

/// What a peer that has `old` lacks of `new`.
fn bundle(old: &[Bytes], new: &[Bytes]) -> ConfigBundle {
    let prefix = common_length(old.iter(), new.iter());
    let rest = old.len().min(new.len()) - prefix;
    let suffix = common_length(old.iter().rev(), new.iter().rev()).min(rest);
    let middle = &new[prefix..new.len() - suffix];
    let known: HashSet<&Bytes> = old.iter().collect();
    ConfigBundle {
        generation: 19_001,
        digest: [7; 32],
        base: 19_000,
        prefix: prefix as u32,
        suffix: suffix as u32,
        middle: middle.iter().map(|chunk| chunk_hash(chunk)).collect(),
        chunks: middle
            .iter()
            .filter(|chunk| !known.contains(chunk))
            .cloned()
            .collect(),
    }
}

fn common_length<'a>(
    left: impl Iterator<Item = &'a Bytes>,
    right: impl Iterator<Item = &'a Bytes>,
) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}

fn cut(text: &Bytes, average: usize) -> Vec<Bytes> {
    FastCDC::new(text, average / 4, average, average * 4)
        .map(|cut| text.slice(cut.offset..cut.offset + cut.length))
        .collect()
}
