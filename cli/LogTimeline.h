/// @file
/// Follows an identifier through the logs of several processes.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace lentilsaddle::cli {

/// Collects the log lines that name an identifier and sorts them by time over all processes.
class LogTimeline {
public:
    /// @param identifier identifier of a request or job. Lines of its tasks (`ID.…`) count too.
    explicit LogTimeline(std::string identifier);

    /// Reads the lines of one log. Text before the time, as a log collector adds it, is ignored; so are lines without
    /// one.
    void add(std::istream& log);

    /// @return `TIME INSTANCE COMPONENT MESSAGE FIELDS` for each line, in order of time.
    std::vector<std::string> lines() const;

private:
    struct Entry {
        std::string time;
        std::string text;
    };

    bool namesIdentifier(const std::string& line) const;

    std::string m_identifier;
    std::vector<Entry> m_entries;
};

} // namespace lentilsaddle::cli
