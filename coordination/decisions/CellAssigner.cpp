#include "coordination/decisions/CellAssigner.h"

#include "coordination/decisions/GangFit.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

namespace lentilsaddle::coordination {

CellAssigner::CellAssigner(const ClusterView& view, AcceleratorCounts room)
    : m_view(view)
    , m_room(std::move(room))
{
    m_rackRoom.reserve(view.racks().size());
    for (const std::vector<int>& rack : view.racks()) {
        m_rackRoom.push_back(
            std::accumulate(rack.begin(), rack.end(), 0, [this](int sum, int worker) { return sum + roomOf(worker); }));
    }
}

std::optional<std::vector<GangTask>> CellAssigner::assign(const GuaranteeCells::Cell& cell)
{
    auto place = find(cell);
    if (!place)
        return std::nullopt;
    subtract(m_room, *place);
    for (const GangTask& part : *place) {
        int rack = m_view.workers()[static_cast<std::size_t>(part.worker)].rack;
        m_rackRoom[static_cast<std::size_t>(rack)] -= part.accelerators;
    }
    return place;
}

std::optional<CellAssigner::Place> CellAssigner::find(const GuaranteeCells::Cell& cell) const
{
    if (cell.parts.empty() && cell.adjacency == state::Adjacency::Worker)
        return findOnWorker(cell.accelerators);
    if (cell.parts.empty() && cell.adjacency == state::Adjacency::Rack)
        return findInBestRack(cell.accelerators);
    if (cell.parts.empty()) {
        auto inOneRack = findInBestRack(cell.accelerators);
        return inOneRack ? inOneRack : findInDataCentre({}, cell.accelerators);
    }

    Place used;
    for (const GangTask& part : cell.parts) {
        auto known = std::find_if(
            used.begin(), used.end(), [&part](const GangTask& other) { return other.worker == part.worker; });
        if (known == used.end())
            used.push_back(part);
        else
            known->accelerators += part.accelerators;
    }
    auto place = findAround(cell, used, -1);
    for (std::size_t i = 0; !place && i < used.size(); ++i)
        place = findAround(cell, used, used[i].worker);
    if (!place)
        return std::nullopt;
    for (GangTask& block : *place) {
        for (const GangTask& own : used)
            block.accelerators -= own.worker == block.worker ? own.accelerators : 0;
    }
    std::erase_if(*place, [](const GangTask& block) { return block.accelerators == 0; });
    return place;
}

std::optional<CellAssigner::Place> CellAssigner::findAround(
    const GuaranteeCells::Cell& cell, const Place& used, int partial) const
{
    int remaining = cell.accelerators;
    Place place;
    std::optional<GangTask> part;
    for (const GangTask& own : used) {
        int capacity = m_view.workers()[static_cast<std::size_t>(own.worker)].capacity;
        bool whole = capacity > 0 && roomOf(own.worker) + own.accelerators == capacity && capacity <= remaining;
        if (whole && own.worker != partial) {
            place.push_back({ .worker = own.worker, .accelerators = capacity });
            remaining -= capacity;
            continue;
        }
        if (part)
            return std::nullopt;
        part = own;
    }
    if (part)
        return completeAround(cell, std::move(place), remaining, *part);
    if (cell.adjacency == state::Adjacency::DataCentre)
        return findInDataCentre(std::move(place), remaining);
    if (!extend(place, remaining, region(cell), false))
        return std::nullopt;
    return place;
}

std::optional<CellAssigner::Place> CellAssigner::completeAround(
    const GuaranteeCells::Cell& cell, Place place, int remaining, const GangTask& partial) const
{
    // The part holds at least what is in use; whole workers take the rest.
    int others = remaining - partial.accelerators;
    if (others < 0)
        return std::nullopt;
    std::size_t chosen = place.size();
    std::vector<int> workers = region(cell);
    std::erase(workers, partial.worker);
    int uncovered = others;
    extend(place, uncovered, workers, true);
    for (std::size_t i = chosen; i < place.size(); ++i)
        remaining -= place[i].accelerators;
    if (remaining > roomOf(partial.worker) + partial.accelerators)
        return std::nullopt;
    place.push_back({ .worker = partial.worker, .accelerators = remaining });
    return place;
}

std::vector<int> CellAssigner::region(const GuaranteeCells::Cell& cell) const
{
    int worker = cell.parts.front().worker;
    int rack = m_view.workers()[static_cast<std::size_t>(worker)].rack;
    if (cell.adjacency == state::Adjacency::Worker)
        return { worker };
    if (cell.adjacency == state::Adjacency::Rack)
        return m_view.racks()[static_cast<std::size_t>(rack)];
    return workersByRackRoom();
}

std::optional<CellAssigner::Place> CellAssigner::findOnWorker(int accelerators) const
{
    int best = -1;
    for (std::size_t i = 0; i < m_room.size(); ++i) {
        int worker = static_cast<int>(i);
        if (m_room[i] < accelerators)
            continue;
        auto rackRoom = [this](int index) {
            return m_rackRoom[static_cast<std::size_t>(m_view.workers()[static_cast<std::size_t>(index)].rack)];
        };
        if (best < 0 || std::pair(m_room[i], rackRoom(worker)) < std::pair(roomOf(best), rackRoom(best)))
            best = worker;
    }
    if (best < 0)
        return std::nullopt;
    return Place { { .worker = best, .accelerators = accelerators } };
}

std::optional<CellAssigner::Place> CellAssigner::findInBestRack(int accelerators) const
{
    std::optional<Place> best;
    int bestRoom = std::numeric_limits<int>::max();
    for (std::size_t rack = 0; rack < m_rackRoom.size(); ++rack) {
        if (m_rackRoom[rack] < accelerators || m_rackRoom[rack] >= bestRoom)
            continue;
        Place place;
        int remaining = accelerators;
        if (!extend(place, remaining, m_view.racks()[rack], false))
            continue;
        best = std::move(place);
        bestRoom = m_rackRoom[rack];
    }
    return best;
}

std::optional<CellAssigner::Place> CellAssigner::findInDataCentre(Place place, int accelerators) const
{
    int remaining = accelerators;
    if (!extend(place, remaining, workersByRackRoom(), false))
        return std::nullopt;
    return place;
}

std::vector<int> CellAssigner::workersByRackRoom() const
{
    std::vector<std::size_t> order(m_rackRoom.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(),
        [this](std::size_t left, std::size_t right) { return m_rackRoom[left] < m_rackRoom[right]; });
    std::vector<int> workers;
    workers.reserve(m_room.size());
    for (std::size_t rack : order)
        workers.insert(workers.end(), m_view.racks()[rack].begin(), m_view.racks()[rack].end());
    return workers;
}

bool CellAssigner::extend(Place& place, int& remaining, const std::vector<int>& workers, bool wholeOnly) const
{
    auto taken = [&place](int worker) {
        return std::any_of(
            place.begin(), place.end(), [worker](const GangTask& part) { return part.worker == worker; });
    };
    for (int worker : workers) {
        int capacity = m_view.workers()[static_cast<std::size_t>(worker)].capacity;
        if (capacity == 0 || roomOf(worker) != capacity || capacity > remaining || taken(worker))
            continue;
        place.push_back({ .worker = worker, .accelerators = capacity });
        remaining -= capacity;
    }
    if (remaining == 0 || wholeOnly)
        return remaining == 0;
    int best = -1;
    for (int worker : workers) {
        if (roomOf(worker) >= remaining && (best < 0 || roomOf(worker) < roomOf(best)) && !taken(worker))
            best = worker;
    }
    if (best < 0)
        return false;
    place.push_back({ .worker = best, .accelerators = remaining });
    remaining = 0;
    return true;
}

} // namespace lentilsaddle::coordination
