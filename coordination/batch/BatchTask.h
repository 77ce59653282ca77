/// @file
/// Task that replicates the batch jobs and, while it leads, schedules them.
#pragma once

#include "coordination/TaskEnvironment.h"
#include "coordination/batch/BatchMessage.h"
#include "coordination/batch/BatchOptions.h"
#include "coordination/batch/BatchPlatform.h"
#include "coordination/decisions/batch/HandoverPolicy.h"
#include "coordination/decisions/batch/InstanceRanking.h"
#include "coordination/decisions/batch/JobAdmission.h"
#include "state/batch/BatchTable.h"
#include "state/batch/Evacuations.h"
#include "state/batch/LeaderRecord.h"
#include "state/batch/WorkerSpeedSummary.h"
#include "transport/Task.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilsaddle::coordination::batch {

class BatchScheduler;
class CancellationPruner;
class KeyedReader;
class Leadership;
class SharedAppender;

class BatchTask : public transport::Task<BatchMessage> {
public:
    struct Hooks {
        /// Creates the clients of the platform; called on the task's thread.
        std::function<BatchPlatform(transport::EventLoop&)> connect;
        /// Called with each configuration version that comes into force.
        std::function<void(std::shared_ptr<const state::batch::BatchConfiguration>)> onConfiguration;
        /// Called when the instance becomes ready for new connections, or stops being so.
        std::function<void(bool ready)> onReadiness;
    };

    BatchTask(TaskEnvironment environment, const BatchOptions& options, Hooks hooks);
    ~BatchTask() override;

protected:
    void onStart() override;
    void onStop() override;
    void onMessage(BatchMessage message) override;

private:
    using TaskStates = std::vector<std::pair<state::batch::BatchTaskId, state::batch::BatchTaskState>>;

    std::unique_ptr<KeyedReader> makeReader(Stream stream, std::function<std::chrono::milliseconds()> readInterval,
        std::function<void(const std::vector<KeyedRecord>&)> onListing,
        std::function<void(const std::vector<KeyedRecord>&)> onRecords, std::function<void()> afterRead);
    void createReaders();
    /// Starts to read the directory, which only the leader needs.
    void startDirectory(std::uint64_t term);
    void createLeadership();

    void applyJournal(const std::vector<KeyedRecord>& records, bool listing);
    void applyRecord(const KeyedRecord& record, bool listing);
    /// Applies the removal of a key.
    void applyRemoval(const std::string& key);
    void applyDirectory(const std::vector<KeyedRecord>& records, bool listing);
    /// Applies the records of the operator's stream.
    void applyOperatorRecords(const std::vector<KeyedRecord>& records, bool listing);
    void applyEvacuations(const std::vector<state::batch::EvacuationRecord>& records, bool listing);
    /// Puts the newest readable version of the records into force; decoding a large version takes long.
    void applyConfiguration(const std::vector<const KeyedRecord*>& records);

    void handle(BatchMessage::Submit submit);
    void handle(const BatchMessage::Cancel& cancel);
    void handle(const BatchMessage::Query& query);
    void handle(const BatchMessage::CountPending& count);
    void handle(const BatchMessage::Drain& drain);

    /// Confirms the submission of a known job and stores an unknown one, if there is room for it.
    void storeJob(BatchMessage::Submit submit);
    JobAdmission::Decision decideAdmission(const state::batch::BatchJob& job) const;
    void refuseJob(const BatchMessage::Submit& submit, JobAdmission::Decision decision);
    /// Calls back at once if the job has ended, otherwise when the journal has been read up to now or a timeout passes.
    /// @param callback receives whether an unknown job was not in the journal at the time of the call.
    void afterLookup(const state::JobId& job, const std::function<void(bool upToDate)>& callback);
    /// Announces the processors of this instance in the journal, unless the announcement is already there.
    void announceInstance();
    /// Repeats the announcement of this instance, at the begin of a term and from time to time in it, if it has more
    /// processors than the leader, which then steps down.
    void requestLeadership();
    /// Steps down if an instance with more processors has announced itself in this term.
    void handOverIfRequested();
    void storeAnnouncement();
    /// Stores the cancellation, so that the job is cancelled whenever its submission takes effect.
    /// @param absent whether an up-to-date view of the journal does not hold the job.
    void storeCancellation(const state::JobId& job, bool absent, const std::function<void(ChangeOutcome)>& reply);
    /// Stores the cancellation of a known job again after its removal, which was decided before the job was known.
    void restoreCancellation(const state::JobId& job);

    void onElected(std::uint64_t term);
    void onLeadershipLost();
    void startScheduler(std::uint64_t term);
    void storeTasks(const TaskStates& states, const std::function<void()>& onStored);
    void storeStart(const state::JobId& job);
    void storeSpeeds(const state::batch::WorkerSpeedSummary& speeds);
    bool journalCurrent() const;
    /// @return whether the view of the directory is recent enough to start tasks.
    bool directoryCurrent() const;
    /// @return whether the view of the operator's stream is recent enough to start tasks.
    bool evacuationsCurrent() const;
    void updateReadiness();
    void watchReadiness();
    void recordStreamAges();

    TaskEnvironment m_environment;
    BatchOptions m_options;
    Hooks m_hooks;
    BatchPlatform m_platform;
    state::batch::BatchTable m_table;
    std::map<state::WorkerId, state::batch::BatchWorker> m_workers;
    std::shared_ptr<const state::batch::BatchConfiguration> m_configuration;
    state::batch::Evacuations m_evacuations;
    std::unique_ptr<SharedAppender> m_sharedAppender;
    std::unique_ptr<KeyedReader> m_journalReader;
    std::unique_ptr<KeyedReader> m_directoryReader;
    std::unique_ptr<KeyedReader> m_configurationReader;
    JobAdmission m_admission;
    /// Memory of the jobs that are being stored, in bytes.
    std::size_t m_storingBytes = 0;
    InstanceRanking m_ranking;
    /// Newest term for which requestLeadership() was due.
    std::uint64_t m_requestedTerm = 0;
    /// Term in which an instance with more processors last announced itself, perhaps before this instance's own claim
    /// of the term was confirmed; empty if none has.
    std::optional<std::uint64_t> m_outrankedTerm;
    bool m_leadershipRequestDue = false;
    state::MonotonicTime m_lastLeadershipRequest {};
    HandoverPolicy m_handover { HandoverPolicy::Options {} };
    std::unique_ptr<Leadership> m_leadership;
    std::unique_ptr<BatchScheduler> m_scheduler;
    std::unique_ptr<CancellationPruner> m_cancellationPruner;
    /// Newest speeds of the workers that a leader has stored.
    state::batch::WorkerSpeedSummary m_speeds;
    /// Leader record of the listing that is being applied.
    std::optional<state::batch::LeaderRecord> m_listedLeader;
    bool m_journalListed = false;
    bool m_draining = false;
    std::optional<bool> m_ready;
};

} // namespace lentilsaddle::coordination::batch
