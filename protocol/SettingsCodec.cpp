#include "protocol/SettingsCodec.h"

#include "protocol/Endpoint.h"
#include "protocol/ProtocolError.h"
#include "state/Settings.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

namespace lentilsaddle::protocol {

using state::Settings;

namespace {

    // One key of the settings file.
    struct Key {
        std::string path;
        bool required = false;
        // Whether a key without a value keeps its default. Only for facts about the machine, which the platform may not
        // know, and for preferences: a default in place of a protocol time or an address would be a guess.
        bool mayBeUnset = false;
        // Allowed values with their unit, for error messages.
        std::string allowed;
        // Returns false if the text is outside the allowed values.
        std::function<bool(Settings&, const std::string&)> assign;
    };

    // Whether the template of the settings had no value for a key: the scalar is empty, or the placeholder was left as
    // it is, which YAML reads as a mapping with a mapping as its key unless it is quoted.
    bool isUnset(const YAML::Node& value)
    {
        if (value.IsNull())
            return true;
        if (value.IsMap())
            return value.size() == 1 && value.begin()->first.IsMap();
        if (!value.IsScalar())
            return false;
        const std::string& text = value.Scalar();
        return text.empty() || (text.starts_with("{{") && text.ends_with("}}"));
    }

    std::optional<long> parseInteger(const std::string& text)
    {
        try {
            std::size_t end = 0;
            long value = std::stol(text, &end);
            return end == text.size() ? std::optional(value) : std::nullopt;
        } catch (const std::exception&) {
            return std::nullopt;
        }
    }

    Key integerKey(const std::string& path, long low, long high, const std::string& unit,
        const std::function<void(Settings&, long)>& set)
    {
        return {
            .path = path,
            .required = false,
            .allowed = "an integer from " + std::to_string(low) + " to " + std::to_string(high)
                + (unit.empty() ? "" : " (" + unit + ")"),
            .assign =
                [low, high, set](Settings& settings, const std::string& text) {
                    auto value = parseInteger(text);
                    if (!value || *value < low || *value > high)
                        return false;
                    set(settings, *value);
                    return true;
                },
        };
    }

    Key textKey(const std::string& path, bool required, const std::string& allowed,
        const std::function<bool(const std::string&)>& isValid,
        const std::function<void(Settings&, const std::string&)>& set)
    {
        return {
            .path = path,
            .required = required,
            .allowed = allowed,
            .assign =
                [isValid, set](Settings& settings, const std::string& text) {
                    if (!isValid(text))
                        return false;
                    set(settings, text);
                    return true;
                },
        };
    }

    Key mayBeUnset(Key key)
    {
        key.mayBeUnset = true;
        return key;
    }

    bool isName(const std::string& text)
    {
        if (text.empty() || text.size() > 63)
            return false;
        return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string::npos;
    }

    bool isIpv4Address(const std::string& text)
    {
        std::istringstream input(text);
        std::string part;
        int parts = 0;
        while (std::getline(input, part, '.')) {
            auto value = parseInteger(part);
            if (!value || *value < 0 || *value > 255)
                return false;
            ++parts;
        }
        return parts == 4 && text.back() != '.';
    }

    // Port 0 lets the system choose.
    bool isListenAddress(const std::string& text)
    {
        return isEndpoint(text, 0);
    }

    std::optional<double> parseProcessors(const std::string& text)
    {
        constexpr double maximumProcessors = 1'024;
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool valid
            = error == std::errc {} && end == text.data() + text.size() && value >= 0 && value <= maximumProcessors;
        return valid ? std::optional(value) : std::nullopt;
    }

    constexpr long maximumDescriptors = 1'048'576;
    constexpr long maximumMemoryMegabytes = 1'048'576;

    std::vector<Key> makeBatchKeys()
    {
        using std::chrono::milliseconds;
        const std::string endpointRule = "an IPv4 address and a port such as 10.0.0.1:8100";
        return {
            textKey("batch.front", false, endpointRule, isListenAddress,
                [](Settings& s, const std::string& v) { s.batch.apiAddress = v; }),
            textKey("batch.ready", false, endpointRule, isListenAddress,
                [](Settings& s, const std::string& v) { s.batch.readyAddress = v; }),
            textKey("batch.metrics", false, endpointRule, isListenAddress,
                [](Settings& s, const std::string& v) { s.batch.metricsAddress = v; }),
            integerKey("batch.worker_lease_limit_ms", 2'000, 600'000, "milliseconds",
                [](Settings& s, long v) { s.batch.workerLeaseLimit = milliseconds(v); }),
            integerKey("batch.stop_grace_ms", 0, 60'000, "milliseconds",
                [](Settings& s, long v) { s.batch.stopGrace = milliseconds(v); }),
            integerKey("batch.gang_timeout_ms", 500, 600'000, "milliseconds",
                [](Settings& s, long v) { s.batch.gangTimeout = milliseconds(v); }),
            // A deployment without this bound has no limit, as if the key were left out.
            mayBeUnset(integerKey("batch.evacuation_limit_ms", 0, 600'000, "milliseconds, 0 for no limit",
                [](Settings& s, long v) { s.batch.evacuationLimit = milliseconds(v); })),
            mayBeUnset(textKey(
                "batch.learn_run_times", false, "true or false",
                [](const std::string& v) { return v == "true" || v == "false"; },
                [](Settings& s, const std::string& v) { s.batch.learnRunTimes = v == "true"; })),
            mayBeUnset(textKey(
                "batch.processors", false, "a number of processors such as 0.25, at most 1024",
                [](const std::string& v) { return parseProcessors(v).has_value(); },
                [](Settings& s, const std::string& v) { s.batch.processors = *parseProcessors(v); })),
            mayBeUnset(integerKey("batch.descriptors", 0, maximumDescriptors, "0 if unknown",
                [](Settings& s, long v) { s.batch.descriptors = static_cast<std::size_t>(v); })),
            mayBeUnset(integerKey("batch.memory_mb", 0, maximumMemoryMegabytes, "megabytes, 0 if unknown",
                [](Settings& s, long v) { s.batch.memoryMegabytes = static_cast<std::size_t>(v); })),
        };
    }

    std::function<bool(const std::string&)> oneOf(std::set<std::string> values)
    {
        return [values = std::move(values)](const std::string& text) { return values.contains(text); };
    }

    std::vector<Key> makeKeys()
    {
        using std::chrono::milliseconds;
        using std::chrono::seconds;
        constexpr long maximumPort = std::numeric_limits<std::uint16_t>::max();
        const std::string nameRule = "1 to 63 characters of a-z, 0-9 and -";
        const std::string addressRule = "an IPv4 address such as 10.0.0.1";
        return {
            textKey("instance", true, nameRule, isName,
                [](Settings& s, const std::string& v) { s.instance = state::InstanceId(v); }),
            textKey("data_centre", true, nameRule, isName,
                [](Settings& s, const std::string& v) { s.dataCentre = state::DataCentreId(v); }),
            textKey("http.address", false, addressRule, isIpv4Address,
                [](Settings& s, const std::string& v) { s.httpAddress = v; }),
            integerKey("http.port", 0, maximumPort, "0 picks a free port",
                [](Settings& s, long v) { s.httpPort = static_cast<std::uint16_t>(v); }),
            mayBeUnset(integerKey("http.memory_mb", 0, maximumMemoryMegabytes, "megabytes, 0 if unknown",
                [](Settings& s, long v) { s.httpMemoryMegabytes = static_cast<std::size_t>(v); })),
            textKey("peer.address", false, addressRule, isIpv4Address,
                [](Settings& s, const std::string& v) { s.peerAddress = v; }),
            integerKey("peer.port", 0, maximumPort, "0 picks a free port",
                [](Settings& s, long v) { s.peerPort = static_cast<std::uint16_t>(v); }),
            textKey(
                "platform.url", true, "a URL such as http://10.0.0.1:7000, without a trailing slash",
                [](const std::string& v) { return v.starts_with("http://") && v.size() > 7 && v.back() != '/'; },
                [](Settings& s, const std::string& v) { s.platformUrl = v; }),
            integerKey("leases.ttl_ms", 1'000, 600'000, "milliseconds",
                [](Settings& s, long v) { s.leaseTtl = milliseconds(v); }),
            integerKey("leases.renew_interval_ms", 100, 200'000, "milliseconds",
                [](Settings& s, long v) { s.leaseRenewInterval = milliseconds(v); }),
            integerKey("leases.margin_ms", 100, 60'000, "milliseconds",
                [](Settings& s, long v) { s.leaseMargin = milliseconds(v); }),
            integerKey("scheduler.checkpoint_limit_ms", 0, 600'000, "milliseconds",
                [](Settings& s, long v) { s.checkpointLimit = milliseconds(v); }),
            integerKey("scheduler.isolation_limit_s", 0, 86'400, "seconds",
                [](Settings& s, long v) { s.isolationLimit = seconds(v); }),
            textKey("placement.policy", false, "cells or first_fit", oneOf({ "cells", "first_fit" }),
                [](Settings& s, const std::string& v) { s.placementPolicy = v; }),
            integerKey("timeline.capacity", 100, 1'000'000, "events",
                [](Settings& s, long v) { s.timelineCapacity = static_cast<std::size_t>(v); }),
            mayBeUnset(textKey("log.level", false, "debug, info, warning or error",
                oneOf({ "debug", "info", "warning", "error" }),
                [](Settings& s, const std::string& v) { s.logLevel = v; })),
            integerKey("shutdown.notice_ms", 0, 60'000, "milliseconds",
                [](Settings& s, long v) { s.shutdownNotice = milliseconds(v); }),
            integerKey(
                "shutdown.limit_s", 1, 3'600, "seconds", [](Settings& s, long v) { s.shutdownLimit = seconds(v); }),
        };
    }

    class SettingsReader {
    public:
        explicit SettingsReader(std::string name)
            : m_name(std::move(name))
            , m_keys(makeKeys())
        {
            std::vector<Key> batchKeys = makeBatchKeys();
            m_keys.insert(m_keys.end(), batchKeys.begin(), batchKeys.end());
        }

        Settings read(const YAML::Node& document)
        {
            if (!document.IsMap())
                fail("settings", 1, "must be a YAML mapping");
            readMap(document, "");
            for (const Key& key : m_keys) {
                if (key.required && !m_seen.contains(key.path))
                    fail(key.path, 1, "is required; expected " + key.allowed);
            }
            validateLeaseTimes();
            return m_settings;
        }

    private:
        [[noreturn]] void fail(const std::string& field, int line, const std::string& reason) const
        {
            throw ProtocolError(m_name + ":" + std::to_string(line) + ": " + field, reason);
        }

        void readMap(const YAML::Node& map, const std::string& prefix)
        {
            for (const auto& entry : map) {
                std::string path = prefix + entry.first.Scalar();
                int line = entry.first.Mark().line + 1;
                if (entry.second.IsMap() && !isUnset(entry.second)) {
                    if (!isSection(path))
                        fail(path, line, "is unknown");
                    readMap(entry.second, path + ".");
                    continue;
                }
                readKey(path, line, entry.second);
            }
        }

        bool isSection(const std::string& path) const
        {
            for (const Key& key : m_keys) {
                if (key.path.starts_with(path + "."))
                    return true;
            }
            return false;
        }

        void readKey(const std::string& path, int line, const YAML::Node& value)
        {
            for (const Key& key : m_keys) {
                if (key.path != path)
                    continue;
                if (!m_seen.insert(path).second)
                    fail(path, line, "is given twice");
                if (isUnset(value)) {
                    if (!key.mayBeUnset)
                        fail(path, line,
                            (key.required ? "is required" : "has no value") + ("; expected " + key.allowed));
                    m_settings.unsetKeys.push_back(path);
                    return;
                }
                if (!value.IsScalar() || !key.assign(m_settings, value.Scalar()))
                    fail(path, line,
                        "must be " + key.allowed + (value.IsScalar() ? ", got '" + value.Scalar() + "'" : ""));
                return;
            }
            fail(path, line, "is unknown");
        }

        // A lease must outlast one lost renewal; otherwise a single lost packet stops a gang.
        void validateLeaseTimes() const
        {
            if (m_settings.leaseTtl < 2 * m_settings.leaseRenewInterval + m_settings.leaseMargin)
                fail("leases.ttl_ms", 1, "must be at least twice renew_interval_ms plus margin_ms");
        }

        std::string m_name;
        std::vector<Key> m_keys;
        std::set<std::string> m_seen;
        Settings m_settings;
    };

} // namespace

Settings parseSettings(const std::string& text, const std::string& name)
{
    try {
        return SettingsReader(name).read(YAML::Load(text));
    } catch (const YAML::Exception& error) {
        std::throw_with_nested(
            ProtocolError(name + ":" + std::to_string(error.mark.line + 1), "is not valid YAML: " + error.msg));
    }
}

Settings readSettings(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
        throw ProtocolError(file, "cannot be read");
    std::ostringstream text;
    text << input.rdbuf();
    return parseSettings(text.str(), file);
}

} // namespace lentilsaddle::protocol
