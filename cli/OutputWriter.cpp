#include "cli/OutputWriter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <vector>

namespace lentilsaddle::cli {

using nlohmann::json;

namespace {

    std::string formatWallTime(long microseconds)
    {
        std::time_t seconds = microseconds / 1'000'000;
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        std::ostringstream text;
        text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%S.") << std::setw(6) << std::setfill('0')
             << microseconds % 1'000'000 << "Z";
        return text.str();
    }

    std::string formatValue(const std::string& key, const json& value)
    {
        if (key == "time_us" && value.is_number_integer())
            return formatWallTime(value.get<long>());
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    bool isObjectArray(const json& value)
    {
        return value.is_array() && !value.empty() && value.front().is_object();
    }

    void writeTable(std::ostream& out, const json& rows)
    {
        std::vector<std::string> columns;
        for (const auto& [key, value] : rows.front().items())
            columns.push_back(key);
        // Puts the time column of the time line first.
        std::stable_partition(
            columns.begin(), columns.end(), [](const std::string& column) { return column == "time_us"; });
        std::map<std::string, std::size_t> widths;
        for (const std::string& column : columns) {
            widths[column] = column.size();
            for (const json& row : rows)
                widths[column] = std::max(widths[column], formatValue(column, row.value(column, json())).size());
        }
        auto writeRow = [&](const std::function<std::string(const std::string&)>& cell) {
            std::string line = " ";
            for (const std::string& column : columns) {
                std::string text = cell(column);
                line += " " + text + std::string(widths[column] - text.size() + 1, ' ');
            }
            line.erase(line.find_last_not_of(' ') + 1);
            out << line << '\n';
        };
        writeRow([](const std::string& column) { return column; });
        for (const json& row : rows)
            writeRow([&row](const std::string& column) { return formatValue(column, row.value(column, json())); });
    }

    void writeAsText(std::ostream& out, const json& document)
    {
        for (const auto& [key, value] : document.items()) {
            if (isObjectArray(value)) {
                out << key << ":\n";
                writeTable(out, value);
                continue;
            }
            out << key << ": " << formatValue(key, value) << '\n';
        }
    }

    void write(std::ostream& out, const std::string& document, OutputFormat format)
    {
        json parsed = json::parse(document, nullptr, false);
        if (format == OutputFormat::Json || !parsed.is_object()) {
            out << document << '\n';
            return;
        }
        writeAsText(out, parsed);
    }

} // namespace

void writeDocument(const std::string& document, OutputFormat format)
{
    write(std::cout, document, format);
}

void writeError(const std::string& document, OutputFormat format)
{
    write(std::cerr, document, format);
}

} // namespace lentilsaddle::cli
