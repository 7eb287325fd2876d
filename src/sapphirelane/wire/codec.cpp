#include "sapphirelane/wire/codec.h"

#include <sstream>

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "sapphirelane/base/error.h"
#include "sapphirelane/wire/bounded_archive.h"

namespace sapphirelane {

namespace {

template<typename Message>
std::string
Encode(const Message& aMessage)
{
  std::ostringstream stream;
  {
    cereal::BinaryOutputArchive archive(stream);
    archive(aMessage);
  }
  return stream.str();
}

template<typename Message>
Message
Decode(std::string_view aBytes, std::size_t aMost)
{
  if (aBytes.empty() || aBytes.size() > aMost) {
    throw WireError("message of " + std::to_string(aBytes.size()) +
                    " bytes, expected 1 to " + std::to_string(aMost));
  }
  Message message;
  BoundedInput archive(aBytes);
  try {
    archive(message);
  } catch (const std::exception& error) {
    throw WireError(std::string("message cannot be decoded: ") + error.what());
  }
  if (!archive.IsAtEnd()) {
    throw WireError("message has bytes after its end");
  }
  return message;
}

} // namespace

std::string
EncodeMessage(const PeerMessage& aMessage)
{
  return Encode(aMessage);
}

PeerMessage
DecodeMessage(std::string_view aBytes)
{
  return Decode<PeerMessage>(aBytes, kMostDatagram);
}

std::string
EncodeBulk(const BulkMessage& aMessage)
{
  return Encode(aMessage);
}

BulkMessage
DecodeBulk(std::string_view aBytes)
{
  return Decode<BulkMessage>(aBytes, kMostBulk);
}

} // namespace sapphirelane
