/// @file
/// Structured logs on standard output.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace lentilsaddle::transport {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogField {
    std::string_view key;
    std::string value;
};

/// Sets the minimum level and the instance name shown in each line, and starts the log writer. Must be called once,
/// before the first thread starts.
void configureLogging(const std::string& instance, LogLevel minimumLevel);

/// @return the component, the message and the fields as `key=value` pairs. Values are quoted where necessary, and cut
/// to a maximum length, since they may come from other systems.
std::string formatLogLine(std::string_view component, std::string_view message, std::initializer_list<LogField> fields);

/// Writes one line of `key=value` pairs: time, level, instance, component, message, then the fields.
/// @param component name of the task or program that logs.
void writeLog(
    LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace lentilsaddle::transport
