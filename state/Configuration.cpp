#include "state/Configuration.h"

#include "state/RangeCheck.h"
#include "state/StateError.h"

#include <string>

namespace lentilsaddle::state {

namespace {

    constexpr int maximumWeight = 1000;
    constexpr int maximumGuaranteedAccelerators = 512;
    constexpr int maximumAcceleratorsPerWorker = 8;

    void validateGuarantee(const Configuration& configuration, const std::string& field, const Guarantee& guarantee)
    {
        requireRange(field + ".accelerators", guarantee.accelerators, 1, maximumGuaranteedAccelerators);
        requireRange(field + ".count", guarantee.count, 1, maximumGuaranteedAccelerators);
        auto dataCentre = configuration.dataCentres.find(guarantee.dataCentre);
        if (dataCentre == configuration.dataCentres.end())
            throw StateError(field + ".data_centre", "unknown data centre '" + guarantee.dataCentre.value() + "'");
        if (guarantee.adjacency == Adjacency::Worker)
            requireRange(field + ".accelerators", guarantee.accelerators, 1, maximumAcceleratorsPerWorker);
        int perRack = dataCentre->second.acceleratorsPerRack;
        if (guarantee.adjacency == Adjacency::Rack && perRack > 0)
            requireRange(field + ".accelerators", guarantee.accelerators, 1, perRack);
    }

    void validateAccounts(const Configuration& configuration)
    {
        std::map<DataCentreId, long> guaranteed;
        for (const auto& [id, account] : configuration.accounts) {
            std::string field = "accounts." + id.value();
            requireRange(field + ".weight", account.weight, 1, maximumWeight);
            for (std::size_t i = 0; i < account.guarantees.size(); ++i) {
                const Guarantee& guarantee = account.guarantees[i];
                std::string guaranteeField = field + ".guarantees[" + std::to_string(i) + "]";
                validateGuarantee(configuration, guaranteeField, guarantee);
                long& total = guaranteed[guarantee.dataCentre];
                total += static_cast<long>(guarantee.accelerators) * guarantee.count;
                int declared = configuration.dataCentres.at(guarantee.dataCentre).accelerators;
                if (declared > 0 && total > declared)
                    throw StateError(guaranteeField,
                        "guarantees promise " + std::to_string(total) + " accelerators in '"
                            + guarantee.dataCentre.value() + "', which has " + std::to_string(declared));
            }
        }
    }

} // namespace

void validate(const Configuration& configuration)
{
    for (const auto& [id, profile] : configuration.dataCentres) {
        std::string field = "data_centres." + id.value();
        if (!(profile.completionWeight >= 0 && profile.completionWeight <= 1))
            throw StateError(field + ".completion_weight", "must be 0 to 1");
        requireRange(field + ".accelerators", profile.accelerators, 0, 1'000'000);
        requireRange(field + ".accelerators_per_rack", profile.acceleratorsPerRack, 0, 1'000'000);
    }
    for (const auto& [id, service] : configuration.services) {
        std::string field = "services." + id.value();
        requireRange(field + ".slots_per_server", service.slotsPerServer, 1, 1024);
        requireRange(field + ".connections_per_server", service.connectionsPerServer, 1, 65536);
    }
    validateAccounts(configuration);
}

} // namespace lentilsaddle::state
