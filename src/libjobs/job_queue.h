#pragma once

#include "libjobs/job_entry.h"

#include <map>
#include <memory>
#include <tuple>
#include <vector>

namespace briarwind {

/// Job properties that decide whether a placement exists. Jobs with equal properties form a class:
/// when the first job of a class cannot be placed, the others cannot either.
struct queue_class_id
{
  int mOrganisation = 0;
  int mTeam = 0;
  int mMembers = 1;
  int mAccelerators = 0;
  int mCores = 0;
  std::int64_t mMemoryMb = 0;
  adjacency mAdjacency = adjacency::kNone;
  bool mUrgent = false;
  bool mGuaranteed = false;
  bool mRepeatable = false;
  int mEstimateLog2 = 0;

  auto operator<=>(const queue_class_id&) const = default;
};

struct queue_class
{
  queue_class_id mId;
  std::map<queue_key, job_entry*> mJobs;
  bool mUntried = false; ///< not tried in the current pass
  wait_reason mWait = wait_reason::kNotTried;
  std::string mWaitDetail;

  job_entry& Head() const { return *mJobs.begin()->second; }
};

/// Jobs that wait for placement, grouped by class.
class job_queue
{
public:
  void Add(job_entry& aJob, milliseconds aEstimate);
  void Remove(job_entry& aJob);
  std::size_t Size() const { return mSize; }

  /// Begins a scheduling pass, in which every class is tried again.
  void BeginPass();
  /// Classes that were not tried in the current pass.
  const std::vector<queue_class*>& Untried() const { return mUntried; }
  void MarkTried(queue_class& aClass);
  std::vector<queue_class*> Classes() const;
  void Clear();

private:
  void MarkUntried(queue_class& aClass);

  std::map<queue_class_id, std::unique_ptr<queue_class>> mClasses;
  std::vector<queue_class*> mUntried;
  std::size_t mSize = 0;
};

} // namespace briarwind
