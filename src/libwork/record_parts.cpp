#include "record_parts.h"

#include "work_record.h"

#include <algorithm>
#include <numeric>

namespace briarwind {

namespace json = boost::json;

std::int64_t TasksPerOccurrence(const work_job& aJob)
{
  const std::int64_t tasks =
    std::accumulate(aJob.mSteps.begin(), aJob.mSteps.end(), std::int64_t{ 0 },
                    [](std::int64_t aSum, const work_step& aStep) { return aSum + aStep.mCount; });
  return tasks > 0 ? tasks : 1;
}

bool IsInParts(const work_job& aJob)
{
  const std::int64_t once = TasksPerOccurrence(aJob);
  const std::int64_t all = once * std::max(aJob.mOccurrences, 1);
  return std::min(all, std::max(once, kMaxOpenTasks)) > kMaxTasksInOneRecord;
}

std::int64_t PartOf(const work_job& aJob, const task_id& aTask)
{
  const auto before = aJob.mSteps | std::views::take(aTask.mStep);
  const std::int64_t offset =
    std::accumulate(before.begin(), before.end(), std::int64_t{ 0 },
                    [](std::int64_t aSum, const work_step& aStep) { return aSum + aStep.mCount; });
  return (aTask.mOccurrence * TasksPerOccurrence(aJob) + offset + aTask.mIndex) / kTasksPerPart;
}

std::string FormatPart(const job_entry& aJob, std::int64_t aPart)
{
  progress_rows rows;
  const std::int64_t perOccurrence = TasksPerOccurrence(aJob.mSpec);
  const std::int64_t first = aPart * kTasksPerPart;
  const std::int64_t end = first + kTasksPerPart;
  const auto last = static_cast<int>((end - 1) / perOccurrence);
  auto each = aJob.mOccurrences.lower_bound(static_cast<int>(first / perOccurrence));
  for (; each != aJob.mOccurrences.end() && each->first <= last; ++each) {
    std::int64_t begin = each->first * perOccurrence; // of the step's tasks, counted over all steps
    for (std::size_t i = 0; i < each->second.mSteps.size(); ++i) {
      const step_entry& step = each->second.mSteps[i];
      const auto count = static_cast<std::int64_t>(step.mTasks.size());
      const std::int64_t from = std::max(first - begin, std::int64_t{ 0 });
      const std::int64_t to = std::min(end - begin, count);
      if (from < to) {
        rows.AddTasks({ aJob.mSpec.mId, each->first, static_cast<int>(i), static_cast<int>(from) },
                      static_cast<int>(to - from), step);
      }
      begin += count;
    }
  }
  if (rows.mDone.empty() && rows.mTasks.empty()) {
    return {};
  }
  return json::serialize(
    json::object{ { "done", std::move(rows.mDone) }, { "tasks", std::move(rows.mTasks) } });
}

} // namespace briarwind
