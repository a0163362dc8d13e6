#pragma once

#include "briarwind/host_list.h"
#include "briarwind/instance_choice.h"
#include "briarwind/outcome.h"
#include "briarwind/request_limiter.h"
#include "briarwind/request_queue.h"
#include "briarwind/settings_model.h"
#include "briarwind/share_ledger.h"
#include "briarwind/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace briarwind {

/// Identifies an attempt, which is one try of a request on one instance, within one router.
using attempt_number = std::uint64_t;

/// The properties of a caller's request that routing depends on.
struct arrival
{
  request_number mNumber = 0;
  std::string mService;
  std::string mOrganisation;
  std::string mTeam; ///< may be empty
  instant mDeadline;
  bool mRepeatable = false; ///< may run more than once
};

/// Send the request to this instance. The caller of TakeActions reports the end of the attempt by
/// OnAttemptEnded and then OnAttemptReleased.
struct start_action
{
  request_number mRequest = 0;
  attempt_number mAttempt = 0;
  std::string mInstance;
  endpoint mAddress;
};

/// Answer the caller. Each request has at most one such action.
struct conclude_action
{
  request_number mRequest = 0;
  reason mReason = reason::kAnswered;
  bool mRetryDenied = false; ///< only the retry budget prevented another attempt
};

/// For metrics: the request was queued again after an attempt that ended for mReason.
struct retry_action
{
  request_number mRequest = 0;
  reason mReason = reason::kConnectFailed;
};

/// For the log: the instance was ejected and gets no requests for some time.
struct eject_action
{
  std::string mInstance;
};

using routing_action = std::variant<start_action, conclude_action, retry_action, eject_action>;

struct routing_options
{
  std::string mSelf;                 ///< member name of this router
  std::string mDomain;               ///< failure domain of this router
  duration mRelease{};               ///< release time of the share_ledger
  std::size_t mQueueCapacity = 2000; ///< capacity of the queue of each service, in requests
  int mMaxAttempts = 3;              ///< attempts of one request at most, the first one included
  bool mEjects = true;               ///< whether failing instances are ejected
  std::uint64_t mSeed = 1;           ///< of the random choices
};

/// Decides for one router which request starts when and on which instance, which one is refused and
/// which one is retried. Deterministic state machine without clock and I/O: the methods take events
/// and the current time, and TakeActions returns the resulting actions.
class routing_core
{
public:
  routing_core(routing_options aOptions, std::unique_ptr<choice_strategy> aChoice);
  ~routing_core();
  routing_core(const routing_core&) = delete;
  routing_core& operator=(const routing_core&) = delete;

  /// Replaces the list of instances, which are the targets of the host list.
  void SetHosts(const host_list& aHosts, instant aNow);
  /// Settings of an older revision than the current one are ignored.
  void SetSettings(const settings_view& aSettings, instant aNow);
  /// Another router reported these targets as leaving. A report expires after five seconds unless
  /// it is repeated.
  void OnPeerLeavingTargets(const std::vector<std::string>& aTargets, instant aNow);
  /// This router's share of the instances' slots. Call Refresh after changing it.
  share_ledger& Shares();
  /// Recomputes the slots of all instances and starts queued requests that now fit.
  void Refresh(instant aNow);

  /// A request arrives: it is queued and started as soon as possible, or refused.
  void Arrive(const arrival& aArrival, instant aNow);
  /// The caller has disconnected: a queued request is removed, and no conclude_action follows.
  void Abandon(request_number aRequest, instant aNow);
  /// An attempt has ended for the caller: the request is concluded or retried. The instance may
  /// still be working on it. A second report for the same attempt is ignored.
  void OnAttemptEnded(attempt_number aAttempt, reason aReason, instant aNow);
  /// The instance no longer works on the attempt, so its slot is free. To be called after
  /// OnAttemptEnded.
  void OnAttemptReleased(attempt_number aAttempt, instant aNow);
  /// Applies deadlines and other timeouts. To be called at least every few milliseconds while
  /// requests are queued.
  void Tick(instant aNow);

  /// The actions since the last call, in order.
  std::vector<routing_action> TakeActions();

  bool HasService(std::string_view aService) const;
  const settings_view& Settings() const;
  /// Number of queued requests of all services.
  std::size_t Queued() const;
  /// Number of attempts that occupy a slot.
  std::size_t Running() const;
  /// Sum of the slots that this router may use on all instances of a service that are not leaving.
  int Slots(std::string_view aService) const;
  /// Slots that this router may use on an instance; 0 when the instance is leaving or unknown.
  int InstanceSlots(std::string_view aInstance) const;
  /// Targets that are leaving according to this router's own settings and host list, not to reports
  /// of other routers.
  std::vector<std::string> LeavingTargets() const;
  /// Number of instances that are not leaving.
  std::size_t LiveInstances() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
