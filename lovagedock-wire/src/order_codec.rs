//! Conversion between orders and generated types.

use lovagedock::{Artifact, ArtifactSet, LoadOrder, LoadedReport, prelude::*};

use crate::{
    codec::{list_length, read_text},
    lovagedock_capnp as schema,
    messages::{OrderMessage, OrderReply, WireError},
};

const KIND_QUERY: u8 = 0;
const KIND_MODEL: u8 = 1;
const KIND_ADAPTER: u8 = 2;

type Decoded<T> = Result<T, WireError>;

fn write_artifact(artifact: &Artifact, mut builder: schema::artifact::Builder<'_>) {
    builder.set_id(artifact.id.as_str());
    builder.set_version(artifact.version.as_str());
}

fn read_artifact(reader: schema::artifact::Reader<'_>) -> Decoded<Artifact> {
    Ok(Artifact {
        id: read_text(reader.get_id())?,
        version: read_text(reader.get_version())?,
    })
}

pub(crate) fn write_order(message: &OrderMessage, mut builder: schema::leased_order::Builder<'_>) {
    builder.set_pool(&*message.pool);
    builder.set_epoch(message.epoch);
    builder.set_sequence(message.sequence);
    builder.set_generation(message.generation);
    builder.set_kind(match &message.order {
        None => KIND_QUERY,
        Some(LoadOrder::Model(_)) => KIND_MODEL,
        Some(LoadOrder::Adapter(_)) => KIND_ADAPTER,
    });
    if let Some(order) = &message.order {
        write_artifact(order.artifact(), builder.init_artifact());
    }
}

pub(crate) fn read_order(reader: schema::leased_order::Reader<'_>) -> Decoded<OrderMessage> {
    let order = match reader.get_kind() {
        KIND_QUERY => None,
        KIND_MODEL => Some(LoadOrder::Model(read_artifact(reader.get_artifact()?)?)),
        KIND_ADAPTER => Some(LoadOrder::Adapter(read_artifact(reader.get_artifact()?)?)),
        other => return Err(WireError::Malformed(format!("unknown order kind {other}"))),
    };
    Ok(OrderMessage {
        pool: read_text(reader.get_pool())?.into(),
        epoch: reader.get_epoch(),
        sequence: reader.get_sequence(),
        generation: reader.get_generation(),
        order,
    })
}

pub(crate) fn write_reply(reply: &OrderReply, mut builder: schema::order_reply::Builder<'_>) {
    builder.set_code(reply.code.number());
    builder.set_detail(reply.detail.as_str());
    builder.set_highest(reply.report.highest);
    builder.set_busy(reply.report.busy);
    builder.set_unsettled(reply.report.unsettled);
    let Some(loaded) = &reply.report.loaded else {
        return;
    };
    builder.set_known(true);
    write_artifact(&loaded.model, builder.reborrow().init_model());
    let mut list = builder.init_adapters(list_length(loaded.adapters.len()));
    for (index, adapter) in (0_u32..).zip(&loaded.adapters) {
        write_artifact(adapter, list.reborrow().get(index));
    }
}

pub(crate) fn read_reply(reader: schema::order_reply::Reader<'_>) -> Decoded<OrderReply> {
    let number = reader.get_code();
    let Some(code) = ResultCode::from_number(number) else {
        let detail = format!("unknown result code {number}");
        return Err(WireError::Malformed(detail));
    };
    let loaded = match reader.get_known() {
        true => Some(read_set(reader)?),
        false => None,
    };
    Ok(OrderReply {
        code,
        detail: read_text(reader.get_detail())?,
        report: LoadedReport {
            loaded,
            busy: reader.get_busy(),
            unsettled: reader.get_unsettled(),
            highest: reader.get_highest(),
        },
    })
}

fn read_set(reader: schema::order_reply::Reader<'_>) -> Decoded<ArtifactSet> {
    let mut adapters = Vec::new();
    for adapter in reader.get_adapters()? {
        adapters.push(read_artifact(adapter)?);
    }
    Ok(ArtifactSet {
        model: read_artifact(reader.get_model()?)?,
        adapters,
    })
}
