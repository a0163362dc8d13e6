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

/// Number of one try of a request on one instance.
using attempt_number = std::uint64_t;

/// A caller's request, as far as its routing is concerned.
struct arrival
{
  request_number mNumber = 0;
  std::string mService;
  std::string mOrganisation;
  std::string mTeam; ///< may be empty
  instant mDeadline;
  bool mRepeatable = false;
};

/// Send the request to this instance; the attempt has to be reported by Ended and Released.
struct start_action
{
  request_number mRequest = 0;
  attempt_number mAttempt = 0;
  std::string mInstance;
  endpoint mAddress;
};

/// Answer the caller.
struct conclude_action
{
  request_number mRequest = 0;
  reason mReason = reason::kAnswered;
  bool mRetryDenied = false; ///< it could have been tried again, had the retry budget allowed it
};

/// For the counters: the request goes back into the queue after this end of an attempt.
struct retry_action
{
  request_number mRequest = 0;
  reason mReason = reason::kConnectFailed;
};

/// For the log: the instance gets no requests for a while.
struct eject_action
{
  std::string mInstance;
};

using routing_action = std::variant<start_action, conclude_action, retry_action, eject_action>;

struct routing_options
{
  std::string mSelf;          ///< this router among the members
  std::string mDomain;        ///< its failure domain
  duration mRelease{};        ///< see share_ledger
  std::size_t mQueued = 2000; ///< requests waiting for one service
  int mAttempts = 3;          ///< tries of one request at most
  bool mEjects = true;        ///< whether instances that fail are ejected
  std::uint64_t mSeed = 1;
};

/// All decisions of one router: which request starts when on which instance, which is refused and
/// which is tried again. Events go in, actions come out; there is no clock and no I/O.
class routing_core
{
public:
  routing_core(routing_options aOptions, std::unique_ptr<choice_strategy> aChoice);
  ~routing_core();
  routing_core(const routing_core&) = delete;
  routing_core& operator=(const routing_core&) = delete;

  void SetHosts(const host_list& aHosts, instant aNow);
  void SetSettings(const settings_view& aSettings, instant aNow);
  /// Targets that another router knows to be leaving; to be repeated while it is so.
  void HearLeaving(const std::vector<std::string>& aTargets, instant aNow);
  /// This router's part of the instances. Call Refresh after a change of it.
  share_ledger& Shares();
  void Refresh(instant aNow);

  void Arrive(const arrival& aArrival, instant aNow);
  /// The caller has gone: nothing is concluded any more, and a queued request starts no more.
  void Abandon(request_number aRequest, instant aNow);
  /// What became of an attempt, for its caller.
  void Ended(attempt_number aAttempt, reason aReason, instant aNow);
  /// The instance has no more to do with the attempt: its slot is free. Comes after Ended.
  void Released(attempt_number aAttempt, instant aNow);
  /// Time has passed; at least every few milliseconds while requests wait.
  void Tick(instant aNow);

  std::vector<routing_action> TakeActions();

  bool KnowsService(std::string_view aService) const;
  const settings_view& Settings() const;
  std::size_t Queued() const;
  std::size_t Running() const;
  /// Slots of all instances of a service that this router may use.
  int Slots(std::string_view aService) const;
  /// Slots of one instance that this router may use; 0 when it is leaving.
  int InstanceSlots(std::string_view aInstance) const;
  /// Targets that this router itself knows to be leaving.
  std::vector<std::string> LeavingTargets() const;
  /// Number of instances that are not leaving.
  std::size_t LiveInstances() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace briarwind
