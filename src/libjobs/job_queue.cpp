#include "libjobs/job_queue.h"

#include <algorithm>
#include <bit>

namespace briarwind {

void job_queue::Add(job_entry& aJob, milliseconds aEstimate)
{
  const job_spec& spec = aJob.Spec();
  const queue_class_id id{
    aJob.mOrganisation->mId,
    aJob.mTeam != nullptr ? aJob.mTeam->mId : -1,
    spec.mMembers,
    spec.mShape.mAccelerators,
    spec.mShape.mCores,
    spec.mShape.mMemoryMb,
    spec.mAdjacency,
    spec.mUrgent,
    spec.mGuaranteed,
    spec.mRepeatable,
    static_cast<int>(
      std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(aEstimate.count(), 0)))),
  };
  std::unique_ptr<queue_class>& found = mClasses[id];
  if (!found) {
    found = std::make_unique<queue_class>();
    found->mId = id;
    MarkUntried(*found);
  }
  if (found->mJobs.empty() || aJob.mKey < found->mJobs.begin()->first) {
    MarkUntried(*found);
  }
  found->mJobs.emplace(aJob.mKey, &aJob);
  aJob.mClass = found.get();
  ++mSize;
}

void job_queue::Remove(job_entry& aJob)
{
  queue_class* const from = aJob.mClass;
  if (from == nullptr) {
    return;
  }
  from->mJobs.erase(aJob.mKey);
  aJob.mClass = nullptr;
  --mSize;
  if (from->mJobs.empty()) {
    MarkTried(*from);
    mClasses.erase(queue_class_id(from->mId));
  }
}

void job_queue::BeginPass()
{
  for (const auto& [id, each] : mClasses) {
    MarkUntried(*each);
  }
}

void job_queue::MarkUntried(queue_class& aClass)
{
  if (!aClass.mUntried) {
    aClass.mUntried = true;
    mUntried.push_back(&aClass);
  }
}

void job_queue::MarkTried(queue_class& aClass)
{
  if (aClass.mUntried) {
    aClass.mUntried = false;
    const auto found = std::ranges::find(mUntried, &aClass);
    *found = mUntried.back();
    mUntried.pop_back();
  }
}

std::vector<queue_class*> job_queue::Classes() const
{
  std::vector<queue_class*> all;
  for (const auto& [id, each] : mClasses) {
    all.push_back(each.get());
  }
  return all;
}

void job_queue::Clear()
{
  mClasses.clear();
  mUntried.clear();
  mSize = 0;
}

} // namespace briarwind
