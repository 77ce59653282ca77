/// @file
/// Encoding of the batch subsystem's journal records.
#pragma once

#include "state/batch/BatchJob.h"
#include "state/batch/BatchTaskState.h"
#include "state/batch/LeaderRecord.h"
#include "state/batch/WorkerSpeedSummary.h"

#include <string>

namespace lentilsaddle::protocol::batch {

/// Records are JSON arrays without field names, which keeps them small, because every instance reads each of them.
/// @throws ProtocolError (all decoders) if the text is not a record of this kind.
std::string encodeJob(const state::batch::BatchJob& job);
state::batch::BatchJob decodeJob(const state::JobId& id, const std::string& text);

std::string encodeTaskState(const state::batch::BatchTaskState& taskState);
state::batch::BatchTaskState decodeTaskState(const std::string& text);

std::string encodeLeader(const state::batch::LeaderRecord& leader);
state::batch::LeaderRecord decodeLeader(const std::string& text);

/// @param processors processors that an instance may use, in thousandths of a processor.
std::string encodeInstance(int processors);
int decodeInstance(const std::string& text);

std::string encodeWorkerSpeeds(const state::batch::WorkerSpeedSummary& speeds);
state::batch::WorkerSpeedSummary decodeWorkerSpeeds(const std::string& text);

} // namespace lentilsaddle::protocol::batch
