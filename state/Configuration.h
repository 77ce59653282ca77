/// @file
/// Numbered version of the configuration.
#pragma once

#include "state/ClientAccount.h"
#include "state/DataCentreProfile.h"
#include "state/Identifier.h"
#include "state/ServiceDefinition.h"

#include <cstdint>
#include <map>

namespace lentilsaddle::state {

using ConfigurationVersion = std::uint64_t;

struct Configuration {
    /// 0 is the empty configuration before the first accepted patch.
    ConfigurationVersion version = 0;
    std::map<AccountId, ClientAccount> accounts;
    std::map<ServiceId, ServiceDefinition> services;
    std::map<DataCentreId, DataCentreProfile> dataCentres;

    bool operator==(const Configuration&) const = default;
};

/// Checks the ranges of all values, and that the guarantees in each data centre do not exceed its declared
/// accelerators.
/// @throws StateError naming the offending field.
void validate(const Configuration& configuration);

} // namespace lentilsaddle::state
