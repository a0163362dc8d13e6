#pragma once

#include "libjobs/testing/fake_platform.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <vector>

/// Looks at what really runs on the fake workers and says what the core broke. It shares no code
/// with the placing of the core.

namespace briarwind::fakes {

class invariant_checker
{
public:
  invariant_checker(fake_platform& aPlatform, const settings_view& aSettings)
    : mPlatform(aPlatform)
    , mSettings(aSettings)
  {
  }

  const std::vector<std::string>& Broken() const { return mBroken; }
  void CheckGuarantees(bool aCheck) { mCheckGuarantees = aCheck; }
  void SetFresh(bool aFresh) { mFresh = aFresh; }
  std::set<std::string>& KnownLost() { return mKnownLost; }
  void Submitted(const job_spec& aSpec) { mSpecs[aSpec.mId] = aSpec; }
  std::uint64_t GuaranteesChecked() const { return mGuaranteesChecked; }
  void Report(std::string aWhat) { mBroken.push_back(std::move(aWhat)); }

  void OnAction(const action& aAction)
  {
    if (const auto* start = std::get_if<start_lease>(&aAction)) {
      const std::string& domain = mPlatform.Workers()[start->mWorker].mInfo.mDomain;
      if (IsWithdrawn(domain)) {
        Report("a start in a withdrawn domain: " + start->mMember.mJob);
      }
      if (!mFresh) {
        Report("a start without a confirmed view: " + start->mMember.mJob);
      }
    }
  }

  void AfterEvent()
  {
    std::map<std::string, std::map<int, int>> running; // job, attempt, members
    for (auto& [name, worker] : mPlatform.Workers()) {
      resource_shape used;
      for (const fake_lease& lease : mPlatform.Holding(worker)) {
        used = used + lease.mShape;
        if (lease.mState == lease_state::kRunning) {
          ++running[lease.mMember.mJob][lease.mMember.mAttempt];
          mStartedAttempts[lease.mMember.mJob].insert(lease.mMember.mAttempt);
        }
      }
      if (!FitsInto(used, worker.mInfo.mCapacity)) {
        Report("worker " + name + " was given out twice");
      }
    }
    CheckGangs(running);
    if (mCheckGuarantees && mPlatform.Core().Status().mActing) {
      CheckReclaimable();
    }
  }

private:
  static constexpr seconds kPartialBound{ 12 }; // lease, margin and the slowest answer

  bool IsWithdrawn(const std::string& aDomain) const
  {
    const auto found = mSettings.mDomains.find(aDomain);
    return found != mSettings.mDomains.end() && found->second.mWithdrawn;
  }

  void CheckGangs(const std::map<std::string, std::map<int, int>>& aRunning)
  {
    for (const auto& [job, attempts] : aRunning) {
      if (attempts.size() > 1) {
        Report("two attempts of " + job + " run at once");
      }
      if (!mSpecs[job].mRepeatable && mStartedAttempts[job].size() > 1) {
        Report("job " + job + " is not repeatable and was started twice");
      }
    }
    for (const auto& [job, spec] : mSpecs) {
      const auto found = aRunning.find(job);
      const int members = found != aRunning.end() ? found->second.begin()->second : 0;
      if (members == 0 || members == spec.mMembers) {
        mPartialSince.erase(job);
        continue;
      }
      const instant since = mPartialSince.try_emplace(job, mPlatform.Now()).first->second;
      if (mPlatform.Now() - since > kPartialBound) {
        Report("gang " + job + " runs in part");
      }
    }
  }

  /// Room on each live worker that nothing stands in which could not be evicted.
  std::map<std::string, resource_shape> ReclaimableRoom(const std::set<std::string>& aClaims)
  {
    std::map<std::string, resource_shape> room;
    for (auto& [name, worker] : mPlatform.Workers()) {
      const bool live =
        !worker.mInfo.mLeaving && !IsWithdrawn(worker.mInfo.mDomain) && !mKnownLost.contains(name);
      if (!live) {
        continue;
      }
      room[name] = worker.mInfo.mCapacity;
      for (const fake_lease& lease : mPlatform.Holding(worker)) {
        const std::string& job = lease.mMember.mJob;
        const bool firm = !mSpecs[job].mRepeatable && lease.mState == lease_state::kRunning;
        if (firm && !aClaims.contains(job)) {
          room[name] = room[name] - lease.mShape;
        }
      }
    }
    for (const std::string& claim : aClaims) {
      const std::optional<job_explanation> where = mPlatform.Core().Explain(claim);
      for (const member_placement& each : where->mPlacements) {
        if (room.contains(each.mWorker)) {
          room[each.mWorker] = room[each.mWorker] - mSpecs[claim].mShape;
        }
      }
    }
    return room;
  }

  void CheckReclaimable()
  {
    ++mGuaranteesChecked;
    std::set<std::string> claims;
    std::vector<guarantee> unclaimed;
    const std::vector<cell_view> cells = mPlatform.Core().Cells();
    for (const cell_view& each : cells) {
      if (!each.mClaimedBy.empty()) {
        claims.insert(each.mClaimedBy);
        continue;
      }
      for (const guarantee& promised :
           mSettings.mOrganisations.at(each.mOrganisation).mGuarantees) {
        if (promised.mName == each.mGuarantee) {
          unclaimed.push_back(promised);
        }
      }
    }
    std::map<std::string, resource_shape> room = ReclaimableRoom(claims);
    if (WitnessHolds(cells, room) || Assign(unclaimed, 0, room)) {
      return;
    }
    Report(fmt::format("{} unclaimed guaranteed shapes have no place", unclaimed.size()));
  }

  /// The core's own cells prove it when they stand up to the truth.
  bool WitnessHolds(const std::vector<cell_view>& aCells,
                    std::map<std::string, resource_shape> aRoom) const
  {
    for (const cell_view& cell : aCells) {
      if (!cell.mClaimedBy.empty()) {
        continue;
      }
      const auto& promises = mSettings.mOrganisations.at(cell.mOrganisation).mGuarantees;
      const auto promised = std::ranges::find(promises, cell.mGuarantee, &guarantee::mName);
      if (static_cast<int>(cell.mPlaces.size()) != promised->mMembers) {
        return false;
      }
      std::set<std::string> groups;
      for (const member_placement& place : cell.mPlaces) {
        const auto room = aRoom.find(place.mWorker);
        if (room == aRoom.end() || !FitsInto(promised->mShape, room->second)) {
          return false;
        }
        room->second = room->second - promised->mShape;
        groups.insert(GroupOf(place.mWorker, promised->mAdjacency));
      }
      if (groups.size() > 1) {
        return false;
      }
    }
    return true;
  }

  std::string GroupOf(const std::string& aWorker, adjacency aAdjacency) const
  {
    const worker_info& info = mPlatform.Workers()[aWorker].mInfo;
    switch (aAdjacency) {
      case adjacency::kWorker:
        return info.mName;
      case adjacency::kRack:
        return info.mDomain + "/" + info.mRack;
      case adjacency::kDomain:
        return info.mDomain;
      case adjacency::kNone:
        return {};
    }
    return {};
  }

  /// Tries every assignment of the shapes from aFirst on.
  bool Assign(const std::vector<guarantee>& aShapes, std::size_t aFirst,
              std::map<std::string, resource_shape>& aRoom) const
  {
    if (aFirst == aShapes.size()) {
      return true;
    }
    std::set<std::string> groups;
    for (const auto& [worker, room] : aRoom) {
      groups.insert(GroupOf(worker, aShapes[aFirst].mAdjacency));
    }
    return std::ranges::any_of(groups, [&](const std::string& aGroup) {
      return AssignMembers(aShapes, aFirst, 0, aGroup, {}, aRoom);
    });
  }

  bool AssignMembers(const std::vector<guarantee>& aShapes, std::size_t aShape, int aMember,
                     const std::string& aGroup, const std::string& aFrom,
                     std::map<std::string, resource_shape>& aRoom) const
  {
    const guarantee& shape = aShapes[aShape];
    if (aMember == shape.mMembers) {
      return Assign(aShapes, aShape + 1, aRoom);
    }
    // Members are alike, so only ascending orders are tried.
    for (auto each = aRoom.lower_bound(aFrom); each != aRoom.end(); ++each) {
      if (GroupOf(each->first, shape.mAdjacency) != aGroup ||
          !FitsInto(shape.mShape, each->second)) {
        continue;
      }
      each->second = each->second - shape.mShape;
      const bool done = AssignMembers(aShapes, aShape, aMember + 1, aGroup, each->first, aRoom);
      each->second = each->second + shape.mShape;
      if (done) {
        return true;
      }
    }
    return false;
  }

  fake_platform& mPlatform;
  const settings_view& mSettings;
  std::map<std::string, job_spec> mSpecs;
  std::map<std::string, std::set<int>> mStartedAttempts;
  std::map<std::string, instant> mPartialSince;
  std::set<std::string> mKnownLost;
  std::vector<std::string> mBroken;
  std::uint64_t mGuaranteesChecked = 0;
  bool mCheckGuarantees = true;
  bool mFresh = true;
};

} // namespace briarwind::fakes
