#pragma once

#include "work_table.h"

#include <cstdint>

/// Progress records of wide jobs, which consist of a main record and of parts. A part holds the
/// rows of tasks that follow each other, so that a change rewrites a bounded number of rows.

namespace briarwind {

/// Tasks of one part. Their rows are far smaller than the values that a store takes.
inline constexpr int kTasksPerPart = 512;
/// Most tasks that a job may have open while its progress is kept in one record.
inline constexpr std::int64_t kMaxTasksInOneRecord = 2'048;

/// Most tasks of one job's open occurrences together, beyond the first occurrence: as many as the
/// whole fleet runs.
inline constexpr std::int64_t kMaxOpenTasks = 32'000;

/// Tasks of one occurrence, at least 1.
std::int64_t TasksPerOccurrence(const work_job& aJob);
/// Whether the progress record of the job is kept in parts. Depends on the accepted job alone.
bool IsInParts(const work_job& aJob);
/// Number of the part that holds the task's row.
std::int64_t PartOf(const work_job& aJob, const task_id& aTask);
/// JSON of one part; empty if no task in it has anything to record.
std::string FormatPart(const job_entry& aJob, std::int64_t aPart);

} // namespace briarwind
