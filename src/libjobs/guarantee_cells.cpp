#include "briarwind/guarantee_cells.h"

#include "libjobs/cell_binder.h"
#include "libjobs/resources.h"

#include <algorithm>
#include <map>
#include <set>

namespace briarwind {

namespace {

std::vector<worker_info> SortedByName(std::span<const worker_info> aWorkers)
{
  std::vector<worker_info> sorted(aWorkers.begin(), aWorkers.end());
  std::ranges::sort(sorted, {}, &worker_info::mName);
  return sorted;
}

bool IsWithdrawn(const settings_view& aSettings, const std::string& aDomain)
{
  const auto found = aSettings.mDomains.find(aDomain);
  return found != aSettings.mDomains.end() && found->second.mWithdrawn;
}

std::set<std::string> DomainsOf(std::span<const worker_info> aWorkers)
{
  std::set<std::string> domains;
  for (const worker_info& each : aWorkers) {
    domains.insert(each.mDomain);
  }
  return domains;
}

void ReportUnmet(std::span<const cell_demand> aDemands, std::span<const cell_place> aPlaces,
                 const std::string& aWhen, findings& aFindings)
{
  std::map<std::pair<std::string, std::string>, int> unmet;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    if (aPlaces[i].empty()) {
      ++unmet[{ aDemands[i].mOrganisation, aDemands[i].mGuarantee }];
    }
  }
  for (const auto& [which, count] : unmet) {
    aFindings.push_back({ severity::kError, "/organisations/" + which.first, which.second,
                          "guarantees that can all be met together" + aWhen + "; " +
                            std::to_string(count) + " of this one cannot" });
  }
}

} // namespace

std::vector<guarantee_cell> BindGuarantees(const settings_view& aSettings,
                                           std::span<const worker_info> aWorkers)
{
  const std::vector<worker_info> workers = SortedByName(aWorkers);
  const std::vector<cell_demand> demands = DemandsOf(aSettings);
  const std::vector<cell_site> sites = SitesOf(workers);
  std::vector<bool> out;
  for (const worker_info& each : workers) {
    out.push_back(each.mLeaving || IsWithdrawn(aSettings, each.mDomain));
  }
  const std::vector<cell_place> homes = BindHomes(demands, sites);
  const std::vector<cell_place> places = BindAround(demands, sites, homes, out);
  std::vector<guarantee_cell> cells;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    guarantee_cell& cell = cells.emplace_back();
    cell.mOrganisation = demands[i].mOrganisation;
    cell.mGuarantee = demands[i].mGuarantee;
    cell.mCopy = demands[i].mCopy;
    for (const cell_share& each : places[i]) {
      cell.mParts.push_back({ workers[each.mSite].mName, each.mMembers });
    }
  }
  return cells;
}

findings CheckGuarantees(const settings_view& aSettings, std::span<const worker_info> aWorkers)
{
  const std::vector<worker_info> workers = SortedByName(aWorkers);
  const std::vector<cell_demand> demands = DemandsOf(aSettings);
  const std::vector<cell_site> sites = SitesOf(workers);
  findings found;
  const std::vector<cell_place> homes = BindHomes(demands, sites);
  ReportUnmet(demands, homes, "", found);
  const std::set<std::string> domains = DomainsOf(workers);
  if (!found.empty() || domains.size() < 2) {
    return found;
  }
  for (const std::string& domain : domains) {
    std::vector<bool> out;
    for (const worker_info& each : workers) {
      out.push_back(each.mDomain == domain);
    }
    ReportUnmet(demands, BindAround(demands, sites, homes, out),
                " while the failure domain " + domain + " is out", found);
  }
  return found;
}

} // namespace briarwind
