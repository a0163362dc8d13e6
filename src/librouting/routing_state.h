#pragma once

#include "briarwind/routing_core.h"

#include <set>

namespace briarwind {

/// State of one service: its queue, its instances and its latency.
struct service_state
{
  explicit service_state(std::size_t aCapacity)
    : mQueue(aCapacity)
  {
  }

  request_queue mQueue;
  std::vector<instance_record*> mInstances; ///< in the order of names
  duration mMeanLatency{}; ///< moving average over successful attempts; 0 before the first
};

/// A request that has not been concluded.
struct pending_request
{
  arrival mArrival;
  int mAttempts = 0;
  std::vector<std::string> mTriedInstances;
  /// How an earlier attempt ended that may have run. Replaces a later reason that means not run.
  std::optional<reason> mEarlierReason;
};

/// An attempt that occupies a slot of its instance.
struct running_attempt
{
  request_number mRequest = 0;
  std::string mInstance;
  instant mStarted;
  bool mEnded = false; ///< reported by OnAttemptEnded, but not yet by OnAttemptReleased
};

struct routing_core::state
{
  state(routing_options aOptions, std::unique_ptr<choice_strategy> aChoice);

  /// The state of a service, created when there is none.
  service_state& Service(const std::string& aName);
  /// Weight of an organisation in the queues, at least 1.
  int Weight(const std::string& aOrganisation) const;
  /// Slots of each instance of a service, for all routers together.
  int SlotLimit(const std::string& aService) const;
  /// Whether the settings or the host list of this router remove the instance from service.
  bool IsLocallyLeaving(const instance_record& aInstance) const;

  /// Sets the leaving state and the slots of all instances.
  void UpdateSlots();
  /// Settles in the newest view when no instance has more requests in flight than this router's
  /// share of that view.
  void SettleIfWithinShares();
  /// Erases the instances that are unlisted or leaving and have no request in flight.
  void EraseUnlisted();

  /// Whether the expected wait in the queue and the time of the answer take too much of the time to
  /// the deadline.
  bool WouldMissDeadline(const service_state& aService, const arrival& aArrival,
                         instant aNow) const;
  void Enqueue(const arrival& aArrival, instant aNow);
  /// Starts queued requests of a service while an instance has a free slot.
  void Dispatch(const std::string& aName, instant aNow);
  /// The instances that may get a request now. Those in slow start are drawn by their share of
  /// traffic, and all of them are candidates when there is no other one.
  std::vector<const instance_record*> Candidates(const service_state& aService, instant aNow);
  /// The candidates that the request has not been sent to, or all when it has been sent to each.
  static std::vector<const instance_record*> ExcludeTried(
    const std::vector<const instance_record*>& aCandidates, const pending_request& aRequest);
  void Start(service_state& aService, pending_request& aRequest,
             const std::vector<const instance_record*>& aCandidates, instant aNow);

  bool MayRetry(const pending_request& aRequest, reason aReason, instant aNow) const;
  /// Updates the statistics of the instance and the service, and the retry budget.
  void RecordResult(const running_attempt& aAttempt, reason aReason, instant aNow);
  void EjectIfFailing(instance_record& aInstance, const service_state& aService, instant aNow);
  /// Removes a request and emits its conclude_action.
  void Conclude(request_number aRequest, reason aReason, bool aRetryDenied = false);

  routing_options mOptions;
  std::unique_ptr<choice_strategy> mChoice;
  choice_random mRandom;
  share_ledger mShares;
  std::uint64_t mSlotsGeneration = 0; ///< mShares.Generation() when the slots were set
  settings_view mSettings;
  limiter_table mLimiters;
  retry_budget mRetryBudget;
  std::map<std::string, service_state, std::less<>> mServices;
  std::map<std::string, std::unique_ptr<instance_record>, std::less<>> mInstances;
  std::set<std::string, std::less<>> mListed; ///< instances on the host list, without leaving ones
  /// Targets that other routers reported as leaving, and when the report expires.
  std::map<std::string, instant, std::less<>> mPeerLeaving;
  std::map<request_number, pending_request> mRequests;
  std::map<attempt_number, running_attempt> mAttempts;
  attempt_number mNextAttempt = 1;
  std::vector<routing_action> mActions;
};

} // namespace briarwind
