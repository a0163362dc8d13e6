#include "ctl_input.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace briarwind {

io_result<std::string> ReadInput(const std::string& aArgument)
{
  if (!aArgument.starts_with('@')) {
    return aArgument;
  }
  using reader = std::istreambuf_iterator<char>;
  if (aArgument == "@-") {
    return std::string(reader(std::cin), reader());
  }
  std::ifstream file(aArgument.substr(1));
  if (!file) {
    return IoError(error_kind::kInvalid, aArgument, "the file cannot be read");
  }
  return std::string(reader(file), reader());
}

} // namespace briarwind
