#pragma once

#include "leadership.h"
#include "registry_reader.h"

#include "briarwind/operator_settings.h"
#include "briarwind/work_core.h"
#include "briarwind/worker_gateway.h"

#include <deque>
#include <memory>
#include <set>
#include <string>

namespace briarwind {

/// Keys of jobs in the store.
namespace work_keys {
inline constexpr std::string_view kAccepted = "briarwind/accepted/"; ///< written once, by any host
inline constexpr std::string_view kProgress = "briarwind/progress/"; ///< written by the leader
inline constexpr std::string_view kCancelSuffix = "/cancel";
std::string Accepted(std::string_view aJob);
std::string Cancel(std::string_view aJob);
std::string Progress(std::string_view aJob);
} // namespace work_keys

/// Carries out what the core decides while this host leads: reads jobs, workers and settings into
/// it, writes its records and sends its orders.
class work_driver
{
public:
  struct outside
  {
    worker_gateway* mWorkers = nullptr;
    placement_advisor* mAdvisor = nullptr; ///< may be absent
    worker_registry* mRegistry = nullptr;
  };

  work_driver(fiber_runtime& aRuntime, record_store& aStore, const outside& aOutside,
              metrics& aMetrics, const work_options& aOptions);

  /// Runs in a fiber of its own until the term is over.
  void RunTerm(const leadership& aLead, std::function<void()> aOnLeadLost);
  void StepDown();
  /// The lead was claimed again before anybody else led: the term goes on under a higher epoch.
  void GoOnUnder(std::int64_t aEpoch);
  /// No new decision and no order that has not left yet; for the last moments of a term.
  void Pause() { mPaused = true; }
  void SetSettings(const work_settings& aSettings);
  /// A host has stored this accepted job or cancellation. NotifyStored beside the watch, which may
  /// be deaf for seconds.
  void NotifyStored(const stored_value& aValue);

  bool IsActing() const { return mActing; }
  int CountWaiting(const std::string& aQueue) const { return mCore.CountWaiting(aQueue); }
  std::optional<work_state> StoredState(const std::string& aJob) const
  {
    return mCore.StoredState(aJob);
  }
  /// Orders that have left and are not answered yet.
  int OrdersUnderWay() const { return mOrders; }

private:
  static constexpr milliseconds kStoreDeadline{ 1'000 }; ///< of one call; a slow store takes 300 ms
  static constexpr milliseconds kWriteRetry{ 60 };       ///< pause after a call that failed

  bool TakeOver(int aTerm, store_revision& aListed);
  void Accepted(const store_listing& aListing);
  void AcceptedChanged(const std::vector<store_change>& aChanges);
  void AddAccepted(const stored_value& aValue);
  void PollWorkers(int aTerm);
  void TickLoop(int aTerm);
  void Pump();
  void PumpNow();
  void Perform(work_action aAction);
  void PerformStart(const start_run& aOrder);
  void PerformStop(const stop_run& aOrder);
  void AskNext();
  void LogNote(const work_note& aNote);
  void StartPolls();
  void RunPoll(const std::string& aWorker, const poll_plan& aPlan,
               std::set<std::string>& aUnderWay);
  void StartWrites();
  void RunWrite(const std::vector<progress_write>& aWrites);
  bool SettleWrite(const std::vector<progress_write>& aWrites, const transaction_result& aResult);
  void ForgetOld();
  void LoseLead(std::string_view aReason);
  bool FencedBy(std::int64_t aEpoch);
  bool IsTerm(int aTerm) const { return mLead != nullptr && mTerm == aTerm; }

  fiber_runtime& mRuntime;
  record_store& mStore;
  worker_gateway& mGateway;
  registry_reader mRegistry;
  placement_advisor* mAdvisor;
  metrics& mMetrics;
  milliseconds mRegistryInterval;
  work_core mCore;
  work_settings mSettings;
  const leadership* mLead = nullptr;
  int mTerm = 0; ///< counts terms of this process; a term may go on under a higher epoch
  std::function<void()> mOnLeadLost;
  bool mActing = false;
  bool mPaused = false;
  bool mPumpPending = false;
  std::set<std::string> mPolling;
  std::set<std::string> mSecondPolling;
  std::deque<ask_advice> mQuestions;
  bool mAsking = false;
  int mOrders = 0;
  int mWrites = 0;
};

} // namespace briarwind
