#pragma once

#include "briarwind/work_model.h"

#include <map>
#include <string>
#include <string_view>

namespace briarwind {

/// What each organisation has in use over all workers, and its limit. Counts a run from the
/// decision to start it until its end is certain, and claims on capacity that is being freed.
class organisation_ledger
{
public:
  struct account
  {
    task_demand mRuns;
    task_demand mClaims;

    bool operator==(const account&) const = default;
  };

  void SetPolicies(std::map<std::string, organisation_policy> aPolicies);
  /// Whether the operators have set a weight or a limit for any organisation.
  bool HasPolicies() const { return !mPolicies.empty(); }
  bool HasLimit(const std::string& aOrganisation) const;
  /// The weight, or 1 where none is set.
  double Weight(const std::string& aOrganisation) const;

  void AddRun(const std::string& aOrganisation, const task_demand& aDemand);
  void RemoveRun(const std::string& aOrganisation, const task_demand& aDemand);
  void AddClaim(const std::string& aOrganisation, const task_demand& aDemand);
  void RemoveClaim(const std::string& aOrganisation, const task_demand& aDemand);

  /// What runs and claims occupy together.
  task_demand InUse(const std::string& aOrganisation) const;
  /// What the limit leaves beside runs and claims, negative where they exceed it; a very large
  /// number for a resource without a limit.
  task_demand Left(const std::string& aOrganisation) const;
  /// How many more tasks of this demand stay within the limit.
  int Headroom(const std::string& aOrganisation, const task_demand& aDemand) const;
  bool IsOverLimit(const std::string& aOrganisation) const;
  /// Largest part of aTotal that the organisation uses of any resource, divided by its weight.
  double WeightedShare(const std::string& aOrganisation, const task_demand& aTotal) const;
  /// Name of the resource that leaves the least for this demand, such as `accelerators`.
  std::string_view ScarcestResource(const std::string& aOrganisation,
                                    const task_demand& aDemand) const;

  const std::map<std::string, organisation_policy>& Policies() const { return mPolicies; }

private:
  account AccountOf(const std::string& aOrganisation) const;
  void Change(const std::string& aOrganisation, task_demand account::* aPart,
              const task_demand& aChange);

  std::map<std::string, organisation_policy> mPolicies;
  std::map<std::string, account> mAccounts; ///< of organisations that use anything
};

/// How many tasks of this demand fit into what is left of a limit; none while any resource is above
/// its limit, also one that the tasks do not need.
int CountWithin(const task_demand& aLeft, const task_demand& aDemand);

/// Name of the first resource of which the step needs more than the limit, for one task or for all
/// tasks of a gang; empty when the step can run.
std::string_view ResourceOverLimit(const work_step& aStep, const organisation_policy& aPolicy);

} // namespace briarwind
