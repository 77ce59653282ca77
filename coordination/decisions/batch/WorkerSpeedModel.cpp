#include "coordination/decisions/batch/WorkerSpeedModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lentilsaddle::coordination::batch {

using state::batch::WorkerSpeedSummary;
using std::chrono::milliseconds;

namespace {

    // Variance of a worker's speed before anything is known: a standard deviation of half in either direction.
    constexpr double unknownVariance = 0.2;
    // Variance of the error that a job's estimate has for all of its tasks.
    constexpr double jobVariance = 0.6;
    // Variance by which the run times of sibling tasks differ on equal workers: before it is known, and its range.
    constexpr double unknownNoise = 0.06;
    constexpr double minimumNoise = 0.002;
    constexpr double maximumNoise = 0.3;
    // Weight of a new observation in it.
    constexpr double noiseWeight = 0.05;
    // Least weight of a job in the usual error of its queue's estimates.
    constexpr double queueWeight = 0.05;
    // Growth of the variance per second, so that a worker that turns slow is known as such after some samples, and as
    // usual again some samples after that.
    constexpr double varianceGrowth = 0.001;
    // Deviations beyond this many standard deviations count as that many: one task in some tens runs several times as
    // long as its siblings on any worker.
    constexpr double clampedDeviations = 2;
    // From this many clamped observations in a row on, in one direction, a worker has changed rather than met a rare
    // long task, and what was learned before counts less by this variance.
    constexpr int changedFrom = 2;
    constexpr double changeVariance = 0.1;
    // Progress is reported in whole hundredths; below this share a rate is too coarse.
    constexpr int minimumPercent = 8;
    // Siblings are compared as soon as this many have reported, or after this time.
    constexpr int comparedSiblings = 4;
    // Siblings on a single worker show nothing of its speed: their estimate may be wrong.
    constexpr std::size_t minimumComparedWorkers = 2;
    constexpr milliseconds comparisonDelay { 400 };
    // Siblings without a report for this long are forgotten.
    constexpr milliseconds siblingLifetime { 30'000 };
    constexpr std::size_t maximumSiblings = 4'096;

    // Whether speeds differ is judged from this many known workers on.
    constexpr std::size_t minimumKnownWorkers = 12;
    constexpr double knownVariance = 0.05;
    // Standard deviation of the speeds over the workers from which they differ, and below which they no longer do.
    constexpr double differingSpread = 0.17;
    constexpr double equalSpread = 0.1;
    // A single worker differs if its speed is at least this far from the usual one, and this many standard deviations.
    constexpr double differingLogarithm = 0.2;
    constexpr double differingDeviations = 3;
    // A restored estimate may be old.
    constexpr double restoredVariance = 0.02;
    constexpr double perThousand = 1'000;
    constexpr double maximumRelativeRunTime = 8;

    // A running task is a straggler from this multiple of its queue's usual run time on.
    constexpr double stragglerFactor = 3;
    // How long a worker is marked as slow after a straggler was seen there.
    constexpr milliseconds suspicionDuration { 4'000 };
    // Progress is reported with a delay, so the figures of younger tasks are not meaningful.
    constexpr milliseconds minimumElapsed { 1'500 };

    double seconds(state::MonotonicTime::duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    double clampDeviation(double deviation, double variance)
    {
        double limit = clampedDeviations * std::sqrt(variance);
        return std::clamp(deviation, -limit, limit);
    }

} // namespace

double WorkerSpeedModel::varianceAt(const Worker& worker, state::MonotonicTime now) const
{
    double grown = worker.variance + varianceGrowth * std::max(0.0, seconds(now - worker.updated));
    return std::min(grown, unknownVariance);
}

WorkerSpeedModel::Worker& WorkerSpeedModel::workerOf(
    const state::WorkerId& worker, std::int64_t incarnation, state::MonotonicTime now)
{
    Worker& known = m_workers.try_emplace(worker, Worker { .variance = unknownVariance, .updated = now }).first->second;
    // Another incarnation may be other hardware at the same address.
    bool replaced = known.incarnation != 0 && incarnation != 0 && known.incarnation != incarnation;
    if (replaced)
        known = { .variance = unknownVariance, .updated = now };
    if (incarnation != 0)
        known.incarnation = incarnation;
    known.variance = varianceAt(known, now);
    known.updated = now;
    return known;
}

void WorkerSpeedModel::recordRate(const WorkerSpeedSample& sample, state::MonotonicTime now)
{
    // A cold worker is slow for a short time only.
    if (sample.cold)
        return;
    if (sample.percent < minimumPercent || sample.elapsed.count() <= 0 || sample.estimate.count() <= 0)
        return;
    double runTime = static_cast<double>(sample.elapsed.count()) * 100 / sample.percent;
    double resolution = 1.0 / sample.percent;
    Siblings& siblings = m_siblings[sample.siblings];
    if (siblings.pending.empty())
        siblings.firstPending = now;
    siblings.updated = now;
    ++siblings.pendingSamples;
    addPending(siblings,
        {
            .worker = sample.worker,
            .incarnation = sample.incarnation,
            .logarithm = std::log(runTime / static_cast<double>(sample.estimate.count())),
            .noise = resolution * resolution,
            .atLeast = sample.atLeast,
        });
    int compared = std::min(comparedSiblings, std::max(sample.siblingCount, 2));
    bool delayed = now - siblings.firstPending >= comparisonDelay;
    if (siblings.pending.size() >= minimumComparedWorkers && (siblings.pendingSamples >= compared || delayed))
        apply(siblings, sample.queue, now);
    else if (delayed)
        learnUsualError(siblings, sample.queue, now);
    if (m_siblings.size() > maximumSiblings)
        forgetOldSiblings(now);
}

void WorkerSpeedModel::addPending(Siblings& siblings, const Observation& observation)
{
    auto same = std::find_if(siblings.pending.begin(), siblings.pending.end(),
        [&](const Observation& pending) { return pending.worker == observation.worker; });
    if (same == siblings.pending.end()) {
        siblings.pending.push_back(observation);
        return;
    }
    // A measured rate says more than a bound, and an earlier incarnation nothing about this one.
    if (same->incarnation != observation.incarnation || (same->atLeast && !observation.atLeast)) {
        *same = observation;
        return;
    }
    if (observation.atLeast && !same->atLeast)
        return;
    ++same->samples;
    same->logarithm += (observation.logarithm - same->logarithm) / same->samples;
    same->noise += (observation.noise - same->noise) / same->samples;
}

void WorkerSpeedModel::learnUsualError(Siblings& siblings, const std::string& queueName, state::MonotonicTime now)
{
    siblings.firstPending = now;
    const Observation& observation = siblings.pending.front();
    if (observation.atLeast)
        return;
    Queue& queue = m_queues.try_emplace(queueName, Queue { .noise = unknownNoise }).first->second;
    double speed = estimate(observation.worker, observation.incarnation, now).logarithm;
    ++queue.samples;
    queue.logarithm += std::max(queueWeight, 1.0 / queue.samples) * (observation.logarithm - speed - queue.logarithm);
}

double WorkerSpeedModel::robustCentre(std::vector<Deviation> deviations)
{
    std::sort(deviations.begin(), deviations.end(),
        [](const Deviation& left, const Deviation& right) { return left.value < right.value; });
    double half = 0;
    for (const Deviation& deviation : deviations)
        half += deviation.precision / 2;
    double median = deviations.back().value;
    for (const Deviation& deviation : deviations) {
        half -= deviation.precision;
        if (half <= 0) {
            median = deviation.value;
            break;
        }
    }
    double sum = 0;
    double weight = 0;
    for (const Deviation& deviation : deviations) {
        sum += deviation.precision * (median + clampDeviation(deviation.value - median, 1 / deviation.precision));
        weight += deviation.precision;
    }
    return sum / weight;
}

void WorkerSpeedModel::apply(Siblings& siblings, const std::string& queueName, state::MonotonicTime now)
{
    Queue& queue = m_queues.try_emplace(queueName, Queue { .noise = unknownNoise }).first->second;
    if (siblings.precision <= 0) {
        siblings.logarithm = queue.logarithm;
        siblings.precision = 1 / jobVariance;
    }
    std::vector<Observation> observations = std::exchange(siblings.pending, {});
    siblings.pendingSamples = 0;
    std::vector<Deviation> deviations;
    std::vector<Worker*> workers;
    for (Observation& observation : observations) {
        Worker& worker = workerOf(observation.worker, observation.incarnation, now);
        observation.noise += queue.noise;
        workers.push_back(&worker);
        deviations.push_back({
            .value = observation.logarithm - worker.logarithm,
            .precision = 1 / (worker.variance + observation.noise),
        });
    }
    struct Update {
        double change = 0;
        double gain = 0;
        /// Sign of the difference if it was clamped, otherwise 0.
        int direction = 0;
    };
    std::vector<Update> updates(observations.size());
    for (std::size_t own = 0; own < observations.size(); ++own) {
        // The part of an observation in the common error must not confirm the observation itself, so each worker is
        // compared with the others alone.
        std::vector<Deviation> others { { .value = siblings.logarithm, .precision = siblings.precision } };
        double precision = siblings.precision;
        for (std::size_t other = 0; other < observations.size(); ++other) {
            if (other == own || observations[other].atLeast)
                continue;
            others.push_back(deviations[other]);
            precision += deviations[other].precision;
        }
        double difference = deviations[own].value - robustCentre(std::move(others));
        // A bound says nothing about a worker that is taken to be as fast, or if no sibling shows what is usual.
        bool compared = precision > 1 / jobVariance;
        if (observations[own].atLeast && (difference >= 0 || !compared))
            continue;
        double variance = workers[own]->variance + observations[own].noise + 1 / precision;
        double gain = workers[own]->variance / variance;
        double clamped = clampDeviation(difference, variance);
        int direction = difference > clamped ? 1 : (difference < clamped ? -1 : 0);
        updates[own] = { .change = gain * clamped, .gain = gain, .direction = direction };
        // What the speeds and the common error leave unexplained. While these are vague, a difference of the workers
        // cannot be told from noise. The mean of several siblings shows less than their noise.
        double explained = variance - observations[own].noise;
        bool single = observations[own].samples == 1 && !observations[own].atLeast;
        if (single && explained <= observations[own].noise)
            queue.noise += noiseWeight * (clamped * clamped - explained - queue.noise);
    }
    queue.noise = std::clamp(queue.noise, minimumNoise, maximumNoise);
    std::vector<Deviation> all { { .value = siblings.logarithm, .precision = siblings.precision } };
    for (std::size_t own = 0; own < observations.size(); ++own) {
        if (observations[own].atLeast)
            continue;
        all.push_back(deviations[own]);
        siblings.precision += deviations[own].precision;
    }
    siblings.logarithm = robustCentre(std::move(all));
    ++queue.samples;
    queue.logarithm += std::max(queueWeight, 1.0 / queue.samples) * (siblings.logarithm - queue.logarithm);
    for (std::size_t own = 0; own < observations.size(); ++own) {
        Worker& worker = *workers[own];
        worker.logarithm += updates[own].change;
        worker.variance *= 1 - updates[own].gain;
        int& row = worker.clampedInARow;
        if (updates[own].direction == 0)
            row = 0;
        else
            row = row * updates[own].direction > 0 ? row + updates[own].direction : updates[own].direction;
        if (std::abs(row) >= changedFrom)
            worker.variance = std::min(worker.variance + changeVariance, unknownVariance);
    }
}

void WorkerSpeedModel::forgetOldSiblings(state::MonotonicTime now)
{
    std::erase_if(m_siblings, [&](const auto& entry) { return now - entry.second.updated >= siblingLifetime; });
    // More steps at once than any leader runs: what was learned from them stays with the workers.
    if (m_siblings.size() > maximumSiblings)
        m_siblings.clear();
}

void WorkerSpeedModel::recordProgress(const WorkerSpeedSample& sample, state::MonotonicTime now)
{
    if (sample.elapsed < minimumElapsed || sample.estimate.count() <= 0)
        return;
    double projected = static_cast<double>(sample.elapsed.count()) * 100 / std::max(sample.percent, 1);
    auto queue = m_queues.find(sample.queue);
    double usual = queue == m_queues.end() ? 1 : std::exp(queue->second.logarithm);
    double ratio = projected / static_cast<double>(sample.estimate.count()) / usual;
    if (ratio < stragglerFactor)
        return;
    // judgeSpread() is not called if run times are not learned.
    std::erase_if(m_suspicions, [&](const auto& entry) { return now >= entry.second.until; });
    m_suspicions[sample.worker]
        = { .relativeRunTime = std::min(ratio, maximumRelativeRunTime), .until = now + suspicionDuration };
}

WorkerSpeedModel::Estimate WorkerSpeedModel::estimate(
    const state::WorkerId& worker, std::int64_t incarnation, state::MonotonicTime now) const
{
    auto known = m_workers.find(worker);
    bool replaced = known != m_workers.end() && known->second.incarnation != 0 && incarnation != 0
        && known->second.incarnation != incarnation;
    if (known == m_workers.end() || replaced)
        return { .logarithm = 0, .deviation = std::sqrt(unknownVariance) };
    return { .logarithm = known->second.logarithm, .deviation = std::sqrt(varianceAt(known->second, now)) };
}

double WorkerSpeedModel::relativeRunTime(
    const state::WorkerId& worker, std::int64_t incarnation, state::MonotonicTime now) const
{
    Estimate known = estimate(worker, incarnation, now);
    // A worker that is not known is taken to be as fast as the others.
    double logarithm = known.deviation < std::sqrt(unknownVariance) ? known.logarithm - m_centre : 0;
    double distance = std::abs(logarithm);
    bool differs = distance >= differingLogarithm && distance >= differingDeviations * known.deviation;
    double value = m_differ || differs ? std::exp(logarithm) : 1;
    return std::clamp(value, 1 / maximumRelativeRunTime, maximumRelativeRunTime);
}

double WorkerSpeedModel::stragglerSlowness(const state::WorkerId& worker, state::MonotonicTime now) const
{
    auto suspected = m_suspicions.find(worker);
    return suspected != m_suspicions.end() && now < suspected->second.until ? suspected->second.relativeRunTime : 1;
}

void WorkerSpeedModel::judgeSpread(state::MonotonicTime now)
{
    std::erase_if(m_workers, [&](const auto& entry) { return varianceAt(entry.second, now) >= unknownVariance; });
    std::erase_if(m_suspicions, [&](const auto& entry) { return now >= entry.second.until; });
    double sum = 0;
    double squares = 0;
    double variances = 0;
    std::size_t known = 0;
    for (const auto& [id, worker] : m_workers) {
        double variance = varianceAt(worker, now);
        if (variance > knownVariance)
            continue;
        ++known;
        sum += worker.logarithm;
        squares += worker.logarithm * worker.logarithm;
        variances += variance;
    }
    if (known < minimumKnownWorkers) {
        m_centre = 0;
        return;
    }
    auto count = static_cast<double>(known);
    double mean = sum / count;
    m_centre = mean;
    m_spread = std::max(0.0, squares / count - mean * mean - variances / count);
    double limit = m_differ ? equalSpread : differingSpread;
    m_differ = std::sqrt(m_spread) >= limit;
}

WorkerSpeedSummary WorkerSpeedModel::summary(std::size_t maximum, state::MonotonicTime now) const
{
    std::vector<std::pair<double, const std::pair<const state::WorkerId, Worker>*>> known;
    for (const auto& entry : m_workers) {
        if (double variance = varianceAt(entry.second, now); variance <= knownVariance)
            known.emplace_back(variance, &entry);
    }
    if (known.size() > maximum) {
        std::nth_element(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(maximum), known.end());
        known.resize(maximum);
    }
    WorkerSpeedSummary result;
    for (const auto& [variance, entry] : known)
        result.entries.push_back({
            .worker = entry->first,
            .incarnation = entry->second.incarnation,
            .logarithm = static_cast<int>(std::lround(entry->second.logarithm * perThousand)),
            .deviation = static_cast<int>(std::lround(std::sqrt(variance) * perThousand)),
        });
    std::sort(result.entries.begin(), result.entries.end(),
        [](const auto& left, const auto& right) { return left.worker < right.worker; });
    return result;
}

void WorkerSpeedModel::restore(const WorkerSpeedSummary& summary, state::MonotonicTime now)
{
    for (const WorkerSpeedSummary::Entry& entry : summary.entries) {
        double deviation = entry.deviation / perThousand;
        m_workers[entry.worker] = {
            .incarnation = entry.incarnation,
            .logarithm = entry.logarithm / perThousand,
            .variance = std::clamp(deviation * deviation, restoredVariance, unknownVariance),
            .updated = now,
        };
    }
    judgeSpread(now);
}

} // namespace lentilsaddle::coordination::batch
