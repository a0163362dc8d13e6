#pragma once

#include "libjobs/testing/fake_platform.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <vector>

/// Checks the invariants of the core against the leases on the simulated workers. The checker
/// shares no placement code with the core.

namespace briarwind::fakes {

class invariant_checker
{
public:
  invariant_checker(fake_platform& aPlatform, const settings_view& aSettings)
    : mPlatform(aPlatform)
    , mSettings(aSettings)
  {
  }

  const std::vector<std::string>& Violations() const { return mViolations; }
  void CheckGuarantees(bool aCheck) { mCheckGuarantees = aCheck; }
  void SetFresh(bool aFresh) { mFresh = aFresh; }
  std::set<std::string>& LostWorkers() { return mLostWorkers; }
  void AddSpec(const job_spec& aSpec) { mSpecs[aSpec.mId] = aSpec; }
  std::uint64_t GuaranteesChecked() const { return mGuaranteesChecked; }
  void Report(std::string aWhat) { mViolations.push_back(std::move(aWhat)); }

  void OnAction(const action& aAction)
  {
    if (const auto* start = std::get_if<start_lease>(&aAction)) {
      const std::string& domain = mPlatform.Workers()[start->mWorker].mInfo.mDomain;
      if (IsWithdrawn(domain)) {
        Report("start in a withdrawn domain: job " + start->mMember.mJob);
      }
      if (!mFresh) {
        Report("start without a confirmed view of the settings: job " + start->mMember.mJob);
      }
    }
  }

  void CheckInvariants()
  {
    std::map<std::string, std::map<int, int>> running; // job, attempt, members
    for (auto& [name, worker] : mPlatform.Workers()) {
      resource_shape used;
      for (const fake_lease& lease : mPlatform.HeldLeases(worker)) {
        used = used + lease.mShape;
        if (lease.mState == lease_state::kRunning) {
          ++running[lease.mMember.mJob][lease.mMember.mAttempt];
          mStartedAttempts[lease.mMember.mJob].insert(lease.mMember.mAttempt);
        }
      }
      if (!FitsInto(used, worker.mInfo.mCapacity)) {
        Report("the leases on worker " + name + " exceed its capacity");
      }
    }
    CheckGangs(running);
    if (mCheckGuarantees && mPlatform.Core().Status().mActing) {
      CheckUnclaimedGuarantees();
    }
  }

private:
  // Longest time for which a gang may run in part: lease, lapse margin and the slowest answer.
  static constexpr seconds kPartialBound{ 12 };

  bool IsWithdrawn(const std::string& aDomain) const
  {
    const auto found = mSettings.mDomains.find(aDomain);
    return found != mSettings.mDomains.end() && found->second.mWithdrawn;
  }

  void CheckGangs(const std::map<std::string, std::map<int, int>>& aRunning)
  {
    for (const auto& [job, attempts] : aRunning) {
      if (attempts.size() > 1) {
        Report("several attempts of job " + job + " run at once");
      }
      if (!mSpecs[job].mRepeatable && mStartedAttempts[job].size() > 1) {
        Report("job " + job + " is not repeatable but was started more than once");
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
        Report("only some members of gang " + job + " are running");
      }
    }
  }

  /// Room on each live worker that is free or can be freed by eviction, without the places of
  /// claims.
  std::map<std::string, resource_shape> ReclaimableRoom(const std::set<std::string>& aClaims)
  {
    std::map<std::string, resource_shape> room;
    for (auto& [name, worker] : mPlatform.Workers()) {
      const bool live = !worker.mInfo.mLeaving && !IsWithdrawn(worker.mInfo.mDomain) &&
                        !mLostWorkers.contains(name);
      if (!live) {
        continue;
      }
      room[name] = worker.mInfo.mCapacity;
      for (const fake_lease& lease : mPlatform.HeldLeases(worker)) {
        const std::string& job = lease.mMember.mJob;
        const bool pinned = !mSpecs[job].mRepeatable && lease.mState == lease_state::kRunning;
        if (pinned && !aClaims.contains(job)) {
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

  void CheckUnclaimedGuarantees()
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
    if (AreCellsValid(cells, room) || Assign(unclaimed, 0, room)) {
      return;
    }
    Report(fmt::format("{} unclaimed guaranteed shapes have no place", unclaimed.size()));
  }

  /// Whether the cells of the core are a valid placement of all unclaimed guarantees in the room.
  /// The check is fast; Assign is needed only when it fails.
  bool AreCellsValid(const std::vector<cell_view>& aCells,
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

  /// Exhaustive search: whether the shapes from aFirst on can all be placed in the room.
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
    // Members are interchangeable, so only ascending orders of workers are tried.
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
  std::set<std::string> mLostWorkers;
  std::vector<std::string> mViolations;
  std::uint64_t mGuaranteesChecked = 0;
  bool mCheckGuarantees = true;
  bool mFresh = true;
};

} // namespace briarwind::fakes
