/// @file
/// Stand-in for the platform: log service, instance list and worker lists.
#pragma once

#include "tests/standin/LogFaults.h"
#include "tests/standin/LogStream.h"
#include "tests/standin/PlatformLists.h"
#include "tests/standin/StandinTask.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lentilsaddle::standin {

/// Serves the platform's calls (design page, section 9). For tests: `POST /control` sets faults and retention,
/// `GET /control/streams` returns stream summaries, `PUT /instances` and `PUT /workers?data_centre=` set the lists.
class PlatformTask : public StandinTask {
public:
    PlatformTask(Listeners listeners, LogStream::Retention retention);
    ~PlatformTask() override;

protected:
    void onRequest(int listener, transport::HttpRequest request, transport::HttpResponder responder) override;

private:
    /// Append to a stream or read from it.
    struct LogCall {
        int listener = 0;
        std::string stream;
        transport::HttpRequest request;
        transport::HttpResponder responder;
        /// The delay fault has been applied.
        bool delayed = false;
        /// End of a long poll, set when it first finds no record.
        std::optional<std::chrono::steady_clock::time_point> waitUntil;
        transport::EventLoop::TimerId timer = 0;

        bool isAppend() const { return request.method == "POST"; }
    };
    using LogCallPointer = std::shared_ptr<LogCall>;

    void handleList(int listener, const std::string& name, const transport::HttpRequest& request,
        const transport::HttpResponder& responder);
    void handleControl(const transport::HttpRequest& request, const transport::HttpResponder& responder);
    void changeFaults(const nlohmann::json& control);
    nlohmann::json streamSummaries() const;

    /// Runs a call, or applies the faults that match it: outage, block or delay.
    void processLogCall(const LogCallPointer& call);
    void append(LogCall& call);
    void read(const LogCallPointer& call);
    void waitForRecords(const LogCallPointer& call, std::chrono::milliseconds wait);
    /// Processes the long polls and blocked calls again after a new record or a changed fault.
    void processWaitingCalls();

    LogFaults m_faults;
    LogStream::Retention m_retention;
    PlatformLists m_lists;
    std::map<std::string, LogStream> m_streams;
    /// Long polls without a new record, and calls that a fault blocks.
    std::list<LogCallPointer> m_waitingCalls;
};

} // namespace lentilsaddle::standin
