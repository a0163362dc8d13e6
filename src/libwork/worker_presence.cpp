#include "worker_presence.h"

#include <algorithm>

namespace briarwind {

namespace {

// A worker that returned is first given work that is lost alone: the time covers an absence and a
// return of workers that go down and up every 1.4 s.
constexpr milliseconds kReturnTime{ 5'000 };
// Two absences within this time show that the worker flaps.
constexpr milliseconds kFlapWindow{ 10'000 };
// A single poll without an answer is repeated after 150 ms and says nothing about the worker.
constexpr milliseconds kMinAbsence{ 400 };
// A worker that has been away for this long is forgotten.
constexpr milliseconds kForgetAfter{ 60'000 };

} // namespace

bool worker_presence::absences::IsFlapping(instant aNow) const
{
  return mFormerAwayAt != instant() && aNow - mFormerAwayAt <= kFlapWindow;
}

void worker_presence::absences::Count(instant aAwayAt, instant aNow)
{
  mAwaySince = {};
  mFormerAwayAt = mLastAwayAt;
  mLastAwayAt = aAwayAt;
  mReturnedAt = aNow;
}

void worker_presence::OnAway(const std::string& aWorker, instant aNow)
{
  absences& known = mWorkers[aWorker];
  if (known.mAwaySince == instant()) {
    known.mAwaySince = aNow;
  }
}

void worker_presence::OnPresent(const std::string& aWorker, instant aNow)
{
  const auto found = mWorkers.find(aWorker);
  if (found == mWorkers.end() || found->second.mAwaySince == instant()) {
    return;
  }
  absences& known = found->second;
  if (aNow - known.mAwaySince < kMinAbsence) {
    known.mAwaySince = {};
    return;
  }
  known.Count(known.mAwaySince, aNow);
}

void worker_presence::OnRestarted(const std::string& aWorker, instant aNow)
{
  absences& known = mWorkers[aWorker];
  known.Count(known.mAwaySince == instant() ? aNow : known.mAwaySince, aNow);
}

std::vector<std::string> worker_presence::Update(instant aNow)
{
  std::erase_if(mWorkers, [&](const auto& aWorker) {
    const absences& known = aWorker.second;
    const bool isPresent = known.mAwaySince == instant();
    return isPresent ? aNow - known.mReturnedAt > kReturnTime && !known.IsFlapping(aNow) &&
                         aNow - known.mLastAwayAt > kFlapWindow
                     : aNow - known.mAwaySince > kForgetAfter;
  });
  std::vector<std::string> flapping;
  for (auto& [id, known] : mWorkers) {
    const bool flaps = known.IsFlapping(aNow);
    if (flaps && !known.mReported) {
      flapping.push_back(id);
    }
    known.mReported = flaps;
  }
  return flapping;
}

bool worker_presence::HasJustReturned(const std::string& aWorker, instant aNow) const
{
  const auto found = mWorkers.find(aWorker);
  return found != mWorkers.end() && found->second.mReturnedAt != instant() &&
         aNow - found->second.mReturnedAt <= kReturnTime;
}

bool worker_presence::IsFlapping(const std::string& aWorker, instant aNow) const
{
  const auto found = mWorkers.find(aWorker);
  return found != mWorkers.end() && found->second.IsFlapping(aNow);
}

} // namespace briarwind
