#include "transport/Logger.h"

#include "transport/LogWriter.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace lentilsaddle::transport {

namespace {

    LogLevel minimumLogLevel = LogLevel::Info;

    // Passes each formatted line to the log writer instead of easylogging++'s own blocking output.
    class WriterCallback : public el::LogDispatchCallback {
    protected:
        void handle(const el::LogDispatchData* data) override
        {
            if (data->dispatchAction() != el::base::DispatchAction::NormalLog)
                return;
            const el::LogMessage* message = data->logMessage();
            m_writer.write(message->logger()->logBuilder()->build(message, false));
        }

    private:
        LogWriter m_writer { {} };
    };

    constexpr const char* callbackName = "lentilsaddle";
    constexpr std::size_t maximumValueBytes = 1'024;
    constexpr std::string_view cutMark = "...";

    void appendQuoted(std::string& line, std::string_view value)
    {
        bool plain = !value.empty() && value.find_first_of(" \"=\n\t\\") == std::string_view::npos;
        if (plain) {
            line.append(value);
            return;
        }
        line.push_back('"');
        for (char c : value) {
            if (c == '"' || c == '\\')
                line.push_back('\\');
            line.push_back(c == '\n' ? ' ' : c);
        }
        line.push_back('"');
    }

} // namespace

void configureLogging(const std::string& instance, LogLevel minimumLevel)
{
    minimumLogLevel = minimumLevel;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    std::string format = "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level instance=" + instance + " %msg";
    configuration.setGlobally(el::ConfigurationType::Format, format);
    el::Loggers::reconfigureAllLoggers(configuration);
    el::Loggers::setDefaultConfigurations(configuration, true);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<WriterCallback>(callbackName);
}

std::string formatLogLine(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    std::string line = "component=" + std::string(component) + " message=";
    appendQuoted(line, message);
    for (const LogField& field : fields) {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        if (field.value.size() <= maximumValueBytes)
            appendQuoted(line, field.value);
        else
            appendQuoted(line, field.value.substr(0, maximumValueBytes).append(cutMark));
    }
    return line;
}

void writeLog(
    LogLevel level, std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    if (level < minimumLogLevel)
        return;
    std::string line = formatLogLine(component, message, fields);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace lentilsaddle::transport
