/// @file
/// Memory that a batch job takes.
#pragma once

#include <cstddef>

namespace lentilsaddle::state::batch {

struct BatchJob;

/// @return bytes that a process needs for the job until its end: the specification, the records of its tasks and, on
/// the leader, the tasks that are ready. The states of running tasks, which the workers bound, are not included.
std::size_t jobMemoryBytes(const BatchJob& job);

} // namespace lentilsaddle::state::batch
