#pragma once

#include "briarwind/config_store.h"
#include "briarwind/shape.h"

#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// mCount gangs of mMembers members of one shape that an organisation can claim at any time.
struct guarantee
{
  std::string mName;
  int mCount = 1;
  int mMembers = 1;
  resource_shape mShape;
  adjacency mAdjacency = adjacency::kNone;
};

/// Limits on short requests; 0 is no limit.
struct request_limits
{
  int mRequestsPerSecond = 0;
  int mRequestsInFlight = 0;
};

/// `/organisations/<name>`
struct organisation_settings
{
  std::string mName;
  int mWeight = 1; ///< share of what is contended, 1 to 1000
  std::vector<guarantee> mGuarantees;
  request_limits mRequests;
};

/// `/teams/<name>`
struct team_settings
{
  std::string mName;
  std::string mOrganisation;
  int mAcceleratorQuota = 0; ///< accelerators that its jobs may hold at once; 0 is no limit
  request_limits mRequests;
};

/// `/domains/<name>`
struct domain_settings
{
  std::string mName;
  bool mWithdrawn = false; ///< no task may start there
  std::string mReason;
};

/// `/targets/<name>`
struct target_settings
{
  std::string mName;
  bool mLeaving = false; ///< takes no new work
};

/// `/services/<name>`
struct service_settings
{
  std::string mName;
  int mSlots = 8;        ///< requests that one instance runs at once
  int mConnections = 64; ///< connections that one instance takes
};

/// Everything in force in one process, at one revision of the store.
struct settings_view
{
  store_revision mRevision = 0; ///< highest revision of all subtrees
  std::map<std::string, organisation_settings> mOrganisations;
  std::map<std::string, team_settings> mTeams;
  std::map<std::string, domain_settings> mDomains;
  std::map<std::string, target_settings> mTargets;
  std::map<std::string, service_settings> mServices;
};

} // namespace briarwind
