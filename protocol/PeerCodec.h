/// @file
/// Conversion between the messages of the Peer service and the types of the other layers.
#pragma once

#include "protocol/LogClient.h"
#include "protocol/PeerStatus.h"
#include "state/Record.h"
#include "state/TimelineEvent.h"

#include <optional>
#include <vector>

namespace lentilsaddle::wire {
class PeerStatus;
class ReadConfigurationAnswer;
class ReadLogAnswer;
class ReadTimelineAnswer;
} // namespace lentilsaddle::wire

namespace lentilsaddle::protocol {

void encode(const PeerStatus& status, wire::PeerStatus& out);
PeerStatus decode(const wire::PeerStatus& in);

void encode(const LogClient::ReadResult& result, wire::ReadLogAnswer& out);
LogClient::ReadResult decode(const wire::ReadLogAnswer& in);

void encode(const std::vector<state::TimelineEvent>& events, wire::ReadTimelineAnswer& out);
std::vector<state::TimelineEvent> decode(const wire::ReadTimelineAnswer& in);

void encode(const std::optional<state::Record::ConfigurationSnapshot>& snapshot, wire::ReadConfigurationAnswer& out);

/// @return the snapshot, or std::nullopt if the response contains none or it cannot be decoded.
std::optional<state::Record::ConfigurationSnapshot> decode(const wire::ReadConfigurationAnswer& in);

} // namespace lentilsaddle::protocol
