#include "standins/instance/instance_state.h"

#include <algorithm>
#include <array>

namespace briarwind {

namespace {

bool IsDue(std::int64_t aCount, std::int64_t aEvery)
{
  return aEvery > 0 && aCount % aEvery == 0;
}

struct fault_rule
{
  std::int64_t instance_faults::* mEvery;
  answer_fault mFault;
};

constexpr std::array<fault_rule, 5> kRules{ {
  { &instance_faults::mDropAfterRunEvery, answer_fault::kDrop },
  { &instance_faults::mFailEvery, answer_fault::kFail },
  { &instance_faults::mTruncateEvery, answer_fault::kTruncate },
  { &instance_faults::mForeignEvery, answer_fault::kForeign },
  { &instance_faults::mDoubleEvery, answer_fault::kDouble },
} };

} // namespace

admission instance_state::Admit(const std::string& aRequestId)
{
  ++mArrived;
  if (IsDue(mArrived, mFaults.mDropBeforeRunEvery)) {
    return admission::kDrop;
  }
  if (IsDue(mArrived, mFaults.mNotRunEvery) || mRunning >= mSlots) {
    return admission::kNotRun;
  }
  ++mRuns[aRequestId];
  ++mRunning;
  mMaxRunning = std::max(mMaxRunning, mRunning);
  return admission::kRun;
}

answer_fault instance_state::Finish()
{
  --mRunning;
  ++mFinished;
  if (mFaults.mFailFast) {
    return answer_fault::kFail;
  }
  const auto* due = std::ranges::find_if(
    kRules, [this](const fault_rule& aRule) { return IsDue(mFinished, mFaults.*aRule.mEvery); });
  return due != kRules.end() ? due->mFault : answer_fault::kNone;
}

} // namespace briarwind
