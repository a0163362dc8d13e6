#include "briarwind/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace briarwind {

namespace {

namespace iterators = boost::archive::iterators;

constexpr std::size_t kGroupLength = 4; // characters that encode three bytes

using encoder =
  iterators::base64_from_binary<iterators::transform_width<std::string_view::const_iterator, 6, 8>>;
using decoder =
  iterators::transform_width<iterators::binary_from_base64<std::string_view::const_iterator>, 8, 6>;

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text(encoder(aBytes.begin()), encoder(aBytes.end()));
  text.append((kGroupLength - text.size() % kGroupLength) % kGroupLength, '=');
  return text;
}

result<std::string> DecodeBase64(std::string_view aText)
{
  std::string_view digits = aText;
  while (digits.ends_with('=') && aText.size() - digits.size() < 2) {
    digits.remove_suffix(1);
  }
  if (aText.size() % kGroupLength != 0 || digits.size() % kGroupLength == 1) {
    return MakeError(error_kind::kProtocol, "base64", "the length is no multiple of four");
  }
  // The decoder reads a padding character as a zero digit at any position.
  if (digits.find('=') != std::string_view::npos) {
    return MakeError(error_kind::kProtocol, "base64", "padding in the middle");
  }
  // The decoder needs complete groups of four characters, so zero digits replace the padding.
  std::string padded(digits);
  padded.append(aText.size() - digits.size(), 'A');
  try {
    const std::string_view source = padded;
    std::string bytes(decoder(source.begin()), decoder(source.end()));
    bytes.resize(digits.size() * 3 / kGroupLength);
    return bytes;
  } catch (const iterators::dataflow_exception&) {
    return MakeError(error_kind::kProtocol, "base64", "not a character of base64");
  }
}

} // namespace briarwind
