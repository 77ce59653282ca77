/// @file
/// Causes of the loss of a run.
#pragma once

namespace lentilsaddle::coordination::batch {

/// How it is known that a run has ended without a listed end, or that it never started.
enum class RunLoss {
    /// No start was sent, because the leader's lease had expired or the worker's clock was unknown.
    NotSent,
    /// The worker answered the only start request without executing it.
    Refused,
    /// The worker refused the start, because this run or a later one had been stopped or had ended there.
    StaleRun,
    /// The worker does not list the run.
    NotListed,
    /// The worker did not respond until its lease had expired.
    LeaseExpired,
    /// The worker runs under a new incarnation.
    WorkerRestarted,
    /// Another worker responds at the address.
    WorkerReplaced,
};

/// @return the cause as a log value.
constexpr const char* runLossName(RunLoss loss)
{
    switch (loss) {
    case RunLoss::NotSent:
        return "start_not_sent";
    case RunLoss::Refused:
        return "start_refused";
    case RunLoss::StaleRun:
        return "stale_run";
    case RunLoss::NotListed:
        return "not_listed";
    case RunLoss::LeaseExpired:
        return "lease_expired";
    case RunLoss::WorkerRestarted:
        return "worker_restarted";
    case RunLoss::WorkerReplaced:
        return "worker_replaced";
    }
    return "unknown";
}

} // namespace lentilsaddle::coordination::batch
