#pragma once

#include "work_table.h"

#include <boost/json.hpp>

namespace briarwind {

/// JSON of a job's progress record: state, tasks that are done, live runs with their workers, run
/// numbers, failures and checkpoints of waiting tasks that were started before, the last failed run
/// of each gang, the finished occurrences, and the runs of a finished job that were being stopped.
std::string FormatProgress(const job_entry& aJob, std::int64_t aEpoch);

/// Row of a task that was started at least once and is not done.
struct progress_task
{
  task_id mTask;
  run_number mRun = 0;
  int mFailures = 0;
  std::string mWorker; ///< empty: no live run
  std::string mCheckpoint;
  run_number mCountedFailure = 0; ///< in parts only, see task_entry
};

/// Tasks of one step that are done.
struct progress_done
{
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<int> mTasks; ///< empty: all
};

/// The run of a gang that was last counted as failed.
struct progress_failure
{
  int mOccurrence = 0;
  int mStep = 0;
  run_number mRun = 0;
};

/// A parsed progress record.
struct progress_record
{
  work_state mState = work_state::kQueued;
  std::string mReason;
  bool mIsInParts = false; ///< the rows of tasks are in parts, which have the same form
  std::vector<std::pair<int, int>> mFinishedOccurrences; ///< first and last of each interval
  std::vector<progress_done> mDone;
  std::vector<progress_task> mTasks;
  std::vector<progress_failure> mFailures; ///< empty in records of former versions
  /// Of a finished job: runs that were being stopped; empty in records of former versions.
  std::vector<progress_task> mStopping;
};

/// Rows of the given tasks of one step, which follow each other, for a record or a part of it.
struct progress_rows
{
  boost::json::array mDone;
  boost::json::array mTasks;

  void AddTasks(const task_id& aFirst, int aCount, const step_entry& aStep);
};

/// Fails when the text is no JSON object; fields that are missing or malformed read as empty.
/// @param aJob id of the job, for the ids of the tasks
result<progress_record> ParseProgress(std::string_view aJson, const std::string& aJob);

} // namespace briarwind
