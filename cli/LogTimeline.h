/// @file
/// Time line of a request or job from the logs of several processes.
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace lentilsaddle::cli {

/// Collects the log lines that contain an identifier and merges them in order of time.
class LogTimeline {
public:
    /// @param identifier identifier of a request or job. Lines of the job's tasks (`ID.…`) match too.
    explicit LogTimeline(std::string identifier);

    /// Reads all lines of one log. Text before the `time` field, such as a prefix that a log collector adds, is
    /// ignored; lines without a `time` field are skipped.
    void add(std::istream& log);

    /// @return `TIME INSTANCE COMPONENT MESSAGE FIELDS` for each matching line, in order of time.
    std::vector<std::string> lines() const;

private:
    struct Entry {
        std::string time;
        std::string text;
    };

    bool containsIdentifier(const std::string& line) const;

    std::string m_identifier;
    std::vector<Entry> m_entries;
};

} // namespace lentilsaddle::cli
