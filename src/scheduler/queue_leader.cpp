#include "queue_leader.h"

#include "scheduler_events.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace briarwind {

namespace json = boost::json;

namespace {

constexpr std::string_view kLeaderKey = "/briarwind/leaders/main";
constexpr milliseconds kStoreTimeout{ 1'000 };
constexpr milliseconds kRetryDelay{ 200 };
constexpr milliseconds kQuorumTimeout{ 500 };
// After this time an elected leader takes over without a majority; see MayTakeOver.
constexpr milliseconds kTakeoverQuorumTimeout{ 30'000 };
// Random delay after the leader key is deleted, so that the followers do not all campaign at once.
constexpr milliseconds kElectionJitter{ 300 };
// Longest wait for pending record writes after the leader lease has lapsed.
constexpr milliseconds kFlushTimeout{ 3'000 };
constexpr milliseconds kFlushPollInterval{ 50 };

instant StoreDeadline()
{
  return monotonic_clock::now() + kStoreTimeout;
}

// The store takes the time to live of a lease in whole seconds, at least one.
seconds LeaseSeconds(milliseconds aTimeToLive)
{
  return std::max(seconds(1), std::chrono::ceil<seconds>(aTimeToLive));
}

} // namespace

queue_leader::queue_leader(config_store& aStore, scheduler_engine& aEngine,
                           const scheduler_options& aOptions, endpoint aSelf,
                           leader_quorum& aQuorum, job_list_observer aOnUnrecorded)
  : mStore(aStore)
  , mEngine(aEngine)
  , mTimeToLive(aOptions.mLeaderTimeToLive)
  , mName(aOptions.mName)
  , mSelf(std::move(aSelf))
  , mQuorum(aQuorum)
  , mOnUnrecorded(std::move(aOnUnrecorded))
  , mRandom(std::random_device{}())
{
  mEngine.OnStaleEpoch([this] { mEpochSuperseded = true; });
}

void queue_leader::Run()
{
  while (!mResigned) {
    if (IsLeader()) {
      Lead();
    } else {
      Follow();
    }
  }
}

void queue_leader::UpdateLeader(const stored_value& aValue)
{
  boost::system::error_code failed;
  const json::value parsed = json::parse(aValue.mValue, failed);
  const json::object* fields = parsed.if_object();
  const json::value* address = fields != nullptr ? fields->if_contains("address") : nullptr;
  if (failed || address == nullptr || !address->is_string()) {
    return;
  }
  const auto leader = ToIoResult([&] { return ParseEndpoint(address->as_string()); });
  if (leader) {
    mLeader = leader.value();
  }
}

// Watches the leader key while another scheduler holds it. A watch that ends does not show that the
// leader has ended; only a listing without the key leads to a campaign.
void queue_leader::Follow()
{
  const auto listing = mStore.List(kLeaderKey, StoreDeadline());
  if (!listing) {
    SleepFor(kRetryDelay);
    return;
  }
  if (listing.value().mValues.empty()) {
    mLeader.reset();
    Campaign();
    return;
  }
  UpdateLeader(listing.value().mValues.front());
  mStore.Watch(kLeaderKey, listing.value().mRevision + 1, [this](const watch_batch& aBatch) {
    const bool gone = std::ranges::any_of(aBatch.mChanges, &store_change::mDeleted);
    return !gone && !mResigned;
  });
  SleepFor(milliseconds(std::uniform_int_distribution<int>(0, kElectionJitter.count())(mRandom)));
}

void queue_leader::Campaign()
{
  // Taking over needs the list of workers, so no campaign starts before the first host list.
  if (!mEngine.HasHostList()) {
    SleepFor(kRetryDelay);
    return;
  }
  const instant startedAt = monotonic_clock::now();
  const auto lease = mStore.GrantLease(LeaseSeconds(mTimeToLive), StoreDeadline());
  if (!lease) {
    SleepFor(kRetryDelay);
    return;
  }
  const std::string value =
    json::serialize(json::object{ { "name", mName }, { "address", ToString(mSelf) } });
  const auto swapped = mStore.Swap(kLeaderKey, 0, value, lease.value(), StoreDeadline());
  if (!swapped || !swapped.value().mSwapped) {
    // After an unknown outcome the key may have been created, but its revision, the epoch, is
    // unknown. Revoking the lease deletes such a key, so the next campaign starts without it.
    static_cast<void>(mStore.RevokeLease(lease.value(), StoreDeadline()));
    return;
  }
  mLease = lease.value();
  mEpoch = swapped.value().mRevision;
  mLastConfirmed = startedAt;
  mElectedAt = startedAt;
  mLeader = mSelf;
  mEpochSuperseded = false;
  LogEvent(kLeaderElected, { Field("epoch", mEpoch) });
}

bool queue_leader::IsConfirmed(instant aNow) const
{
  return IsLeader() && aNow - mLastConfirmed <= mTimeToLive;
}

void queue_leader::Lead()
{
  bool acting = false;
  while (IsLeader() && !mResigned) {
    acting = acting || (MayTakeOver() && mEngine.TakeOver(mEpoch));
    SendHeartbeat();
    if (mEpochSuperseded) {
      StepDown("a member or a worker reported a later epoch");
    } else if (!IsConfirmed(monotonic_clock::now())) {
      StepDown("neither the store nor a majority of the members confirmed the leader in time");
    } else {
      SleepFor(acting ? mTimeToLive / 3 : kRetryDelay);
    }
  }
}

// Once a majority has recorded the new epoch, an older leader that is cut off from the store can no
// longer be confirmed and stops renewing leases. When a majority of the members has crashed, no
// member is left to confirm such a leader either, so the takeover goes ahead without a majority
// after kTakeoverQuorumTimeout.
bool queue_leader::MayTakeOver()
{
  const instant now = monotonic_clock::now();
  const auto round = mQuorum.ConfirmEpoch(mEpoch, now + kQuorumTimeout);
  mEpochSuperseded = mEpochSuperseded || round.mSuperseded;
  return round.mHasMajority || now - mElectedAt > kTakeoverQuorumTimeout;
}

void queue_leader::SendHeartbeat()
{
  const instant startedAt = monotonic_clock::now();
  const auto renewed = mStore.KeepAlive(mLease, startedAt + kStoreTimeout);
  const bool reached = renewed || renewed.error().mKind == error_kind::kNotFound;
  if (mEngine.Core().Status().mStoreReachable != reached) {
    mEngine.HandleEvent(store_reachable{ reached });
  }
  if (renewed) {
    mLastConfirmed = startedAt;
    mStoreUnreachable = false;
  } else if (reached) {
    StepDown(
      WaitForPendingRecords()
        ? "the store no longer has the lease of the leader"
        : "the store no longer has the lease of the leader, and some job records are not written");
  } else {
    ConfirmByMajority();
  }
}

void queue_leader::ConfirmByMajority()
{
  if (!std::exchange(mStoreUnreachable, true)) {
    LogEvent(kLeaderUnconfirmed, { Field("epoch", mEpoch) });
  }
  const instant startedAt = monotonic_clock::now();
  const auto round = mQuorum.ConfirmEpoch(mEpoch, startedAt + kQuorumTimeout);
  mEpochSuperseded = mEpochSuperseded || round.mSuperseded;
  if (round.mHasMajority) {
    mLastConfirmed = startedAt;
  }
}

// After a store outage the leader's lease has lapsed, but the core may hold submissions and final
// states that were not recorded. Stepping down waits for their writes. Writing them is safe even
// when another scheduler leads by now, because each record is written by compare-and-swap. Returns
// whether all records are in the store.
bool queue_leader::WaitForPendingRecords()
{
  const instant until = monotonic_clock::now() + kFlushTimeout;
  const auto allRecorded = [this] {
    return std::ranges::all_of(mEngine.Core().Jobs(), &job_view::mStored);
  };
  while (!allRecorded() && monotonic_clock::now() < until) {
    SleepFor(kFlushPollInterval);
  }
  return allRecorded();
}

void queue_leader::StepDown(const std::string& aReason)
{
  if (!IsLeader()) {
    return;
  }
  LogEvent(kLeaderLost, { Field("epoch", mEpoch), Field("reason", aReason) });
  mEpoch = 0;
  mLeader.reset();
  std::vector<job_spec> unrecorded = mEngine.StepDown();
  static_cast<void>(mStore.RevokeLease(std::exchange(mLease, 0), StoreDeadline()));
  if (!unrecorded.empty()) {
    mOnUnrecorded(std::move(unrecorded));
  }
}

void queue_leader::Resign()
{
  mResigned = true;
  StepDown("the process is stopping");
}

} // namespace briarwind
