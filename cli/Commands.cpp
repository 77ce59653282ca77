#include "cli/Commands.h"

#include "cli/ApiClient.h"
#include "cli/LogTimeline.h"
#include "cli/OutputWriter.h"
#include "protocol/ProtocolError.h"
#include "protocol/SettingsCodec.h"
#include "state/Settings.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(server, "127.0.0.1:8100", "address of the entry instance, ip:port");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_int32(timeout_ms, 35000, "time limit for the call, in milliseconds");

DEFINE_string(service, "", "request: name of the service");
DEFINE_string(account, "", "request, submit: client account");
DEFINE_string(body, "", "request: body; @FILE reads a file");
DEFINE_string(request_id, "", "request: identifier, generated if absent");
DEFINE_string(idempotency_key, "", "request: key under which repeated requests run at most once");
DEFINE_bool(non_repeatable, false, "request: run at most once; requires --idempotency-key");
DEFINE_int32(deadline_ms, 30000, "request: deadline for the response, in milliseconds from now");

DEFINE_string(job_id, "", "submit: identifier, generated if absent");
DEFINE_int32(tasks, 1, "submit: number of tasks in the gang, 1 to 64");
DEFINE_int32(accelerators_per_task, 1, "submit: accelerators per task, 1 to 8");
DEFINE_string(adjacency, "data_centre", "submit: placement constraint of the gang: worker, rack or data_centre");
DEFINE_int32(runtime, 3600, "submit: expected run time, in seconds");
DEFINE_bool(repeatable, true, "submit: retry the job when the outcome of an attempt is unknown");
DEFINE_bool(urgent, false, "submit: use the account's guaranteed capacity before jobs that are not urgent");
DEFINE_string(payload, "", "submit: opaque text that is passed to the workers");

DEFINE_int64(base, -1, "patch: configuration version that the patch is based on");
DEFINE_string(file, "", "patch: file with a JSON Merge Patch (RFC 7396)");
DEFINE_string(patch_id, "", "patch: identifier, generated if absent");

DEFINE_string(scope, "all", "timeline: all (every instance) or local (only the instance of --server)");

namespace lentilsaddle::cli {

using nlohmann::json;
using transport::HttpResult;

namespace {

    constexpr int httpGatewayTimeout = 504;

    OutputFormat outputFormat()
    {
        return FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Table;
    }

    ExitCode usageError(const std::string& message)
    {
        std::cerr << "lentilsaddle: " << message << "; see --help\n";
        return ExitCode::Usage;
    }

    ApiClient makeClient()
    {
        return { FLAGS_server, std::chrono::milliseconds(FLAGS_timeout_ms) };
    }

    ExitCode reportTransportFailure(const HttpResult& result)
    {
        std::cerr << "lentilsaddle: " << FLAGS_server << ": " << result.error << '\n';
        return result.failure == transport::HttpFailure::NotSent ? ExitCode::Unreachable : ExitCode::OutcomeUnknown;
    }

    ExitCode reportResult(const HttpResult& result)
    {
        if (result.failure != transport::HttpFailure::None)
            return reportTransportFailure(result);
        int status = result.response.status;
        if (status < 400) {
            writeDocument(result.response.body, outputFormat());
            return ExitCode::Success;
        }
        writeError(result.response.body, outputFormat());
        return status == httpGatewayTimeout ? ExitCode::OutcomeUnknown : ExitCode::Failure;
    }

    bool readFile(const std::string& name, std::string& content)
    {
        std::ifstream input(name);
        if (!input)
            return false;
        std::ostringstream text;
        text << input.rdbuf();
        content = text.str();
        return true;
    }

    ExitCode reportRequestResult(const HttpResult& result)
    {
        if (result.failure != transport::HttpFailure::None)
            return reportTransportFailure(result);
        const auto& headers = result.response.headers;
        auto outcome = headers.find("request-outcome");
        if (outcome == headers.end() || outcome->second != "done")
            writeError(result.response.body, outputFormat());
        else
            writeDocument(result.response.body, outputFormat());
        if (outcome != headers.end() && outcome->second == "unknown")
            return ExitCode::OutcomeUnknown;
        bool done = outcome != headers.end() && outcome->second == "done" && result.response.status < 400;
        return done ? ExitCode::Success : ExitCode::Failure;
    }

    ExitCode runRequest(const std::vector<std::string>&)
    {
        if (FLAGS_service.empty() || FLAGS_account.empty())
            return usageError("request needs --service and --account");
        std::string body = FLAGS_body;
        if (body.starts_with("@") && !readFile(FLAGS_body.substr(1), body))
            return usageError("cannot read body file '" + FLAGS_body.substr(1) + "'");
        transport::HttpHeaders headers {
            { "client-account", FLAGS_account },
            { "request-deadline-ms", std::to_string(FLAGS_deadline_ms) },
        };
        if (!FLAGS_request_id.empty())
            headers["request-id"] = FLAGS_request_id;
        if (!FLAGS_idempotency_key.empty())
            headers["idempotency-key"] = FLAGS_idempotency_key;
        if (FLAGS_non_repeatable)
            headers["non-repeatable"] = "true";
        return reportRequestResult(
            makeClient().call("POST", "/v1/services/" + FLAGS_service + "/requests", body, headers));
    }

    ExitCode runSubmit(const std::vector<std::string>&)
    {
        if (FLAGS_account.empty())
            return usageError("submit needs --account");
        json document {
            { "account", FLAGS_account },
            { "tasks", FLAGS_tasks },
            { "accelerators_per_task", FLAGS_accelerators_per_task },
            { "adjacency", FLAGS_adjacency },
            { "declared_runtime_s", FLAGS_runtime },
            { "repeatable", FLAGS_repeatable },
            { "urgent", FLAGS_urgent },
            { "payload", FLAGS_payload },
        };
        if (!FLAGS_job_id.empty())
            document["job_id"] = FLAGS_job_id;
        return reportResult(makeClient().call("POST", "/v1/jobs", document.dump()));
    }

    ExitCode runPatch(const std::vector<std::string>&)
    {
        std::string text;
        if (FLAGS_base < 0 || !readFile(FLAGS_file, text))
            return usageError("patch needs --base (version 0 or higher) and --file (a readable JSON file)");
        json mergePatch = json::parse(text, nullptr, false);
        if (mergePatch.is_discarded())
            return usageError("--file '" + FLAGS_file + "' is not valid JSON");
        json document { { "base_version", FLAGS_base }, { "merge_patch", mergePatch } };
        if (!FLAGS_patch_id.empty())
            document["patch_id"] = FLAGS_patch_id;
        return reportResult(makeClient().call("POST", "/v1/configuration/patches", document.dump()));
    }

    ExitCode runCheckConfig(const std::vector<std::string>& arguments)
    {
        if (arguments.size() != 2)
            return usageError("check-config needs the path of one settings file");
        try {
            protocol::readSettings(arguments[1]);
        } catch (const protocol::ProtocolError& error) {
            std::cerr << error.what() << '\n';
            return ExitCode::Usage;
        }
        std::cout << arguments[1] << ": valid\n";
        return ExitCode::Success;
    }

    ExitCode runExplain(const std::vector<std::string>& arguments)
    {
        if (arguments.size() < 3)
            return usageError("explain needs an identifier and at least one log file");
        LogTimeline timeline(arguments[1]);
        for (std::size_t index = 2; index < arguments.size(); ++index) {
            std::ifstream log(arguments[index]);
            if (!log) {
                std::cerr << "lentilsaddle: cannot read log file '" << arguments[index] << "'\n";
                return ExitCode::Failure;
            }
            timeline.add(log);
        }
        for (const std::string& line : timeline.lines())
            std::cout << line << '\n';
        return ExitCode::Success;
    }

    // Returns a command that sends one request to `prefix` followed by the command's only argument.
    std::function<ExitCode(const std::vector<std::string>&)> callWithIdentifier(
        const std::string& method, const std::string& prefix)
    {
        return [method, prefix](const std::vector<std::string>& arguments) {
            if (arguments.size() != 2)
                return usageError(arguments[0] + " needs one identifier");
            return reportResult(makeClient().call(method, prefix + arguments[1]));
        };
    }

    std::function<ExitCode(const std::vector<std::string>&)> callWithoutArgument(
        const std::string& method, const std::string& path)
    {
        return
            [method, path](const std::vector<std::string>&) { return reportResult(makeClient().call(method, path)); };
    }

    ExitCode runTimeline(const std::vector<std::string>& arguments)
    {
        std::string subject = arguments.size() > 1 ? "&id=" + arguments[1] : "";
        return reportResult(makeClient().call("GET", "/v1/timeline?scope=" + FLAGS_scope + subject));
    }

    const std::map<std::string, std::function<ExitCode(const std::vector<std::string>&)>>& commands()
    {
        static const std::map<std::string, std::function<ExitCode(const std::vector<std::string>&)>> table {
            { "request", runRequest },
            { "submit", runSubmit },
            { "job", callWithIdentifier("GET", "/v1/jobs/") },
            { "cancel", callWithIdentifier("DELETE", "/v1/jobs/") },
            { "patch", runPatch },
            { "patch-outcome", callWithIdentifier("GET", "/v1/configuration/patches/") },
            { "configuration", callWithoutArgument("GET", "/v1/configuration") },
            { "status", callWithoutArgument("GET", "/v1/status") },
            { "drain", callWithoutArgument("POST", "/v1/drain") },
            { "timeline", runTimeline },
            { "check-config", runCheckConfig },
            { "explain", runExplain },
        };
        return table;
    }

} // namespace

ExitCode runCommand(const std::vector<std::string>& arguments)
{
    if (FLAGS_output != "table" && FLAGS_output != "json")
        return usageError("--output must be table or json");
    if (arguments.empty())
        return usageError("no command given");
    auto command = commands().find(arguments[0]);
    if (command == commands().end())
        return usageError("unknown command '" + arguments[0] + "'");
    return command->second(arguments);
}

std::string usageText()
{
    return R"(Usage: lentilsaddle [flags] COMMAND

Commands:
  request --service S --account A [--body B]   send a service request
  submit --account A --tasks N [flags]         submit a gang job
  job ID                                       show a job
  cancel ID                                    cancel a job
  patch --base N --file F                      submit a configuration patch
  patch-outcome ID                             show the outcome of a patch
  configuration                                show the active configuration
  status                                       show the state of the instance
  drain                                        stop accepting work; the daemon keeps running
  timeline [ID]                                show the events of a request, job or patch
  check-config FILE                            validate a settings file offline
  explain ID FILE...                           list the log lines of a request or job by time

Exit codes: 0 success, 1 refused or failed, 2 usage, 3 unreachable, 4 outcome unknown.

Flags:
)";
}

} // namespace lentilsaddle::cli
