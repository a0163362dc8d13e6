#pragma once

#include <cstdint>

namespace briarwind {

/// How often fibers of this thread have been resumed. Each resumption waits for all fibers that are
/// ready before it.
std::uint64_t FiberResumptions();

} // namespace briarwind
