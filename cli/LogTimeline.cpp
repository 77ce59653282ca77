#include "cli/LogTimeline.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lentilsaddle::cli {

namespace {

    // Value of a field without its quotes; empty if the line lacks it.
    std::string fieldOf(const std::string& line, const std::string& name)
    {
        std::size_t begin = line.find(name + '=');
        if (begin == std::string::npos)
            return "";
        begin += name.size() + 1;
        if (begin < line.size() && line[begin] == '"')
            return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
        return line.substr(begin, line.find(' ', begin) - begin);
    }

    // What follows the message.
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

bool LogTimeline::namesIdentifier(const std::string& line) const
{
    for (std::size_t found = line.find(m_identifier); found != std::string::npos;
         found = line.find(m_identifier, found + 1)) {
        std::size_t end = found + m_identifier.size();
        bool beginsThere = found == 0 || std::isalnum(static_cast<unsigned char>(line[found - 1])) == 0;
        bool endsThere = end == line.size() || std::isalnum(static_cast<unsigned char>(line[end])) == 0;
        if (beginsThere && endsThere)
            return true;
    }
    return false;
}

void LogTimeline::add(std::istream& log)
{
    std::string line;
    while (std::getline(log, line)) {
        std::string time = fieldOf(line, "time");
        if (time.empty() || !namesIdentifier(line))
            continue;
        std::string text = time + ' ' + fieldOf(line, "instance") + ' ' + fieldOf(line, "component") + ' '
            + fieldOf(line, "message") + ' ' + fieldsAfterMessage(line);
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
