#include "cli/LogTimeline.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lentilsaddle::cli {

namespace {

    // Returns the value of a field without its quotes, or an empty string if the line has no such field.
    std::string fieldValue(const std::string& line, const std::string& name)
    {
        std::size_t begin = line.find(name + '=');
        if (begin == std::string::npos)
            return "";
        begin += name.size() + 1;
        if (begin < line.size() && line[begin] == '"')
            return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
        return line.substr(begin, line.find(' ', begin) - begin);
    }

    // Returns the part of the line after the message field.
    std::string fieldsAfterMessage(const std::string& line)
    {
        std::size_t begin = line.find("message=");
        if (begin == std::string::npos)
            return "";
        begin += 8;
        std::size_t end = begin < line.size() && line[begin] == '"' ? line.find('"', begin + 1) : line.find(' ', begin);
        if (end == std::string::npos || end + 1 >= line.size())
            return "";
        return line.substr(line[end] == '"' ? end + 2 : end + 1);
    }

} // namespace

LogTimeline::LogTimeline(std::string identifier)
    : m_identifier(std::move(identifier))
{
}

bool LogTimeline::containsIdentifier(const std::string& line) const
{
    for (std::size_t found = line.find(m_identifier); found != std::string::npos;
         found = line.find(m_identifier, found + 1)) {
        std::size_t end = found + m_identifier.size();
        bool startsAtBoundary = found == 0 || std::isalnum(static_cast<unsigned char>(line[found - 1])) == 0;
        bool endsAtBoundary = end == line.size() || std::isalnum(static_cast<unsigned char>(line[end])) == 0;
        if (startsAtBoundary && endsAtBoundary)
            return true;
    }
    return false;
}

void LogTimeline::add(std::istream& log)
{
    std::string line;
    while (std::getline(log, line)) {
        std::string time = fieldValue(line, "time");
        if (time.empty() || !containsIdentifier(line))
            continue;
        std::string text = time + ' ' + fieldValue(line, "instance") + ' ' + fieldValue(line, "component") + ' '
            + fieldValue(line, "message") + ' ' + fieldsAfterMessage(line);
        m_entries.push_back({ .time = std::move(time), .text = std::move(text) });
    }
}

std::vector<std::string> LogTimeline::lines() const
{
    std::vector<Entry> sorted = m_entries;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Entry& a, const Entry& b) { return a.time < b.time; });
    std::vector<std::string> result;
    result.reserve(sorted.size());
    for (Entry& entry : sorted)
        result.push_back(std::move(entry.text));
    return result;
}

} // namespace lentilsaddle::cli
