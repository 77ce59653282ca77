#include "protocol/RecordCodec.h"

#include "protocol/ProtocolError.h"
#include "records.pb.h"
#include "state/Record.h"

#include <algorithm>
#include <type_traits>

namespace lentilsaddle::protocol {

using state::Record;

namespace {

    void encode(const state::Origin& origin, wire::Origin& out)
    {
        out.set_instance(origin.instance.value());
        out.set_incarnation(origin.incarnation);
        out.set_sequence(origin.sequence);
    }

    state::Origin decode(const wire::Origin& in)
    {
        return {
            .instance = state::InstanceId(in.instance()),
            .incarnation = in.incarnation(),
            .sequence = in.sequence(),
        };
    }

    void encode(const state::JobSpecification& job, wire::JobSubmitted& out)
    {
        out.set_job_id(job.id.value());
        out.set_account(job.account.value());
        out.mutable_shape()->set_tasks(static_cast<std::uint32_t>(job.shape.tasks));
        out.mutable_shape()->set_accelerators_per_task(static_cast<std::uint32_t>(job.shape.acceleratorsPerTask));
        out.mutable_shape()->set_adjacency(std::string(state::toString(job.shape.adjacency)));
        out.set_declared_run_time_s(job.declaredRunTime.count());
        out.set_repeatable(job.repeatable);
        out.set_urgent(job.urgent);
        out.set_payload(job.payload);
    }

    state::JobSpecification decode(const wire::JobSubmitted& in)
    {
        auto adjacency = state::adjacencyFromString(in.shape().adjacency());
        if (!adjacency)
            throw ProtocolError(
                "shape.adjacency", "must be worker, rack or data_centre, got '" + in.shape().adjacency() + "'");
        return {
        .id = state::JobId(in.job_id()),
        .account = state::AccountId(in.account()),
        .shape = {
            .tasks = static_cast<int>(in.shape().tasks()),
            .acceleratorsPerTask = static_cast<int>(in.shape().accelerators_per_task()),
            .adjacency = *adjacency,
        },
        .declaredRunTime = std::chrono::seconds(in.declared_run_time_s()),
        .repeatable = in.repeatable(),
        .urgent = in.urgent(),
.payload = in.payload(),
    };
    }

    void encode(const Record::StartClaim& claim, wire::StartClaim& out)
    {
        out.set_job_id(claim.job.value());
        out.set_attempt(static_cast<std::uint32_t>(claim.attempt));
        out.set_epoch(claim.token.epoch);
        out.set_sequence(claim.token.sequence);
        out.set_within_guarantee(claim.withinGuarantee);
        for (const state::TaskPlacement& placement : claim.placements) {
            wire::TaskPlacement* entry = out.add_placements();
            entry->set_worker(placement.worker.value());
            for (int index : placement.accelerators)
                entry->add_accelerators(static_cast<std::uint32_t>(index));
        }
    }

    Record::StartClaim decode(const wire::StartClaim& in)
    {
        Record::StartClaim claim {
            .job = state::JobId(in.job_id()),
            .attempt = static_cast<int>(in.attempt()),
            .token = { .epoch = in.epoch(), .sequence = in.sequence() },
            .placements = {},
            .withinGuarantee = in.within_guarantee(),
        };
        for (const wire::TaskPlacement& entry : in.placements()) {
            state::TaskPlacement placement { .worker = state::WorkerId(entry.worker()), .accelerators = {} };
            for (std::uint32_t index : entry.accelerators())
                placement.accelerators.push_back(static_cast<int>(index));
            claim.placements.push_back(std::move(placement));
        }
        return claim;
    }

    std::string encode(const state::KeyDigest& digest)
    {
        return { digest.bytes.begin(), digest.bytes.end() };
    }

    state::KeyDigest decodeDigest(const std::string& bytes)
    {
        state::KeyDigest digest;
        if (bytes.size() != digest.bytes.size())
            throw ProtocolError("key_digest", "must have 16 bytes");
        std::copy(bytes.begin(), bytes.end(), digest.bytes.begin());
        return digest;
    }

    state::RequestOutcome decodeOutcome(const std::string& name)
    {
        for (auto outcome :
            { state::RequestOutcome::Done, state::RequestOutcome::NotRun, state::RequestOutcome::Unknown }) {
            if (name == state::toString(outcome))
                return outcome;
        }
        throw ProtocolError("outcome", "unknown outcome '" + name + "'");
    }

    void encodeBody(const Record::ConfigurationPatch& body, wire::Record& out)
    {
        wire::ConfigurationPatch* patch = out.mutable_configuration_patch();
        patch->set_patch_id(body.id.value());
        patch->set_base_version(body.base);
        patch->set_merge_patch(body.mergePatch);
    }

    void encodeBody(const Record::ConfigurationSnapshot& body, wire::Record& out)
    {
        wire::ConfigurationSnapshot* snapshot = out.mutable_configuration_snapshot();
        snapshot->set_version(body.version);
        snapshot->set_document(body.document);
        snapshot->set_next_offset(body.nextOffset);
        for (const Record::PatchOutcome& outcome : body.outcomes) {
            wire::PatchOutcome* entry = snapshot->add_outcomes();
            entry->set_patch_id(outcome.id.value());
            entry->set_accepted(outcome.accepted);
            entry->set_version(outcome.version);
            entry->set_reason(outcome.reason);
        }
    }

    void encodeBody(const Record::JobSubmitted& body, wire::Record& out)
    {
        encode(body.specification, *out.mutable_job_submitted());
    }

    void encodeBody(const Record::SchedulerClaim& body, wire::Record& out)
    {
        out.mutable_scheduler_claim()->set_epoch(body.epoch);
        out.mutable_scheduler_claim()->set_vacant(body.vacant);
    }

    void encodeBody(const Record::StartClaim& body, wire::Record& out)
    {
        encode(body, *out.mutable_start_claim());
    }

    void encodeBody(const Record::AttemptEnded& body, wire::Record& out)
    {
        wire::AttemptEnded* ended = out.mutable_attempt_ended();
        ended->set_job_id(body.job.value());
        ended->set_attempt(static_cast<std::uint32_t>(body.attempt));
        ended->set_outcome(body.outcome);
        ended->set_reason(body.reason);
        for (const state::WorkerId& worker : body.failedWorkers)
            ended->add_failed_workers(worker.value());
    }

    void encodeBody(const Record::JobEnded& body, wire::Record& out)
    {
        wire::JobEnded* ended = out.mutable_job_ended();
        ended->set_job_id(body.job.value());
        ended->set_outcome(body.outcome);
        ended->set_reason(body.reason);
    }

    void encodeBody(const Record::JobCancelled& body, wire::Record& out)
    {
        out.mutable_job_cancelled()->set_job_id(body.job.value());
    }

    void encodeBody(const Record::JobSnapshot& body, wire::Record& out)
    {
        wire::JobSnapshot* snapshot = out.mutable_job_snapshot();
        snapshot->set_epoch(body.epoch);
        snapshot->set_scheduler(body.scheduler.value());
        snapshot->set_scheduler_incarnation(body.schedulerIncarnation);
        snapshot->set_next_offset(body.nextOffset);
        for (const Record::JobSnapshotEntry& job : body.jobs) {
            wire::JobSnapshotEntry* entry = snapshot->add_jobs();
            encode(job.specification, *entry->mutable_job());
            entry->set_attempts(static_cast<std::uint32_t>(job.attempts));
            entry->set_failures(static_cast<std::uint32_t>(job.failures));
            if (job.claim)
                encode(*job.claim, *entry->mutable_claim());
            entry->set_state(job.state);
            entry->set_reason(job.reason);
            entry->set_last_outcome(job.lastOutcome);
            entry->set_cancel_requested(job.cancelRequested);
            for (const state::WorkerId& worker : job.failedWorkers)
                entry->add_failed_workers(worker.value());
        }
    }

    void encodeBody(const Record::RequestClaim& body, wire::Record& out)
    {
        out.mutable_request_claim()->set_key_digest(encode(body.key));
        out.mutable_request_claim()->set_request_id(body.request.value());
    }

    void encodeBody(const Record::RequestEnded& body, wire::Record& out)
    {
        wire::RequestOutcome* outcome = out.mutable_request_outcome();
        outcome->set_key_digest(encode(body.key));
        outcome->set_outcome(std::string(state::toString(body.outcome)));
        outcome->set_status(static_cast<std::uint32_t>(body.status));
        outcome->set_claim_sequence(body.claimSequence);
    }

    void encodeBody(const Record::RequestSnapshot& body, wire::Record& out)
    {
        wire::RequestSnapshot* snapshot = out.mutable_request_snapshot();
        snapshot->set_next_offset(body.nextOffset);
        snapshot->set_part(body.part);
        snapshot->set_parts(body.parts);
        for (const Record::RequestSnapshotEntry& request : body.entries) {
            wire::RequestSnapshotEntry* entry = snapshot->add_entries();
            entry->set_key_digest(encode(request.key));
            encode(request.issuer, *entry->mutable_issuer());
            entry->set_age_s(static_cast<std::uint32_t>(request.age.count()));
            if (!request.ended)
                continue;
            entry->set_outcome(std::string(state::toString(request.ended->outcome)));
            entry->set_status(static_cast<std::uint32_t>(request.ended->status));
        }
    }

    Record::ConfigurationSnapshot decode(const wire::ConfigurationSnapshot& in)
    {
        Record::ConfigurationSnapshot snapshot {
            .version = in.version(),
            .document = in.document(),
            .outcomes = {},
            .nextOffset = in.next_offset(),
        };
        for (const wire::PatchOutcome& entry : in.outcomes()) {
            snapshot.outcomes.push_back({
                .id = state::PatchId(entry.patch_id()),
                .accepted = entry.accepted(),
                .version = entry.version(),
                .reason = entry.reason(),
            });
        }
        return snapshot;
    }

    std::vector<state::WorkerId> decodeWorkers(const google::protobuf::RepeatedPtrField<std::string>& names)
    {
        std::vector<state::WorkerId> workers;
        for (const std::string& name : names)
            workers.emplace_back(name);
        return workers;
    }

    Record::JobSnapshot decode(const wire::JobSnapshot& in)
    {
        Record::JobSnapshot snapshot {
            .epoch = in.epoch(),
            .scheduler = state::InstanceId(in.scheduler()),
            .schedulerIncarnation = in.scheduler_incarnation(),
            .jobs = {},
            .nextOffset = in.next_offset(),
        };
        for (const wire::JobSnapshotEntry& entry : in.jobs()) {
            Record::JobSnapshotEntry job {
                .specification = decode(entry.job()),
                .attempts = static_cast<int>(entry.attempts()),
                .failures = static_cast<int>(entry.failures()),
                .claim = std::nullopt,
                .state = entry.state(),
                .reason = entry.reason(),
                .lastOutcome = entry.last_outcome(),
                .cancelRequested = entry.cancel_requested(),
                .failedWorkers = decodeWorkers(entry.failed_workers()),
            };
            if (entry.has_claim())
                job.claim = decode(entry.claim());
            snapshot.jobs.push_back(std::move(job));
        }
        return snapshot;
    }

    Record::RequestSnapshot decode(const wire::RequestSnapshot& in)
    {
        Record::RequestSnapshot snapshot {
            .entries = {}, .nextOffset = in.next_offset(), .part = in.part(), .parts = in.parts()
        };
        for (const wire::RequestSnapshotEntry& entry : in.entries()) {
            Record::RequestSnapshotEntry request {
                .key = decodeDigest(entry.key_digest()),
                .issuer = decode(entry.issuer()),
                .ended = std::nullopt,
                .age = std::chrono::seconds(entry.age_s()),
            };
            if (!entry.outcome().empty()) {
                request.ended = Record::RequestEnded {
                    .key = request.key,
                    .outcome = decodeOutcome(entry.outcome()),
                    .status = static_cast<int>(entry.status()),
                    .claimSequence = request.issuer.sequence,
                };
            }
            snapshot.entries.push_back(std::move(request));
        }
        return snapshot;
    }

    Record::Body decodeBody(const wire::Record& in)
    {
        switch (in.body_case()) {
        case wire::Record::kConfigurationPatch:
            return Record::ConfigurationPatch {
                .id = state::PatchId(in.configuration_patch().patch_id()),
                .base = in.configuration_patch().base_version(),
                .mergePatch = in.configuration_patch().merge_patch(),
            };
        case wire::Record::kConfigurationSnapshot:
            return decode(in.configuration_snapshot());
        case wire::Record::kJobSubmitted:
            return Record::JobSubmitted { .specification = decode(in.job_submitted()) };
        case wire::Record::kSchedulerClaim:
            return Record::SchedulerClaim {
                .epoch = in.scheduler_claim().epoch(),
                .vacant = in.scheduler_claim().vacant(),
            };
        case wire::Record::kStartClaim:
            return decode(in.start_claim());
        case wire::Record::kAttemptEnded:
            return Record::AttemptEnded {
                .job = state::JobId(in.attempt_ended().job_id()),
                .attempt = static_cast<int>(in.attempt_ended().attempt()),
                .outcome = in.attempt_ended().outcome(),
                .reason = in.attempt_ended().reason(),
                .failedWorkers = decodeWorkers(in.attempt_ended().failed_workers()),
            };
        case wire::Record::kJobEnded:
            return Record::JobEnded {
                .job = state::JobId(in.job_ended().job_id()),
                .outcome = in.job_ended().outcome(),
                .reason = in.job_ended().reason(),
            };
        case wire::Record::kJobCancelled:
            return Record::JobCancelled { .job = state::JobId(in.job_cancelled().job_id()) };
        case wire::Record::kJobSnapshot:
            return decode(in.job_snapshot());
        case wire::Record::kRequestClaim:
            return Record::RequestClaim {
                .key = decodeDigest(in.request_claim().key_digest()),
                .request = state::RequestId(in.request_claim().request_id()),
            };
        case wire::Record::kRequestOutcome:
            return Record::RequestEnded {
                .key = decodeDigest(in.request_outcome().key_digest()),
                .outcome = decodeOutcome(in.request_outcome().outcome()),
                .status = static_cast<int>(in.request_outcome().status()),
                .claimSequence = in.request_outcome().claim_sequence(),
            };
        case wire::Record::kRequestSnapshot:
            return decode(in.request_snapshot());
        case wire::Record::BODY_NOT_SET:
            break;
        }
        throw ProtocolError("body", "has no known record type");
    }

} // namespace

std::string encodeRecord(const Record& record)
{
    wire::Record out;
    encode(record.origin, *out.mutable_origin());
    std::visit([&out](const auto& body) { encodeBody(body, out); }, record.body);
    return out.SerializeAsString();
}

Record decodeRecord(const std::string& bytes)
{
    wire::Record in;
    if (!in.ParseFromString(bytes))
        throw ProtocolError("body", "is not a serialized record");
    return { .origin = decode(in.origin()), .body = decodeBody(in) };
}

} // namespace lentilsaddle::protocol
