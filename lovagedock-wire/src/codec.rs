//! Conversion between typed messages and generated types.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{
    AnswerEnd, AttemptKey, ConfigBundle, CostParameters, EndpointBacklog, PullAnswer,
    RevokeVerdict, ShareStage, UsageAck, UsageEntry, UsageReport, prelude::*,
};

use crate::{
    fleet_name::{join_names, split_names},
    lovagedock_capnp as schema,
    messages::{
        AnswerHead, HeaderField, LoadMessage, PeerIdentity, SpanHolder, WireError, WorkMessage,
    },
};

const STATE_SERVING: u8 = 0;
const STATE_LEAVING: u8 = 1;
const STATE_ENGINE_DOWN: u8 = 2;
const RAN_NO: u8 = 0;
const RAN_YES: u8 = 1;
const RAN_UNKNOWN: u8 = 2;
const TIER_BATCH: u8 = 0;
const TIER_STANDARD: u8 = 1;
const TIER_INTERACTIVE: u8 = 2;
const STAGE_BY_DEMAND: u8 = 0;
const STAGE_MINIMUM: u8 = 1;
const STAGE_SILENT: u8 = 2;
const STAGE_EQUAL: u8 = 3;

pub(crate) type Decoded<T> = Result<T, WireError>;

pub(crate) fn duration_to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn duration_to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn read_text(text: capnp::Result<capnp::text::Reader<'_>>) -> Decoded<String> {
    let text = text?;
    match text.to_str() {
        Ok(text) => Ok(text.to_owned()),
        Err(_) => Err(WireError::Malformed("text is not UTF-8".to_owned())),
    }
}

pub(crate) fn write_key(key: AttemptKey, mut builder: schema::request_key::Builder<'_>) {
    builder.set_high((key.request >> 64) as u64);
    builder.set_low(key.request as u64);
    builder.set_attempt(key.attempt);
    builder.set_incarnation(key.incarnation);
}

pub(crate) fn read_key(reader: schema::request_key::Reader<'_>) -> AttemptKey {
    AttemptKey {
        request: (RequestId::from(reader.get_high()) << 64) | RequestId::from(reader.get_low()),
        attempt: reader.get_attempt(),
        incarnation: reader.get_incarnation(),
    }
}

pub(crate) fn write_hello(identity: &PeerIdentity, mut builder: schema::peer_hello::Builder<'_>) {
    builder.set_version(identity.version);
    builder.set_name(join_names(&identity.name, identity.fleet.as_ref()).as_str());
    builder.set_incarnation(identity.incarnation);
    builder.set_generation(identity.generation);
}

pub(crate) fn read_hello(reader: schema::peer_hello::Reader<'_>) -> Decoded<PeerIdentity> {
    let (name, fleet) = split_names(read_text(reader.get_name())?);
    Ok(PeerIdentity {
        version: reader.get_version(),
        name,
        incarnation: reader.get_incarnation(),
        generation: reader.get_generation(),
        fleet,
    })
}

pub(crate) fn write_welcome(
    identity: &PeerIdentity,
    mut builder: schema::peer_welcome::Builder<'_>,
) {
    builder.set_version(identity.version);
    builder.set_name(join_names(&identity.name, identity.fleet.as_ref()).as_str());
    builder.set_incarnation(identity.incarnation);
    builder.set_generation(identity.generation);
}

/// Reads a welcome and rejects a peer of another protocol version.
pub(crate) fn read_welcome(reader: schema::peer_welcome::Reader<'_>) -> Decoded<PeerIdentity> {
    let version = reader.get_version();
    if version != crate::PROTOCOL_VERSION {
        return Err(WireError::OtherVersion(version));
    }
    let (name, fleet) = split_names(read_text(reader.get_name())?);
    Ok(PeerIdentity {
        version,
        name,
        incarnation: reader.get_incarnation(),
        generation: reader.get_generation(),
        fleet,
    })
}

type HeaderListBuilder<'a> = capnp::struct_list::Builder<'a, schema::header_field::Owned>;
type HeaderListReader<'a> = capnp::struct_list::Reader<'a, schema::header_field::Owned>;

fn write_headers(headers: &[HeaderField], mut builder: HeaderListBuilder<'_>) {
    for (index, header) in (0_u32..).zip(headers) {
        let mut field = builder.reborrow().get(index);
        field.set_name(header.name.as_str());
        field.set_value(&header.value);
    }
}

fn read_headers(reader: HeaderListReader<'_>) -> Decoded<Vec<HeaderField>> {
    let mut headers = Vec::with_capacity(reader.len() as usize);
    for field in reader {
        headers.push(HeaderField {
            name: read_text(field.get_name())?,
            value: Bytes::copy_from_slice(field.get_value()?),
        });
    }
    Ok(headers)
}

fn tier_number(tier: PriorityTier) -> u8 {
    match tier {
        PriorityTier::Batch => TIER_BATCH,
        PriorityTier::Standard => TIER_STANDARD,
        PriorityTier::Interactive => TIER_INTERACTIVE,
    }
}

fn read_tier(number: u8) -> Decoded<PriorityTier> {
    match number {
        TIER_BATCH => Ok(PriorityTier::Batch),
        TIER_STANDARD => Ok(PriorityTier::Standard),
        TIER_INTERACTIVE => Ok(PriorityTier::Interactive),
        other => Err(WireError::Malformed(format!("unknown tier {other}"))),
    }
}

pub(crate) fn write_work(work: &WorkMessage, mut builder: schema::work_order::Builder<'_>) {
    write_key(work.key, builder.reborrow().init_key());
    builder.set_service(&*work.service);
    builder.set_organisation(&*work.organisation);
    builder.set_tier(tier_number(work.tier));
    builder.set_remaining_ms(duration_to_millis(work.remaining));
    builder.set_prompt_tokens(work.prompt_tokens);
    builder.set_answer_tokens(work.answer_tokens);
    builder.set_weight(work.weight);
    builder.set_non_idempotent(work.non_idempotent);
    builder.set_predicted_ms(duration_to_millis(work.predicted));
    builder.set_method(work.method.as_str());
    builder.set_path(work.path.as_str());
    builder.set_body(&work.body);
    let mut span = builder.reborrow().init_span(list_length(work.span.len()));
    for (index, holder) in (0_u32..).zip(&work.span) {
        let mut part = span.reborrow().get(index);
        part.set_locator(holder.locator.as_str());
        part.set_tokens(holder.tokens);
    }
    write_headers(
        &work.headers,
        builder.init_headers(list_length(work.headers.len())),
    );
}

pub(crate) fn read_work(reader: schema::work_order::Reader<'_>) -> Decoded<WorkMessage> {
    let mut span = Vec::new();
    for holder in reader.get_span()? {
        span.push(SpanHolder {
            locator: read_text(holder.get_locator())?,
            tokens: holder.get_tokens(),
        });
    }
    Ok(WorkMessage {
        key: read_key(reader.get_key()?),
        service: read_text(reader.get_service())?.into(),
        organisation: read_text(reader.get_organisation())?.into(),
        tier: read_tier(reader.get_tier())?,
        weight: reader.get_weight(),
        remaining: Duration::from_millis(reader.get_remaining_ms()),
        prompt_tokens: reader.get_prompt_tokens(),
        answer_tokens: reader.get_answer_tokens(),
        non_idempotent: reader.get_non_idempotent(),
        predicted: Duration::from_millis(reader.get_predicted_ms()),
        span,
        method: read_text(reader.get_method())?,
        path: read_text(reader.get_path())?,
        headers: read_headers(reader.get_headers()?)?,
        body: Bytes::copy_from_slice(reader.get_body()?),
    })
}

pub(crate) fn write_head(head: &AnswerHead, mut builder: schema::answer_head::Builder<'_>) {
    builder.set_status(head.status);
    write_headers(
        &head.headers,
        builder.init_headers(list_length(head.headers.len())),
    );
}

pub(crate) fn read_head(reader: schema::answer_head::Reader<'_>) -> Decoded<AnswerHead> {
    Ok(AnswerHead {
        status: reader.get_status(),
        headers: read_headers(reader.get_headers()?)?,
    })
}

fn ran_number(ran: RanState) -> u8 {
    match ran {
        RanState::No => RAN_NO,
        RanState::Yes => RAN_YES,
        RanState::Unknown => RAN_UNKNOWN,
    }
}

/// Values other than "no" and "yes" count as unknown: an undefined value from a newer peer must not
/// be read as a definite statement.
fn read_ran(number: u8) -> RanState {
    match number {
        RAN_NO => RanState::No,
        RAN_YES => RanState::Yes,
        _ => RanState::Unknown,
    }
}

pub(crate) fn write_end(end: &AnswerEnd, mut builder: schema::answer_end::Builder<'_>) {
    builder.set_code(end.code.number());
    builder.set_length(end.length);
    if let Some(digest) = &end.digest {
        builder.set_digest(digest);
    }
    builder.set_ran(ran_number(end.ran));
    builder.set_retry_after_ms(duration_to_millis(end.retry_after));
    builder.set_detail(end.detail.as_str());
    builder.set_prompt_tokens(end.prompt_tokens);
    builder.set_cached_tokens(end.cached_tokens);
    builder.set_answer_tokens(end.answer_tokens);
    builder.set_engine_ended(end.engine_ended);
}

pub(crate) fn read_end(reader: schema::answer_end::Reader<'_>) -> Decoded<AnswerEnd> {
    let number = reader.get_code();
    let Some(code) = ResultCode::from_number(number) else {
        return Err(WireError::Malformed(format!(
            "unknown result code {number}"
        )));
    };
    Ok(AnswerEnd {
        code,
        ran: read_ran(reader.get_ran()),
        length: reader.get_length(),
        digest: reader.get_digest()?.try_into().ok(),
        retry_after: Duration::from_millis(reader.get_retry_after_ms()),
        detail: read_text(reader.get_detail())?,
        prompt_tokens: reader.get_prompt_tokens(),
        cached_tokens: reader.get_cached_tokens(),
        answer_tokens: reader.get_answer_tokens(),
        engine_ended: reader.get_engine_ended(),
    })
}

pub(crate) fn write_verdict(verdict: RevokeVerdict) -> schema::RevokeVerdict {
    match verdict {
        RevokeVerdict::Revoked => schema::RevokeVerdict::Revoked,
        RevokeVerdict::Running => schema::RevokeVerdict::Running,
        RevokeVerdict::Ended => schema::RevokeVerdict::Ended,
        RevokeVerdict::OtherIncarnation => schema::RevokeVerdict::OtherLife,
    }
}

pub(crate) fn read_verdict(verdict: schema::RevokeVerdict) -> RevokeVerdict {
    match verdict {
        schema::RevokeVerdict::Revoked => RevokeVerdict::Revoked,
        schema::RevokeVerdict::Running => RevokeVerdict::Running,
        schema::RevokeVerdict::Ended => RevokeVerdict::Ended,
        schema::RevokeVerdict::OtherLife => RevokeVerdict::OtherIncarnation,
    }
}

pub(crate) fn write_load(load: &LoadMessage, mut builder: schema::load_report::Builder<'_>) {
    let state = match (load.engine_down, load.leaving) {
        (true, _) => STATE_ENGINE_DOWN,
        (false, true) => STATE_LEAVING,
        (false, false) => STATE_SERVING,
    };
    builder.set_sequence(load.sequence);
    builder.set_state(state);
    builder.set_memory_tokens(load.memory_tokens);
    builder.set_free_tokens(load.free_tokens);
    builder.set_queued(load.queued);
    builder.set_queued_tokens(load.queued_tokens);
    builder.set_running(load.running);
    builder.set_running_long(load.running_long);
    builder.set_prefill_tokens_left(load.prefill_tokens_left);
    builder.set_backlog_all_us(duration_to_micros(load.backlog.all));
    builder.set_backlog_short_us(duration_to_micros(load.backlog.short));
    builder.set_prefill_ns_per_token(load.cost.prefill_ns_per_token);
    builder.set_prefill_ns_per_token_squared(load.cost.prefill_ns_per_token_squared);
    builder.set_decode_ns(load.cost.decode_ns);
    builder.set_generation(load.generation);
    let mut prefixes = builder.init_cached_prefixes(list_length(load.cached_prefixes.len()));
    for (index, prefix) in (0_u32..).zip(&load.cached_prefixes) {
        prefixes.set(index, *prefix);
    }
}

pub(crate) fn read_load(reader: schema::load_report::Reader<'_>) -> Decoded<LoadMessage> {
    Ok(LoadMessage {
        sequence: reader.get_sequence(),
        leaving: reader.get_state() == STATE_LEAVING,
        engine_down: reader.get_state() == STATE_ENGINE_DOWN,
        memory_tokens: reader.get_memory_tokens(),
        free_tokens: reader.get_free_tokens(),
        queued: reader.get_queued(),
        queued_tokens: reader.get_queued_tokens(),
        running: reader.get_running(),
        running_long: reader.get_running_long(),
        prefill_tokens_left: reader.get_prefill_tokens_left(),
        backlog: EndpointBacklog {
            all: Duration::from_micros(reader.get_backlog_all_us()),
            short: Duration::from_micros(reader.get_backlog_short_us()),
        },
        cost: CostParameters {
            prefill_ns_per_token: reader.get_prefill_ns_per_token(),
            prefill_ns_per_token_squared: reader.get_prefill_ns_per_token_squared(),
            decode_ns: reader.get_decode_ns(),
        },
        generation: reader.get_generation(),
        cached_prefixes: reader.get_cached_prefixes()?.iter().collect(),
    })
}

pub(crate) fn write_usage(report: &UsageReport, mut builder: schema::usage_report::Builder<'_>) {
    builder.set_sequence(report.sequence);
    builder.set_base(report.base);
    builder.set_stage(stage_number(report.stage));
    let mut list = builder.init_entries(list_length(report.entries.len()));
    for (index, entry) in (0_u32..).zip(&report.entries) {
        let mut item = list.reborrow().get(index);
        item.set_organisation(&*entry.organisation);
        item.set_requests(entry.requests);
        item.set_tokens(entry.tokens);
        item.set_in_flight(entry.in_flight);
    }
}

pub(crate) fn read_usage(reader: schema::usage_report::Reader<'_>) -> Decoded<UsageReport> {
    let mut entries = Vec::new();
    for entry in reader.get_entries()? {
        entries.push(UsageEntry {
            organisation: read_text(entry.get_organisation())?.into(),
            requests: entry.get_requests(),
            tokens: entry.get_tokens(),
            in_flight: entry.get_in_flight(),
        });
    }
    Ok(UsageReport {
        sequence: reader.get_sequence(),
        base: reader.get_base(),
        stage: read_stage(reader.get_stage())?,
        entries,
    })
}

pub(crate) fn read_bundle(bytes: &[u8]) -> Decoded<ConfigBundle> {
    ConfigBundle::decode(bytes).map_err(|_| WireError::Malformed("configuration bundle".to_owned()))
}

pub(crate) fn write_pull_answer(
    answer: &PullAnswer,
    mut builder: schema::peer_session::pull_results::Builder<'_>,
) {
    builder.set_generation(answer.generation);
    if let Some(bundle) = &answer.bundle {
        builder.set_bundle(&bundle.encode());
    }
}

pub(crate) fn read_pull_answer(
    reader: schema::peer_session::pull_results::Reader<'_>,
) -> Decoded<PullAnswer> {
    let bytes = reader.get_bundle()?;
    let bundle = (!bytes.is_empty()).then(|| read_bundle(bytes));
    Ok(PullAnswer {
        generation: reader.get_generation(),
        bundle: bundle.transpose()?,
    })
}

pub(crate) fn write_ack(ack: UsageAck, mut builder: schema::usage_ack::Builder<'_>) {
    builder.set_sequence(ack.sequence);
    builder.set_stage(stage_number(ack.stage));
}

pub(crate) fn read_ack(reader: schema::usage_ack::Reader<'_>) -> Decoded<UsageAck> {
    Ok(UsageAck {
        sequence: reader.get_sequence(),
        stage: read_stage(reader.get_stage())?,
    })
}

fn stage_number(stage: ShareStage) -> u8 {
    match stage {
        ShareStage::ByDemand => STAGE_BY_DEMAND,
        ShareStage::Minimum => STAGE_MINIMUM,
        ShareStage::Silent => STAGE_SILENT,
        ShareStage::Equal => STAGE_EQUAL,
    }
}

fn read_stage(number: u8) -> Decoded<ShareStage> {
    match number {
        STAGE_BY_DEMAND => Ok(ShareStage::ByDemand),
        STAGE_MINIMUM => Ok(ShareStage::Minimum),
        STAGE_SILENT => Ok(ShareStage::Silent),
        STAGE_EQUAL => Ok(ShareStage::Equal),
        other => Err(WireError::Malformed(format!("unknown share stage {other}"))),
    }
}

pub(crate) fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
