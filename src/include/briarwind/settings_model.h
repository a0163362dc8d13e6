#pragma once

#include "briarwind/config_store.h"
#include "briarwind/shape.h"

#include <map>
#include <string>
#include <vector>

namespace briarwind {

/// Capacity that an organisation can claim at any time: mCount gangs of mMembers members each, all
/// of one shape.
struct guarantee
{
  std::string mName;
  int mCount = 1;
  int mMembers = 1;
  resource_shape mShape;
  adjacency mAdjacency = adjacency::kNone;
};

/// Limits on short requests; 0 means no limit.
struct request_limits
{
  int mRequestsPerSecond = 0;
  int mRequestsInFlight = 0;
};

/// The settings at `/organisations/<name>`.
struct organisation_settings
{
  std::string mName;
  int mWeight = 1; ///< weight of its share of contended capacity, 1 to 1000
  std::vector<guarantee> mGuarantees;
  request_limits mRequests;
};

/// The settings at `/teams/<name>`.
struct team_settings
{
  std::string mName;
  std::string mOrganisation;
  int mAcceleratorQuota = 0; ///< accelerators that its jobs may hold at once; 0 means no limit
  request_limits mRequests;
};

/// The settings of a failure domain at `/domains/<name>`.
struct domain_settings
{
  std::string mName;
  bool mWithdrawn = false; ///< no task may start in the domain
  std::string mReason;
};

/// The settings at `/targets/<name>`.
struct target_settings
{
  std::string mName;
  bool mLeaving = false; ///< the target takes no new work
};

/// The settings at `/services/<name>`.
struct service_settings
{
  std::string mName;
  int mSlots = 8;        ///< requests that one instance processes at once
  int mConnections = 64; ///< connections that one instance accepts
};

/// All settings in force in one process, by name.
struct settings_view
{
  store_revision mRevision = 0; ///< the highest revision of all subtrees
  std::map<std::string, organisation_settings> mOrganisations;
  std::map<std::string, team_settings> mTeams;
  std::map<std::string, domain_settings> mDomains;
  std::map<std::string, target_settings> mTargets;
  std::map<std::string, service_settings> mServices;
};

} // namespace briarwind
