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

// A leader that crashed can be replaced after at most this time. The lease is renewed four times
// within it, so that one lost answer does not end the term; a slow store takes up to 300 ms to
// answer.
constexpr milliseconds kLeaseDuration{ 1'300 };
constexpr milliseconds kRenewInterval{ 300 };
constexpr milliseconds kRenewTimeout{ 400 };
// Share of the lease during which this host relies on it: the clocks of two hosts may differ by 2%
// in rate.
constexpr double kLeaseSafetyFactor = 0.97;
// Time allowed between the lease check and the moment an order is sent.
constexpr milliseconds kOrderMargin{ 50 };
// Long enough to poll each worker once more, on the slowest host that may lead.
constexpr milliseconds kFinalPollMargin{ 450 };
// A host with a processor share of 0 waits this much longer than one with a whole core before it
// claims leadership.
constexpr milliseconds kMaxCandidateDelay{ 160 };
constexpr milliseconds kElectionInterval{ 120 };
constexpr milliseconds kCallTimeout{ 800 };

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
              { [this](const store_listing& aListing) { OnListed(aListing); },
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
  mRuntime.Spawn([this] { PublishAddress(); });
  mRuntime.Spawn([this] { RunElection(); });
}

void leadership::Resign()
{
  mResigned = true;
  if (!IsLeader()) {
    return;
  }
  const store_lease lease = mLease;
  StepDown();
  const auto ended = mStore.Revoke(lease, monotonic_clock::now() + kCallTimeout);
  if (!ended) {
    LogEvent(kLeadershipNotReleased, { Field("error", ToString(ended.error().mKind)) });
  }
}

bool leadership::MayIssueOrders() const
{
  return IsLeader() && BootNow() + kOrderMargin < mValidUntil;
}

bool leadership::IsLeaseExpiring() const
{
  return MayIssueOrders() && !mConfirmed &&
         BootNow() + kOrderMargin + kFinalPollMargin >= mValidUntil;
}

milliseconds leadership::TimeSinceConfirmed() const
{
  return std::chrono::duration_cast<milliseconds>(BootNow() - mConfirmedAt);
}

store_condition leadership::Condition() const
{
  return { std::string(kLeaderKey), mEpoch };
}

void leadership::StepDown()
{
  if (IsLeader()) {
    LogEvent(kLeadershipLost, { Field("epoch", mEpoch) });
    ++mTermsLost;
    mEpoch = 0;
    mLease = 0;
    mLeaseExpired = false;
    mConfirmed = false;
    mValidUntil = {};
    mCallbacks.mOnLost();
  }
}

std::string leadership::LeaderAddress() const
{
  if (!mLeader) {
    return {};
  }
  const auto read = ToIoResult([&] { return ParseJsonObject(mLeader->mValue); });
  return read ? TextField(read.value(), "address") : std::string();
}

// Writes this host's address under a key of its own, without a lease: the stale address of a
// stopped host costs its peers only one refused call.
void leadership::PublishAddress()
{
  store_transaction write;
  write.mWrites.push_back({ std::string(kPeerPrefix) + mName, mAddress, 0 });
  bool logged = false;
  while (true) {
    const auto done = mStore.Commit(write, monotonic_clock::now() + kCallTimeout);
    if (done) {
      return;
    }
    if (!std::exchange(logged, true)) {
      LogEvent(kStoreViewLost, { Field("prefix", kPeerPrefix), Field("revision", 0),
                                 Field("error", ToString(done.error().mKind)),
                                 Field("what", std::string_view(done.error().mWhat)) });
    }
    SleepFor(kRenewInterval);
  }
}

void leadership::OnListed(const store_listing& aListing)
{
  mLeader.reset();
  mTermRevision = 0;
  mIsTermKeyOwn = false;
  mPeers.clear();
  std::ranges::for_each(aListing.mValues, [this](const auto& aValue) { Apply(aValue, false); });
  mHasListing = true;
}

void leadership::Apply(const stored_value& aValue, bool aDeleted)
{
  if (aValue.mKey == kLeaderKey) {
    const bool older = mLeader && aValue.mModified < mLeader->mModified;
    if (older) {
      return;
    }
    mLeader = aDeleted ? std::nullopt : std::optional(aValue);
    // A deleted key does not end the term: the lease has expired, the next renewal finds that out
    // and may claim the key again. A change may also be this process's own claim, seen before the
    // store answers it.
    const bool another = mLeader && mLeader->mModified > mEpoch && !IsOwnClaim(*mLeader);
    if (IsLeader() && another) {
      StepDown();
    }
    return;
  }
  if (aValue.mKey == kTermKey && aValue.mModified >= mTermRevision) {
    mTermRevision = aValue.mModified;
    mIsTermKeyOwn = !aDeleted && aValue.mValue == mIdentity;
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
    SleepFor(kElectionInterval / 2 + milliseconds(random() % kElectionInterval.count()) / 2);
    if (mResigned || IsLeader() || !mHasListing || mLeader) {
      continue;
    }
    SleepFor(std::chrono::duration_cast<milliseconds>(kMaxCandidateDelay *
                                                      std::clamp(1.0 - mShare, 0.0, 1.0)));
    if (mResigned || mLeader) {
      continue;
    }
    if (Campaign(0) == claim_outcome::kWon) {
      BeginTerm();
    }
  }
}

// @param aTermRevision revision that the term key must still have; 0: any
leadership::claim_outcome leadership::Campaign(store_revision aTermRevision)
{
  const boot_instant requestedAt = BootNow();
  const auto lease = mStore.Grant(kLeaseDuration, monotonic_clock::now() + kCallTimeout);
  if (!lease) {
    return claim_outcome::kNotMade;
  }
  // Set before the commit: the watch may report the claim before its answer arrives.
  mClaimLease = lease.value().mLease;
  store_transaction claim;
  claim.mConditions.push_back({ std::string(kLeaderKey), 0 });
  if (aTermRevision != 0) {
    claim.mConditions.push_back({ std::string(kTermKey), aTermRevision });
  }
  claim.mWrites.push_back({ std::string(kTermKey), mIdentity, 0 });
  claim.mWrites.push_back(
    { std::string(kLeaderKey),
      json::serialize(json::object{ { "address", mAddress }, { "identity", mIdentity } }),
      mClaimLease });
  const auto done = mStore.Commit(claim, monotonic_clock::now() + kCallTimeout);
  std::int64_t epoch = 0;
  if (done) {
    if (!done.value().mCommitted) {
      return claim_outcome::kLost;
    }
    epoch = done.value().mRevision;
  } else {
    if (done.error().mKind != error_kind::kUnknownOutcome) {
      return claim_outcome::kNotMade;
    }
    // The claim may have been stored although the answer was lost. If it is stored only after the
    // read below, the watch reports it, no process renews its lease, and it ends with the lease.
    const auto read = mStore.Get(kLeaderKey, monotonic_clock::now() + kCallTimeout);
    if (!read || !read.value() || read.value()->mLease != mClaimLease) {
      return claim_outcome::kUnclear;
    }
    epoch = read.value()->mModified;
  }
  mLease = mClaimLease;
  mEpoch = epoch;
  mLeaseExpired = false;
  mConfirmed = true;
  mConfirmedAt = requestedAt;
  mValidUntil = requestedAt + std::chrono::duration_cast<milliseconds>(lease.value().mTimeToLive *
                                                                       kLeaseSafetyFactor);
  return claim_outcome::kWon;
}

void leadership::BeginTerm()
{
  if (mResigned) {
    Resign();
    return;
  }
  ++mTermsWon;
  LogEvent(kLeadershipGained, { Field("epoch", mEpoch), Field("lease", mLease) });
  mRuntime.Spawn([this] { RenewLoop(); });
  mCallbacks.mOnGained(mEpoch);
}

void leadership::RenewLoop()
{
  const int term = mTermsWon;
  const auto holds = [&] { return IsLeader() && mTermsWon == term; };
  while (holds()) {
    SleepFor(mConfirmed ? kRenewInterval : kRenewInterval / 5);
    if (!holds()) {
      return;
    }
    const bool confirmed = mLeaseExpired ? Reclaim() : RenewOnce();
    if (holds() && std::exchange(mConfirmed, confirmed) != confirmed) {
      LogEvent(confirmed ? kLeadershipConfirmed : kLeadershipUnconfirmed,
               { Field("epoch", mEpoch) });
    }
  }
}

bool leadership::RenewOnce()
{
  const store_lease lease = mLease;
  const boot_instant requestedAt = BootNow();
  const auto renewed = mStore.Renew(lease, monotonic_clock::now() + kRenewTimeout);
  if (!IsLeader() || mLease != lease) {
    return false;
  }
  if (renewed) {
    mConfirmedAt = requestedAt;
    mValidUntil = std::max(mValidUntil, requestedAt + std::chrono::duration_cast<milliseconds>(
                                                        renewed.value() * kLeaseSafetyFactor));
    return true;
  }
  if (renewed.error().mKind != error_kind::kNotFound) {
    return false;
  }
  mLeaseExpired = true;
  mValidUntil = {};
  return Reclaim();
}

// Called after the store has ended the lease, as it does in some outages. While the term key is as
// this process wrote it, no other host has led since, so the leader's state in memory is still
// valid. Reading it again would take time during which leases of workers expire.
bool leadership::Reclaim()
{
  if (mResigned || !mIsTermKeyOwn) {
    StepDown();
    return false;
  }
  const std::int64_t before = mEpoch;
  const int losses = mTermsLost;
  const claim_outcome fate = Campaign(mTermRevision);
  if (fate == claim_outcome::kWon) {
    // A worker or the watch may have shown another leader while the claim was in flight.
    if (mTermsLost != losses) {
      BeginTerm(); // stepped down since: the state in memory is no longer valid
      return true;
    }
    LogEvent(kLeadershipReclaimed,
             { Field("epoch", mEpoch), Field("before", before), Field("lease", mLease) });
    mCallbacks.mOnReclaimed(mEpoch);
    return true;
  }
  if (fate != claim_outcome::kNotMade) {
    StepDown();
  }
  return false;
}

} // namespace briarwind
