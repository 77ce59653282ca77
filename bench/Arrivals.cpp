#include "bench/Arrivals.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>

namespace lentilsaddle::bench {

namespace {

    using state::Adjacency;

    constexpr int siteAccelerators = 384;
    constexpr std::chrono::hours burstInterval { 6 };
    constexpr int smallJobsPerBurst = 60;
    constexpr int largeJobsPerBurst = 4;

    class ArrivalGenerator {
    public:
        explicit ArrivalGenerator(const ArrivalOptions& options)
            : m_options(options)
            , m_random(options.seed)
        {
        }

        std::vector<Arrival> run()
        {
            for (std::chrono::hours time { 3 }; time < m_options.length; time += burstInterval) {
                for (int i = 0; i < smallJobsPerBurst; ++i)
                    add(SizeClass::Small, time);
                for (int i = 0; i < largeJobsPerBurst; ++i)
                    add(SizeClass::Large, time);
            }
            double targetAcceleratorSeconds
                = m_options.load * siteAccelerators * std::chrono::duration<double>(m_options.length).count();
            while (m_acceleratorSeconds < targetAcceleratorSeconds) {
                auto time
                    = std::chrono::seconds(uniform(0, static_cast<int>(m_options.length / std::chrono::seconds(1))));
                int percentile = uniform(0, 99);
                add(percentile < 92 ? SizeClass::Small : percentile < 97 ? SizeClass::Medium : SizeClass::Large, time);
            }
            std::stable_sort(m_arrivals.begin(), m_arrivals.end(),
                [](const Arrival& left, const Arrival& right) { return left.time < right.time; });
            return std::move(m_arrivals);
        }

    private:
        int uniform(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }

        state::GangShape shape(SizeClass size)
        {
            if (size == SizeClass::Small)
                return { .tasks = 1, .acceleratorsPerTask = 1 << uniform(0, 3), .adjacency = Adjacency::Worker };
            if (size == SizeClass::Medium)
                return { .tasks = uniform(2, 3), .acceleratorsPerTask = 8, .adjacency = Adjacency::Rack };
            return { .tasks = uniform(0, 2) == 0 ? 8 : 4, .acceleratorsPerTask = 8, .adjacency = Adjacency::Rack };
        }

        std::chrono::minutes runTime(SizeClass size)
        {
            if (size == SizeClass::Small)
                return std::chrono::minutes(uniform(5, 90));
            return std::chrono::minutes(size == SizeClass::Medium ? uniform(30, 180) : uniform(90, 300));
        }

        void add(SizeClass size, std::chrono::seconds time)
        {
            static const std::array<const char*, 4> accounts { "inventory", "matching", "repricing", "appraisal" };
            std::chrono::seconds duration = runTime(size);
            double declaredRunTimeFactor = std::pow(4.0, std::uniform_real_distribution<double>(-1, 1)(m_random));
            Arrival arrival { .size = size, .time = state::MonotonicTime(time), .runTime = duration };
            arrival.specification = { .id = state::JobId("job-" + std::to_string(100'000 + m_arrivals.size())),
                .account = state::AccountId(accounts[static_cast<std::size_t>(uniform(0, 3))]),
                .shape = shape(size),
                .declaredRunTime
                = std::chrono::seconds(std::lround(static_cast<double>(duration.count()) * declaredRunTimeFactor)),
                .urgent = uniform(0, 9) == 0 };
            m_acceleratorSeconds += static_cast<double>(arrival.specification.shape.accelerators())
                * static_cast<double>(duration.count());
            m_arrivals.push_back(std::move(arrival));
        }

        const ArrivalOptions& m_options;
        std::mt19937 m_random;
        std::vector<Arrival> m_arrivals;
        double m_acceleratorSeconds = 0;
    };

} // namespace

std::vector<Arrival> makeArrivals(const ArrivalOptions& options)
{
    return ArrivalGenerator(options).run();
}

std::vector<state::Worker> siteWorkers()
{
    constexpr int workerCount = 48;
    constexpr int workersPerRack = 8;
    std::vector<state::Worker> workers;
    workers.reserve(workerCount);
    for (int i = 0; i < workerCount; ++i)
        workers.push_back({ .id = state::WorkerId("worker-" + std::to_string(100 + i)),
            .rack = state::RackId("rack-" + std::to_string(i / workersPerRack)),
            .position = i % workersPerRack,
            .accelerators = 8 });
    return workers;
}

state::Configuration siteConfiguration()
{
    state::Configuration configuration;
    auto addAccount = [&configuration](const char* name, std::vector<state::Guarantee> guarantees) {
        state::AccountId id(name);
        configuration.accounts[id] = { .id = id, .guarantees = std::move(guarantees) };
    };
    addAccount("inventory",
        { { .accelerators = 32, .adjacency = Adjacency::Rack, .count = 2 },
            { .accelerators = 8, .adjacency = Adjacency::Worker, .count = 2 } });
    addAccount("matching", { { .accelerators = 32, .adjacency = Adjacency::Rack, .count = 2 } });
    addAccount("repricing",
        { { .accelerators = 32, .adjacency = Adjacency::Rack },
            { .accelerators = 8, .adjacency = Adjacency::Worker, .count = 4 } });
    addAccount("appraisal", { { .accelerators = 8, .adjacency = Adjacency::Worker, .count = 6 } });
    return configuration;
}

} // namespace lentilsaddle::bench
