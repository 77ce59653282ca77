#include "protocol/PeerCodec.h"

#include "peer.pb.h"
#include "protocol/ProtocolError.h"
#include "protocol/RecordCodec.h"

#include <chrono>
#include <utility>

namespace lentilsaddle::protocol {

using state::Record;

void encode(const PeerStatus& status, wire::PeerStatus& out)
{
    out.set_instance(status.instance.value());
    out.set_incarnation(status.incarnation);
    out.set_data_centre(status.dataCentre.value());
    out.set_configuration_version(status.configurationVersion);
    out.set_scheduler_epoch(status.schedulerEpoch);
    out.set_scheduler(status.scheduler.value());
    out.set_draining(status.draining);
    out.set_log_reachable(status.logReachable);
}

PeerStatus decode(const wire::PeerStatus& in)
{
    return {
        .instance = state::InstanceId(in.instance()),
        .incarnation = in.incarnation(),
        .dataCentre = state::DataCentreId(in.data_centre()),
        .configurationVersion = in.configuration_version(),
        .schedulerEpoch = in.scheduler_epoch(),
        .scheduler = state::InstanceId(in.scheduler()),
        .draining = in.draining(),
        .logReachable = in.log_reachable(),
    };
}

void encode(const LogClient::ReadResult& result, wire::ReadLogAnswer& out)
{
    for (const LogClient::EncodedRecord& record : result.records) {
        wire::LogRecord* entry = out.add_records();
        entry->set_offset(record.offset);
        entry->set_data(record.bytes);
    }
    out.set_next_offset(result.nextOffset);
    out.set_oldest_offset(result.oldestOffset);
    out.set_expired(result.status == LogClient::ReadResult::Status::Expired);
}

LogClient::ReadResult decode(const wire::ReadLogAnswer& in)
{
    using Status = LogClient::ReadResult::Status;
    LogClient::ReadResult result {
        .status = in.expired() ? Status::Expired : Status::Records,
        .records = {},
        .nextOffset = in.next_offset(),
        .oldestOffset = in.oldest_offset(),
        .error = {},
    };
    for (const wire::LogRecord& record : in.records())
        result.records.push_back({ .offset = record.offset(), .bytes = record.data() });
    return result;
}

void encode(const std::vector<state::TimelineEvent>& events, wire::ReadTimelineAnswer& out)
{
    for (const state::TimelineEvent& event : events) {
        wire::TimelineEvent* entry = out.add_events();
        entry->set_time_us(event.time.time_since_epoch().count());
        entry->set_instance(event.instance.value());
        entry->set_sequence(event.sequence);
        entry->set_subject(event.subject);
        entry->set_kind(event.kind);
        entry->set_detail(event.detail);
    }
}

std::vector<state::TimelineEvent> decode(const wire::ReadTimelineAnswer& in)
{
    std::vector<state::TimelineEvent> events;
    for (const wire::TimelineEvent& entry : in.events()) {
        events.push_back({
            .time = state::WallTime(std::chrono::microseconds(entry.time_us())),
            .instance = state::InstanceId(entry.instance()),
            .sequence = entry.sequence(),
            .subject = entry.subject(),
            .kind = entry.kind(),
            .detail = entry.detail(),
        });
    }
    return events;
}

void encode(const std::optional<Record::ConfigurationSnapshot>& snapshot, wire::ReadConfigurationAnswer& out)
{
    if (snapshot)
        out.set_record(encodeRecord({ .origin = {}, .body = *snapshot }));
}

std::optional<Record::ConfigurationSnapshot> decode(const wire::ReadConfigurationAnswer& in)
{
    if (in.record().empty())
        return std::nullopt;
    try {
        Record record = decodeRecord(in.record());
        if (auto* snapshot = std::get_if<Record::ConfigurationSnapshot>(&record.body))
            return std::move(*snapshot);
    } catch (const ProtocolError&) {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace lentilsaddle::protocol
