#include "work_record.h"

#include "record_parts.h"

#include "briarwind/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

work_state ParseStateOrQueued(std::string_view aName)
{
  return ParseWorkState(aName).value_or(work_state::kQueued);
}

// Rows are positional to keep records small: the record of a job with many tasks is rewritten with
// each change of any of them.
json::array TaskRow(const task_id& aTask, const task_entry& aEntry)
{
  const bool live = aEntry.mPhase == task_phase::kLive;
  json::array row{ aTask.mOccurrence,
                   aTask.mStep,
                   aTask.mIndex,
                   aEntry.mRun,
                   aEntry.mFailures,
                   json::string(live ? aEntry.mWorker : std::string()),
                   json::string(aEntry.mCheckpoint) };
  if (aEntry.mCountedFailure > 0) {
    row.emplace_back(aEntry.mCountedFailure);
  }
  return row;
}

bool IsUntouched(const task_entry& aTask)
{
  return aTask.mPhase != task_phase::kLive && aTask.mRun == 0;
}

json::array DoneRow(const task_id& aFirst, int aCount, const step_entry& aStep)
{
  json::array row{ aFirst.mOccurrence, aFirst.mStep };
  if (aStep.IsDone() && aCount == static_cast<int>(aStep.mTasks.size())) {
    return row;
  }
  for (int i = aFirst.mIndex; i < aFirst.mIndex + aCount; ++i) {
    if (aStep.mTasks[static_cast<std::size_t>(i)].mPhase == task_phase::kDone) {
      row.emplace_back(i);
    }
  }
  return row;
}

// The former version reads single numbers only. It cannot read the accepted record of a job with
// more occurrences than this, see FormatWorkJob, and so never meets the intervals.
constexpr std::size_t kMaxListedOccurrences = 1'000;

// Adds the finished occurrences, as single numbers or as intervals.
void AddFinished(json::object& aRecord, const occurrence_set& aFinished)
{
  if (aFinished.empty()) {
    return;
  }
  json::array list;
  if (boost::icl::cardinality(aFinished) <= kMaxListedOccurrences) {
    for (const auto& each : aFinished) {
      for (int number = boost::icl::first(each); number <= boost::icl::last(each); ++number) {
        list.emplace_back(number);
      }
    }
    aRecord["over"] = std::move(list);
    return;
  }
  for (const auto& each : aFinished) {
    list.emplace_back(json::array{ boost::icl::first(each), boost::icl::last(each) });
  }
  aRecord["over_from_to"] = std::move(list);
}

json::array FailureRow(int aOccurrence, int aStep, const step_entry& aEntry)
{
  return { aOccurrence, aStep, aEntry.mLastFailedRun };
}

// Laid out like the row of a task.
json::array StoppingRow(const run_id& aRun, const std::string& aWorker)
{
  return { aRun.mTask.mOccurrence, aRun.mTask.mStep, aRun.mTask.mIndex, aRun.mRun, 0,
           json::string(aWorker) };
}

std::int64_t IntAt(const json::array& aRow, std::size_t aIndex)
{
  const json::value* value = aRow.if_contains(aIndex);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string TextAt(const json::array& aRow, std::size_t aIndex)
{
  const json::value* value = aRow.if_contains(aIndex);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

progress_task ReadTask(const json::array& aRow, const std::string& aJob)
{
  return { { aJob, static_cast<int>(IntAt(aRow, 0)), static_cast<int>(IntAt(aRow, 1)),
             static_cast<int>(IntAt(aRow, 2)) },
           IntAt(aRow, 3),
           static_cast<int>(IntAt(aRow, 4)),
           TextAt(aRow, 5),
           TextAt(aRow, 6),
           IntAt(aRow, 7) };
}

progress_done ReadDone(const json::array& aRow)
{
  progress_done done{ static_cast<int>(IntAt(aRow, 0)), static_cast<int>(IntAt(aRow, 1)), {} };
  for (std::size_t i = 2; i < aRow.size(); ++i) {
    done.mTasks.push_back(static_cast<int>(IntAt(aRow, i)));
  }
  return done;
}

progress_failure ReadFailure(const json::array& aRow)
{
  return { static_cast<int>(IntAt(aRow, 0)), static_cast<int>(IntAt(aRow, 1)), IntAt(aRow, 2) };
}

std::optional<int> ReadOccurrence(const json::value& aValue)
{
  const auto number = WholeNumber(aValue);
  return number && std::in_range<int>(*number) && *number >= 0
           ? std::optional(static_cast<int>(*number))
           : std::nullopt;
}

// For the former version, which opens all occurrences before this one that are not finished.
int NextOccurrence(const job_entry& aJob)
{
  int next = aJob.mNextOccurrence;
  if (!aJob.mOccurrences.empty()) {
    next = std::max(next, aJob.mOccurrences.rbegin()->first + 1);
  }
  if (!aJob.mFinishedOccurrences.empty()) {
    next = std::max(next, boost::icl::last(*aJob.mFinishedOccurrences.rbegin()) + 1);
  }
  return next;
}

} // namespace

void progress_rows::AddTasks(const task_id& aFirst, int aCount, const step_entry& aStep)
{
  if (aStep.DoneTasks() > 0) {
    json::array done = DoneRow(aFirst, aCount, aStep);
    const bool isWhole = aCount == static_cast<int>(aStep.mTasks.size());
    if (done.size() > 2 || (isWhole && aStep.IsDone())) {
      mDone.emplace_back(std::move(done));
    }
  }
  task_id task = aFirst;
  for (; task.mIndex < aFirst.mIndex + aCount; ++task.mIndex) {
    const task_entry& entry = aStep.mTasks[static_cast<std::size_t>(task.mIndex)];
    if (entry.mPhase != task_phase::kDone && !IsUntouched(entry)) {
      mTasks.emplace_back(TaskRow(task, entry));
    }
  }
}

std::string FormatProgress(const job_entry& aJob, std::int64_t aEpoch)
{
  progress_rows rows;
  json::array failures;
  if (!aJob.IsFinished() && !aJob.mIsInParts) {
    for (const auto& [number, occurrence] : aJob.mOccurrences) {
      for (std::size_t step = 0; step < occurrence.mSteps.size(); ++step) {
        const step_entry& entry = occurrence.mSteps[step];
        const int index = static_cast<int>(step);
        if (entry.mLastFailedRun > 0 && !entry.IsDone()) {
          failures.emplace_back(FailureRow(number, index, entry));
        }
        rows.AddTasks({ aJob.mSpec.mId, number, index, 0 }, static_cast<int>(entry.mTasks.size()),
                      entry);
      }
    }
  }
  json::object record{ { "state", ToString(aJob.mState) }, { "epoch", aEpoch },
                       { "change", aJob.mChange },         { "next", NextOccurrence(aJob) },
                       { "done", std::move(rows.mDone) },  { "tasks", std::move(rows.mTasks) } };
  if (aJob.mIsInParts) {
    record["parts"] = true;
  }
  if (!failures.empty()) {
    record["failed"] = std::move(failures);
  }
  if (!aJob.mStoppingRuns.empty()) {
    json::array stopping;
    for (const auto& [worker, run] : aJob.mStoppingRuns) {
      stopping.emplace_back(StoppingRow(run, worker));
    }
    record["stopping"] = std::move(stopping);
  }
  if (!aJob.mReason.empty()) {
    record["reason"] = aJob.mReason;
  }
  AddFinished(record, aJob.mFinishedOccurrences);
  return json::serialize(record);
}

result<progress_record> ParseProgress(std::string_view aJson, const std::string& aJob)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aJson));
  progress_record record;
  record.mState = ParseStateOrQueued(TextField(object, "state"));
  record.mReason = TextField(object, "reason");
  record.mIsInParts = BooleanField(object, "parts");
  for (const json::value& each : ArrayField(object, "over")) {
    if (const auto number = ReadOccurrence(each)) {
      record.mFinishedOccurrences.emplace_back(*number, *number);
    }
  }
  for (const json::value& each : ArrayField(object, "over_from_to")) {
    if (each.is_array() && each.get_array().size() == 2) {
      const auto first = ReadOccurrence(each.get_array()[0]);
      const auto last = ReadOccurrence(each.get_array()[1]);
      if (first && last && *first <= *last) {
        record.mFinishedOccurrences.emplace_back(*first, *last);
      }
    }
  }
  for (const json::value& each : ArrayField(object, "done")) {
    if (each.is_array()) {
      record.mDone.push_back(ReadDone(each.get_array()));
    }
  }
  for (const json::value& each : ArrayField(object, "tasks")) {
    if (each.is_array()) {
      record.mTasks.push_back(ReadTask(each.get_array(), aJob));
    }
  }
  for (const json::value& each : ArrayField(object, "stopping")) {
    if (each.is_array()) {
      record.mStopping.push_back(ReadTask(each.get_array(), aJob));
    }
  }
  for (const json::value& each : ArrayField(object, "failed")) {
    if (each.is_array()) {
      record.mFailures.push_back(ReadFailure(each.get_array()));
    }
  }
  return record;
}

work_state ProgressState(std::string_view aRecord)
{
  const auto read = ToIoResult([&] { return ParseJsonObject(aRecord); });
  return read ? ParseStateOrQueued(TextField(read.value(), "state")) : work_state::kQueued;
}

// ---- accepted jobs ------------------------------------------------------------------------------

namespace {

// Declared times are rough. Longer ones are taken as this one, so that sums over a job's steps stay
// far within the range of an instant.
constexpr milliseconds kMaxDeclaredTime = std::chrono::days(3'660);

milliseconds ReadDeclaredTime(const json::object& aObject, std::string_view aName)
{
  return std::clamp(milliseconds(NumberField(aObject, aName)), milliseconds(0), kMaxDeclaredTime);
}

json::object StepObject(const work_step& aStep)
{
  json::object object{ { "count", aStep.mCount },
                       { "accelerators", aStep.mDemand.mAccelerators },
                       { "milli_cores", aStep.mDemand.mMilliCores },
                       { "memory_mb", aStep.mDemand.mMemoryMb },
                       { "estimate_ms", aStep.mEstimate.count() } };
  const auto setSwitch = [&](const char* aName, bool aValue) {
    if (aValue) {
      object[aName] = true;
    }
  };
  const auto setNumber = [&](const char* aName, int aValue) {
    if (aValue != 0) {
      object[aName] = aValue;
    }
  };
  const auto setText = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      object[aName] = aValue;
    }
  };
  if (!aStep.mAfter.empty()) {
    object["after"] = json::array(aStep.mAfter.begin(), aStep.mAfter.end());
  }
  setSwitch("gang", aStep.mGang);
  setSwitch("rack_local", aStep.mRackLocal);
  setSwitch("checkpoints", aStep.mCheckpoints);
  setSwitch("lasting", aStep.mLongRunning);
  setSwitch("fills", aStep.mBestEffort);
  setText("label", aStep.mRequiredLabel);
  setText("data_rack", aStep.mDataRack);
  setNumber("per_worker", aStep.mPerWorkerLimit);
  setNumber("may_miss", aStep.mMaxUnavailable);
  setText("image", aStep.mImage);
  if (aStep.mLatencyTarget.count() > 0) {
    object["latency_target_ms"] = aStep.mLatencyTarget.count();
  }
  return object;
}

work_step ReadStep(const json::object& aObject)
{
  work_step step;
  step.mCount = std::max(IntField(aObject, "count", 1), 1);
  step.mDemand = { static_cast<int>(NumberField(aObject, "accelerators")),
                   NumberField(aObject, "milli_cores"), NumberField(aObject, "memory_mb") };
  step.mEstimate = ReadDeclaredTime(aObject, "estimate_ms");
  std::ranges::transform(
    ArrayField(aObject, "after"), std::back_inserter(step.mAfter),
    [](const json::value& aValue) { return static_cast<int>(WholeNumber(aValue).value_or(-1)); });
  step.mGang = BooleanField(aObject, "gang");
  step.mRackLocal = BooleanField(aObject, "rack_local");
  step.mCheckpoints = BooleanField(aObject, "checkpoints");
  step.mLongRunning = BooleanField(aObject, "lasting");
  step.mBestEffort = BooleanField(aObject, "fills");
  step.mRequiredLabel = TextField(aObject, "label");
  step.mDataRack = TextField(aObject, "data_rack");
  step.mPerWorkerLimit = static_cast<int>(NumberField(aObject, "per_worker"));
  step.mMaxUnavailable = static_cast<int>(NumberField(aObject, "may_miss"));
  step.mImage = TextField(aObject, "image");
  step.mLatencyTarget = ReadDeclaredTime(aObject, "latency_target_ms");
  return step;
}

json::object PolicyObject(const work_queue& aQueue)
{
  return { { "service", aQueue.mService },          { "priority", aQueue.mPriority },
           { "attempts", aQueue.mAttempts },        { "slack", aQueue.mSlack },
           { "target_ms", aQueue.mTarget.count() }, { "asks_advice", aQueue.mAsksAdvice } };
}

work_queue ReadPolicy(const json::object& aObject)
{
  work_queue queue;
  queue.mService = TextField(aObject, "service");
  queue.mPriority = static_cast<int>(NumberField(aObject, "priority"));
  queue.mAttempts = static_cast<int>(NumberField(aObject, "attempts", 1));
  const json::value* slack = aObject.if_contains("slack");
  queue.mSlack = slack != nullptr && slack->is_number() ? slack->to_number<double>() : 1;
  queue.mTarget = milliseconds(NumberField(aObject, "target_ms"));
  queue.mAsksAdvice = BooleanField(aObject, "asks_advice");
  return queue;
}

std::int64_t ToMilliseconds(wall_time aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch()).count();
}

// Whether the former version could read the job's progress records, whatever its course.
bool IsReadableByFormerVersion(const work_job& aJob)
{
  return aJob.mOccurrences <= static_cast<int>(kMaxListedOccurrences) && !IsInParts(aJob);
}

// Holds the steps of a job that the former version must leave alone. It passes over accepted
// records without "steps": as leader it neither runs such a job nor deletes its records.
constexpr std::string_view kWideSteps = "wide_steps";

} // namespace

std::string FormatWorkJob(const work_job& aJob)
{
  json::array steps;
  std::ranges::transform(aJob.mSteps, std::back_inserter(steps), StepObject);
  json::object object{ { "id", aJob.mId },
                       { "queue", aJob.mQueue },
                       { "organisation", aJob.mOrganisation },
                       { "payload", aJob.mPayload },
                       { "accepted_ms", ToMilliseconds(aJob.mAccepted) },
                       { "policy", PolicyObject(aJob.mPolicy) } };
  object[IsReadableByFormerVersion(aJob) ? "steps" : kWideSteps] = std::move(steps);
  if (aJob.mOccurrences > 0) {
    object["occurrences"] = aJob.mOccurrences;
    object["first_due_ms"] = aJob.mFirstDue.time_since_epoch().count();
    object["interval_ms"] = aJob.mInterval.count();
  }
  return json::serialize(object);
}

result<work_job> ParseWorkJob(std::string_view aJson)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aJson));
  work_job job;
  job.mId = TextField(object, "id");
  job.mQueue = TextField(object, "queue");
  job.mOrganisation = TextField(object, "organisation");
  job.mPayload = TextField(object, "payload");
  job.mAccepted = wall_time(milliseconds(NumberField(object, "accepted_ms")));
  job.mPolicy = ReadPolicy(ObjectField(object, "policy"));
  job.mOccurrences = IntField(object, "occurrences");
  job.mFirstDue = calendar_time(milliseconds(NumberField(object, "first_due_ms")));
  job.mInterval = milliseconds(std::max<std::int64_t>(NumberField(object, "interval_ms"), 0));
  for (const json::value& each :
       ArrayField(object, object.contains(kWideSteps) ? kWideSteps : "steps")) {
    if (!each.is_object()) {
      return MakeError(error_kind::kInvalid, "job",
                       fmt::format("a step of job \"{}\" is not a JSON object", job.mId));
    }
    job.mSteps.push_back(ReadStep(each.get_object()));
  }
  if (job.mId.empty() || job.mSteps.empty()) {
    return MakeError(error_kind::kInvalid, "job",
                     "the id or the list of steps is missing or empty");
  }
  return job;
}

} // namespace briarwind
