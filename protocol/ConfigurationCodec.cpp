#include "protocol/ConfigurationCodec.h"

#include "protocol/JsonReader.h"
#include "protocol/ProtocolError.h"
#include "state/Configuration.h"
#include "state/StateError.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace lentilsaddle::protocol {

using nlohmann::json;

namespace {

    // Ranges are checked by state::validate(); the decoder only rejects values outside the range of their C++ types.
    constexpr long maximumInteger = std::numeric_limits<int>::max();

    json encodeGuarantee(const state::Guarantee& guarantee)
    {
        return {
            { "data_centre", guarantee.dataCentre.value() },
            { "accelerators", guarantee.accelerators },
            { "adjacency", std::string(state::toString(guarantee.adjacency)) },
            { "count", guarantee.count },
        };
    }

    state::Guarantee decodeGuarantee(const json& value, const std::string& path)
    {
        JsonReader reader(value, path);
        state::Guarantee guarantee;
        guarantee.dataCentre = state::DataCentreId(reader.string("data_centre"));
        guarantee.accelerators = static_cast<int>(reader.integer("accelerators", 1, maximumInteger));
        std::string adjacency = reader.stringOr("adjacency", "rack");
        auto level = state::adjacencyFromString(adjacency);
        if (!level)
            throw ProtocolError(reader.path("adjacency"), "must be worker, rack or data_centre");
        guarantee.adjacency = *level;
        guarantee.count = static_cast<int>(reader.integerOr("count", 1, maximumInteger, 1));
        reader.requireNoOtherFields();
        return guarantee;
    }

    json encodeAccount(const state::ClientAccount& account)
    {
        json guarantees = json::array();
        for (const state::Guarantee& guarantee : account.guarantees)
            guarantees.push_back(encodeGuarantee(guarantee));
        return { { "weight", account.weight }, { "guarantees", guarantees } };
    }

    state::ClientAccount decodeAccount(const std::string& id, const json& value, const std::string& path)
    {
        JsonReader reader(value, path);
        state::ClientAccount account;
        account.id = state::AccountId(id);
        account.weight = static_cast<int>(reader.integerOr("weight", 1, maximumInteger, 1));
        if (reader.has("guarantees")) {
            const json& guarantees = reader.array("guarantees");
            for (std::size_t i = 0; i < guarantees.size(); ++i)
                account.guarantees.push_back(
                    decodeGuarantee(guarantees[i], path + ".guarantees[" + std::to_string(i) + "]"));
        }
        reader.requireNoOtherFields();
        return account;
    }

    state::ServiceDefinition decodeService(const std::string& id, const json& value, const std::string& path)
    {
        JsonReader reader(value, path);
        state::ServiceDefinition service;
        service.id = state::ServiceId(id);
        service.slotsPerServer
            = static_cast<int>(reader.integerOr("slots_per_server", 1, maximumInteger, service.slotsPerServer));
        service.connectionsPerServer = static_cast<int>(
            reader.integerOr("connections_per_server", 1, maximumInteger, service.connectionsPerServer));
        reader.requireNoOtherFields();
        return service;
    }

    state::DataCentreProfile decodeDataCentre(const std::string& id, const json& value, const std::string& path)
    {
        JsonReader reader(value, path);
        state::DataCentreProfile profile;
        profile.id = state::DataCentreId(id);
        profile.completionWeight = reader.numberOr("completion_weight", 0, 1, profile.completionWeight);
        profile.accelerators = static_cast<int>(reader.integerOr("accelerators", 0, maximumInteger, 0));
        profile.acceleratorsPerRack = static_cast<int>(reader.integerOr("accelerators_per_rack", 0, maximumInteger, 0));
        reader.requireNoOtherFields();
        return profile;
    }

    json toJson(const state::Configuration& configuration)
    {
        json accounts = json::object();
        for (const auto& [id, account] : configuration.accounts)
            accounts[id.value()] = encodeAccount(account);
        json services = json::object();
        for (const auto& [id, service] : configuration.services)
            services[id.value()] = { { "slots_per_server", service.slotsPerServer },
                { "connections_per_server", service.connectionsPerServer } };
        json dataCentres = json::object();
        for (const auto& [id, profile] : configuration.dataCentres) {
            dataCentres[id.value()] = {
                { "completion_weight", profile.completionWeight },
                { "accelerators", profile.accelerators },
                { "accelerators_per_rack", profile.acceleratorsPerRack },
            };
        }
        return { { "accounts", accounts }, { "services", services }, { "data_centres", dataCentres } };
    }

    state::Configuration fromJson(const json& document)
    {
        JsonReader reader(document, "");
        state::Configuration configuration;
        if (reader.has("accounts")) {
            for (const auto& [id, value] : reader.object("accounts").items())
                configuration.accounts.emplace(state::AccountId(id), decodeAccount(id, value, "accounts." + id));
        }
        if (reader.has("services")) {
            for (const auto& [id, value] : reader.object("services").items())
                configuration.services.emplace(state::ServiceId(id), decodeService(id, value, "services." + id));
        }
        if (reader.has("data_centres")) {
            for (const auto& [id, value] : reader.object("data_centres").items())
                configuration.dataCentres.emplace(
                    state::DataCentreId(id), decodeDataCentre(id, value, "data_centres." + id));
        }
        configuration.version = static_cast<state::ConfigurationVersion>(
            reader.integerOr("version", 0, std::numeric_limits<long>::max(), 0));
        reader.requireNoOtherFields();
        return configuration;
    }

} // namespace

std::string encodeConfiguration(const state::Configuration& configuration)
{
    json document = toJson(configuration);
    document["version"] = configuration.version;
    return document.dump();
}

state::Configuration decodeConfiguration(const std::string& document)
{
    state::Configuration configuration = fromJson(JsonReader::parse(document));
    try {
        state::validate(configuration);
    } catch (const state::StateError& error) {
        std::throw_with_nested(ProtocolError(error.field(), "is out of range"));
    }
    return configuration;
}

state::Configuration applyMergePatch(const state::Configuration& base, const std::string& mergePatch)
{
    try {
        json patch = JsonReader::parse(mergePatch);
        if (!patch.is_object())
            throw ProtocolError("merge_patch", "must be a JSON object");
        if (patch.contains("version"))
            throw ProtocolError("version", "is assigned by the system");
        json document = toJson(base);
        document.merge_patch(patch);
        return fromJson(document);
    } catch (const ProtocolError& error) {
        std::string message = error.what();
        throw state::StateError(error.field(), message.substr(error.field().size() + 2));
    }
}

} // namespace lentilsaddle::protocol
