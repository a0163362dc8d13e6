#pragma once

#include "work_table.h"

namespace briarwind {

/// Text of a job's progress record: state, tasks that are done, live runs with their workers, and
/// what is known of tasks that wait.
std::string FormatProgress(const job_entry& aJob, std::int64_t aEpoch);

/// One row of a task that is neither untouched nor done.
struct progress_task
{
  task_id mTask;
  run_number mRun = 0;
  int mFailures = 0;
  std::string mWorker; ///< empty: no live run
  std::string mCheckpoint;
};

struct progress_done
{
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<int> mTasks; ///< empty: all
};

struct progress_record
{
  work_state mState = work_state::kQueued;
  std::string mReason;
  int mNextOccurrence = 0;
  std::vector<int> mOccurrencesOver;
  std::vector<progress_done> mDone;
  std::vector<progress_task> mTasks;
};

result<progress_record> ParseProgress(std::string_view aJson, const std::string& aJob);

} // namespace briarwind
