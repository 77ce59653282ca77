#include "coordination/decisions/batch/WorkerSpeed.h"

#include <algorithm>
#include <cmath>

namespace lentilsaddle::coordination::batch {

using std::chrono::milliseconds;

namespace {

    // Weight of a sample in the moving mean. Estimates are off by up to nine tenths, so many samples must be averaged.
    constexpr double sampleWeight = 0.15;
    // Samples of a worker that are needed before its mean is used.
    constexpr int minimumSamples = 4;
    // Range of the result; a single wrong estimate must not exclude a worker.
    constexpr double minimumSlowness = 0.7;
    constexpr double maximumSlowness = 8;
    // A running task is a straggler from this multiple of its queue's usual run time on.
    constexpr double stragglerFactor = 3;
    // How long a worker is marked as slow after a straggler was seen there.
    constexpr milliseconds suspicionDuration { 4'000 };
    // Progress is reported with a delay, so the figures of younger tasks are not meaningful.
    constexpr milliseconds minimumElapsed { 1'500 };

} // namespace

void WorkerSpeed::Mean::add(double sample)
{
    ++samples;
    double weight = std::max(sampleWeight, 1.0 / samples);
    logarithm += weight * (sample - logarithm);
}

double WorkerSpeed::queueMean(const std::string& queue) const
{
    auto found = m_queues.find(queue);
    return found == m_queues.end() ? 0 : found->second.logarithm;
}

void WorkerSpeed::recordCompletion(
    const state::WorkerId& worker, const std::string& queue, milliseconds duration, milliseconds estimate)
{
    if (duration.count() <= 0 || estimate.count() <= 0)
        return;
    double ratio = std::log(static_cast<double>(duration.count()) / static_cast<double>(estimate.count()));
    m_queues[queue].add(ratio);
    m_workers[worker].add(ratio - queueMean(queue));
}

void WorkerSpeed::recordProgress(const state::WorkerId& worker, const std::string& queue, milliseconds elapsed,
    int percent, milliseconds estimate, state::MonotonicTime now)
{
    if (elapsed < minimumElapsed || estimate.count() <= 0)
        return;
    double projected = static_cast<double>(elapsed.count()) * 100 / std::max(percent, 1);
    double ratio = projected / static_cast<double>(estimate.count()) / std::exp(queueMean(queue));
    if (ratio < stragglerFactor)
        return;
    m_suspicions[worker] = { .slowness = std::min(ratio, maximumSlowness), .until = now + suspicionDuration };
}

double WorkerSpeed::slowness(const state::WorkerId& worker, state::MonotonicTime now) const
{
    double value = 1;
    if (auto known = m_workers.find(worker); known != m_workers.end() && known->second.samples >= minimumSamples)
        value = std::clamp(std::exp(known->second.logarithm), minimumSlowness, maximumSlowness);
    if (auto suspected = m_suspicions.find(worker); suspected != m_suspicions.end() && now < suspected->second.until)
        value = std::max(value, suspected->second.slowness);
    return value;
}

} // namespace lentilsaddle::coordination::batch
