#pragma once

#include "briarwind/finding.h"
#include "briarwind/job_core.h"

#include <boost/json/fwd.hpp>

#include <span>

namespace briarwind {

/// The JSON bodies of the scheduler's HTTP answers, as docs/API.md describes them.
boost::json::object ToJson(const job_view& aJob);
boost::json::object ToJson(const job_explanation& aExplanation);
boost::json::object ToJson(const core_status& aStatus);
boost::json::object ToJson(const cell_view& aCell);
boost::json::array ToJson(std::span<const finding> aFindings);

} // namespace briarwind
