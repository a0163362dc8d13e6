#include "work_placement.h"

#include <algorithm>

namespace briarwind {

namespace {

// Maximum number of workers in a request to the advisor: the answer takes time for each of them,
// and a step rarely needs more.
constexpr std::size_t kMaxWorkersPerRequest = 30;
// A ticket has to be valid for at least this long, so that the start order arrives before it
// expires.
constexpr milliseconds kTicketMargin{ 300 };

}

bool work_core::state::IsApproved(const worker_entry& aWorker, const ready_unit& aUnit,
                                  instant aNow) const
{
  if (!aUnit.mQueue->mAsksAdvice) {
    return true;
  }
  const auto& advice = aUnit.Entry().mAdvice;
  const auto found = advice.find(aWorker.mInfo.mId);
  return found != advice.end() && found->second.mApproved &&
         found->second.mIncarnation == aWorker.mInfo.mIncarnation &&
         found->second.mValidUntil > aNow + kTicketMargin;
}

// Sends one request per step at a time, naming the workers with the most free capacity. Which
// workers may run a step does not change, so a rejected worker is not named again.
void work_core::state::RequestAdvice(const ready_unit& aUnit, instant aNow)
{
  step_entry& step = aUnit.Entry();
  if (!aUnit.mQueue->mAsksAdvice || step.mAdvicePending) {
    return;
  }
  const task_demand demand = CapacityDemand(aUnit.Spec());
  std::vector<worker_entry*> candidates;
  std::size_t approvedSlots = 0;
  for (auto& [id, worker] : mWorkers) {
    if (!IsEligible(worker, aUnit, aNow)) {
      continue;
    }
    const auto previous = step.mAdvice.find(id);
    const bool rejected = previous != step.mAdvice.end() && !previous->second.mApproved &&
                          previous->second.mIncarnation == worker.mInfo.mIncarnation;
    if (IsApproved(worker, aUnit, aNow)) {
      const int slots = std::min(FitCount(worker.Free(), demand), StepLimit(worker, aUnit));
      approvedSlots += static_cast<std::size_t>(std::min(slots, aUnit.Spec().mCount));
    } else if (!rejected) {
      candidates.push_back(&worker);
    }
  }
  if (candidates.empty() || approvedSlots >= WaitingTasks(aUnit).size()) {
    return;
  }
  std::ranges::stable_sort(candidates, std::ranges::greater(), [&](const worker_entry* aWorker) {
    return FitCount(aWorker->Free(), demand);
  });
  candidates.resize(std::min(candidates.size(), kMaxWorkersPerRequest));
  advice_request request{ aUnit.Task(0), {} };
  std::ranges::transform(candidates, std::back_inserter(request.mWorkers),
                         [](const worker_entry* aWorker) { return aWorker->mInfo.mId; });
  step.mAdvicePending = true;
  mActions.emplace_back(std::move(request));
}

void work_core::OnAdvice(const advice_request& aRequest,
                         const std::optional<placement_advice>& aAnswer, instant aNow)
{
  step_entry* step = mState->FindStep(aRequest.mStep);
  if (step == nullptr) {
    return;
  }
  step->mAdvicePending = false;
  if (!aAnswer) {
    return;
  }
  for (const std::string& id : aRequest.mWorkers) {
    const auto worker = mState->mWorkers.find(id);
    const auto row = std::ranges::find(aAnswer->mApproved, id, &placement_advice::row::mWorker);
    const bool approved = row != aAnswer->mApproved.end();
    step->mAdvice[id] = { approved, approved ? row->mTicket : std::string(),
                          aNow + aAnswer->mValidFor,
                          worker == mState->mWorkers.end() ? 0
                                                           : worker->second.mInfo.mIncarnation };
  }
  mState->mReplan = true;
}

} // namespace briarwind
