#pragma once

#include "briarwind/routing_core.h"

#include <set>

namespace briarwind {

/// One service as this router sees it.
struct service_state
{
  explicit service_state(std::size_t aQueued)
    : mQueue(aQueued)
  {
  }

  request_queue mQueue;
  std::vector<instance_record*> mInstances; ///< in the order of names
  duration mLatency{};                      ///< mean of good answers; zero before the first
};

/// One request that has not been concluded.
struct pending_request
{
  arrival mArrival;
  int mAttempts = 0;
  std::vector<std::string> mTried;
  /// End of an earlier attempt that may have run; a later refusal must not hide it.
  std::optional<reason> mEarlier;
};

struct running_attempt
{
  request_number mRequest = 0;
  std::string mInstance;
  instant mStarted;
  bool mEnded = false;
};

struct routing_core::state
{
  state(routing_options aOptions, std::unique_ptr<choice_strategy> aChoice);

  service_state& Service(const std::string& aName);
  int Weight(const std::string& aOrganisation) const;
  int SlotLimit(const std::string& aService) const;
  bool KnowsLeaving(const instance_record& aInstance) const;

  void ShareSlots();
  void SettleShares();
  void DropUnused();

  bool WouldBeLate(const service_state& aService, const arrival& aArrival, instant aNow) const;
  void Enqueue(const arrival& aArrival, instant aNow);
  void Dispatch(const std::string& aName, instant aNow);
  std::vector<const instance_record*> Candidates(const service_state& aService, instant aNow);
  static std::vector<const instance_record*> Untried(
    const std::vector<const instance_record*>& aCandidates, const pending_request& aRequest);
  void Start(service_state& aService, pending_request& aRequest,
             const std::vector<const instance_record*>& aCandidates, instant aNow);

  bool MayRetry(const pending_request& aRequest, reason aReason, instant aNow) const;
  void Judge(const running_attempt& aAttempt, reason aReason, instant aNow);
  void EjectIfBad(instance_record& aInstance, const service_state& aService, instant aNow);
  void Conclude(request_number aRequest, reason aReason, bool aRetryDenied = false);

  routing_options mOptions;
  std::unique_ptr<choice_strategy> mChoice;
  choice_random mRandom;
  share_ledger mShares;
  std::uint64_t mSharedAt = 0; ///< generation of the shares that the slots were set by
  settings_view mSettings;
  limiter_table mLimits;
  retry_budget mRetries;
  std::map<std::string, service_state, std::less<>> mServices;
  std::map<std::string, std::unique_ptr<instance_record>, std::less<>> mInstances;
  std::set<std::string, std::less<>> mListed; ///< instances on the host list and not leaving there
  std::map<std::string, instant, std::less<>> mHeard; ///< leaving, from other routers, until then
  std::map<request_number, pending_request> mRequests;
  std::map<attempt_number, running_attempt> mAttempts;
  attempt_number mNextAttempt = 1;
  std::vector<routing_action> mActions;
};

} // namespace briarwind
