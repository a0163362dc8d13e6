#include "work_placement.h"

#include <algorithm>

namespace briarwind {

namespace {

// Workers a question names: an answer takes time for each, and a step rarely needs more.
constexpr std::size_t kWorkersAsked = 30;
// A ticket has to hold until the order has arrived.
constexpr milliseconds kTicketMargin{ 300 };

}

bool work_core::state::IsAdvised(const worker_entry& aWorker, const ready_unit& aUnit,
                                 instant aNow) const
{
  if (!aUnit.mQueue->mAsksAdvice) {
    return true;
  }
  const auto& advice = aUnit.Entry().mAdvice;
  const auto found = advice.find(aWorker.mInfo.mId);
  return found != advice.end() && found->second.mGood &&
         found->second.mIncarnation == aWorker.mInfo.mIncarnation &&
         found->second.mValidUntil > aNow + kTicketMargin;
}

// One question a step at a time, about the workers with the most room. Which workers may run a step
// does not change, so those that were turned down are not asked about again.
void work_core::state::AskAdvice(const ready_unit& aUnit, instant aNow)
{
  step_entry& step = aUnit.Entry();
  if (!aUnit.mQueue->mAsksAdvice || step.mAdviceAsked) {
    return;
  }
  const task_demand room = RoomOf(aUnit.Spec());
  std::vector<worker_entry*> open;
  std::size_t fits = 0;
  for (auto& [id, worker] : mWorkers) {
    if (!IsOpenTo(worker, aUnit, aNow)) {
      continue;
    }
    const auto known = step.mAdvice.find(id);
    const bool refused = known != step.mAdvice.end() && !known->second.mGood &&
                         known->second.mIncarnation == worker.mInfo.mIncarnation;
    if (IsAdvised(worker, aUnit, aNow)) {
      fits += static_cast<std::size_t>(std::max(0, FitCount(worker.Free(), room)));
    } else if (!refused) {
      open.push_back(&worker);
    }
  }
  if (open.empty() || fits >= WaitingTasks(aUnit).size()) {
    return;
  }
  std::ranges::stable_sort(open, std::ranges::greater(), [&](const worker_entry* aWorker) {
    return FitCount(aWorker->Free(), room);
  });
  open.resize(std::min(open.size(), kWorkersAsked));
  ask_advice question{ aUnit.Task(0), {} };
  std::ranges::transform(open, std::back_inserter(question.mWorkers),
                         [](const worker_entry* aWorker) { return aWorker->mInfo.mId; });
  step.mAdviceAsked = true;
  mActions.emplace_back(std::move(question));
}

void work_core::OnAdvice(const ask_advice& aQuestion,
                         const std::optional<placement_advice>& aAnswer, instant aNow)
{
  step_entry* step = mState->FindStep(aQuestion.mStep);
  if (step == nullptr) {
    return;
  }
  step->mAdviceAsked = false;
  if (!aAnswer) {
    return;
  }
  for (const std::string& id : aQuestion.mWorkers) {
    const auto worker = mState->mWorkers.find(id);
    const auto row = std::ranges::find(aAnswer->mGood, id, &placement_advice::row::mWorker);
    const bool good = row != aAnswer->mGood.end();
    step->mAdvice[id] = { good, good ? row->mTicket : std::string(), aNow + aAnswer->mValid,
                          worker == mState->mWorkers.end() ? 0
                                                           : worker->second.mInfo.mIncarnation };
  }
  mState->mReplan = true;
}

} // namespace briarwind
