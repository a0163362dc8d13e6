#include "leadership.h"

#include "control_events.h"

#include "briarwind/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <ranges>

namespace briarwind {

namespace json = boost::json;

namespace {

// A host that died is replaced within this. Renewed four times within it, so that one lost answer
// does not cost the lead; a slow store takes up to 300 ms for an answer.
constexpr milliseconds kLeaseTime{ 1'300 };
constexpr milliseconds kRenewEvery{ 300 };
constexpr milliseconds kRenewDeadline{ 400 };
// Clocks of two hosts may differ by 2% in speed.
constexpr double kClockDrift = 0.97;
// Between the check and the moment an order is on its way.
constexpr milliseconds kOrderMargin{ 50 };
// The weakest host waits this much longer than a whole core before it tries to lead.
constexpr milliseconds kWeakestWait{ 160 };
constexpr milliseconds kElectionPause{ 120 };
constexpr milliseconds kCallDeadline{ 800 };

std::string MakeIdentity(const std::string& aName)
{
  std::random_device random;
  return fmt::format("{}-{:08x}{:08x}", aName, random(), random());
}

} // namespace

leadership::leadership(fiber_runtime& aRuntime, record_store& aStore, metrics& aMetrics,
                       std::string aName, std::string aAddress, double aShare, callbacks aCallbacks)
  : mRuntime(aRuntime)
  , mStore(aStore)
  , mName(std::move(aName))
  , mAddress(std::move(aAddress))
  , mIdentity(MakeIdentity(mName))
  , mShare(aShare)
  , mCallbacks(std::move(aCallbacks))
  , mFollower(aStore, aMetrics, "briarwind/hosts/",
              { [this](const store_listing& aListing) { Listed(aListing); },
                [this](const std::vector<store_change>& aChanges) {
                  for (const store_change& each : aChanges) {
                    Apply(each.mValue, each.mDeleted);
                  }
                },
                [] { return true; } })
{
}

void leadership::Start()
{
  mRuntime.Spawn([this] { mFollower.Run(); });
  mRuntime.Spawn([this] { Announce(); });
  mRuntime.Spawn([this] { RunElection(); });
}

void leadership::Resign()
{
  mResigned = true;
  if (!Leads()) {
    return;
  }
  const store_lease lease = mLease;
  LoseLead();
  const auto ended = mStore.End(lease, monotonic_clock::now() + kCallDeadline);
  if (!ended) {
    LogEvent(kLeadNotHandedOver, { Field("error", ToString(ended.error().mKind)) });
  }
}

bool leadership::MayOrder() const
{
  return Leads() && BootNow() + kOrderMargin < mValidUntil;
}

store_condition leadership::Condition() const
{
  return { std::string(kLeaderKey), mEpoch };
}

void leadership::LoseLead()
{
  if (Leads()) {
    LogEvent(kLeadLost, { Field("epoch", mEpoch) });
    mEpoch = 0;
    mLease = 0;
    mValidUntil = {};
    mCallbacks.mLost();
  }
}

std::string leadership::LeaderAddress() const
{
  if (!mLeader) {
    return {};
  }
  const auto read = Settle([&] { return ParseJsonObject(mLeader->mValue); });
  return read ? TextField(read.value(), "address") : std::string();
}

// One key a host, without a lease: a host that is gone costs its peers one refused call.
void leadership::Announce()
{
  store_transaction write;
  write.mWrites.push_back({ std::string(kPeerPrefix) + mName, mAddress, 0 });
  bool logged = false;
  while (true) {
    const auto done = mStore.Commit(write, monotonic_clock::now() + kCallDeadline);
    if (done) {
      return;
    }
    if (!std::exchange(logged, true)) {
      LogEvent(kStoreViewLost, { Field("prefix", kPeerPrefix), Field("revision", 0),
                                 Field("error", ToString(done.error().mKind)),
                                 Field("what", std::string_view(done.error().mWhat)) });
    }
    SleepFor(kRenewEvery);
  }
}

void leadership::Listed(const store_listing& aListing)
{
  mLeader.reset();
  mPeers.clear();
  std::ranges::for_each(aListing.mValues, [this](const auto& aValue) { Apply(aValue, false); });
  mViewKnown = true;
}

void leadership::Apply(const stored_value& aValue, bool aDeleted)
{
  if (aValue.mKey == kLeaderKey) {
    const bool older = mLeader && aValue.mModified < mLeader->mModified;
    if (older) {
      return;
    }
    mLeader = aDeleted ? std::nullopt : std::optional(aValue);
    const bool another = mLeader && mLeader->mModified != mEpoch;
    if (Leads() && aValue.mModified > mEpoch && (aDeleted || another)) {
      LoseLead();
    }
    return;
  }
  if (aValue.mKey.starts_with(kPeerPrefix)) {
    const std::string name = aValue.mKey.substr(kPeerPrefix.size());
    if (aDeleted) {
      mPeers.erase(name);
    } else {
      mPeers[name] = aValue.mValue;
    }
  }
}

void leadership::RunElection()
{
  std::mt19937_64 random(std::random_device{}());
  while (true) {
    SleepFor(kElectionPause / 2 + milliseconds(random() % kElectionPause.count()) / 2);
    if (mResigned || Leads() || !mViewKnown || mLeader) {
      continue;
    }
    SleepFor(
      std::chrono::duration_cast<milliseconds>(kWeakestWait * std::clamp(1.0 - mShare, 0.0, 1.0)));
    if (mResigned || mLeader) {
      continue;
    }
    if (const auto epoch = TryToLead()) {
      Begin(*epoch);
    }
  }
}

std::optional<std::int64_t> leadership::TryToLead()
{
  const boot_instant asked = BootNow();
  const auto lease = mStore.Grant(kLeaseTime, monotonic_clock::now() + kCallDeadline);
  if (!lease) {
    return std::nullopt;
  }
  store_transaction claim;
  claim.mConditions.push_back({ std::string(kLeaderKey), 0 });
  claim.mWrites.push_back(
    { std::string(kLeaderKey),
      json::serialize(json::object{ { "address", mAddress }, { "identity", mIdentity } }),
      lease.value().mLease });
  const auto done = mStore.Commit(claim, monotonic_clock::now() + kCallDeadline);
  mLease = lease.value().mLease;
  mValidUntil =
    asked + std::chrono::duration_cast<milliseconds>(lease.value().mTimeToLive * kClockDrift);
  if (done) {
    return done.value().mCommitted ? std::optional(done.value().mRevision) : std::nullopt;
  }
  if (done.error().mKind != error_kind::kUnknownOutcome) {
    return std::nullopt;
  }
  // The claim may be there without an answer. If it only comes to be there later, the view shows
  // it, nobody renews it, and it ends with its lease.
  const auto read = mStore.Get(kLeaderKey, monotonic_clock::now() + kCallDeadline);
  const bool ours = read && read.value() && read.value()->mLease == mLease;
  return ours ? std::optional(read.value()->mModified) : std::nullopt;
}

void leadership::Begin(std::int64_t aEpoch)
{
  mEpoch = aEpoch;
  LogEvent(kLeadGained, { Field("epoch", aEpoch), Field("lease", mLease) });
  mRuntime.Spawn([this, aEpoch] { RenewLoop(aEpoch); });
  mCallbacks.mGained(aEpoch);
}

void leadership::RenewLoop(std::int64_t aEpoch)
{
  bool confirmed = true;
  while (mEpoch == aEpoch) {
    SleepFor(confirmed ? kRenewEvery : kRenewEvery / 5);
    if (mEpoch != aEpoch) {
      return;
    }
    const boot_instant asked = BootNow();
    const auto renewed = mStore.Renew(mLease, monotonic_clock::now() + kRenewDeadline);
    if (mEpoch != aEpoch) {
      return;
    }
    if (renewed) {
      mValidUntil =
        std::max(mValidUntil,
                 asked + std::chrono::duration_cast<milliseconds>(renewed.value() * kClockDrift));
    } else if (renewed.error().mKind == error_kind::kNotFound) {
      LoseLead();
      return;
    }
    if (std::exchange(confirmed, renewed.has_value()) != renewed.has_value()) {
      LogEvent(renewed ? kLeadConfirmed : kLeadUnconfirmed, { Field("epoch", aEpoch) });
    }
  }
}

} // namespace briarwind
