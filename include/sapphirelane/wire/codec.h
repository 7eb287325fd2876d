#ifndef SAPPHIRELANE_WIRE_CODEC_H
#define SAPPHIRELANE_WIRE_CODEC_H

#include <string>
#include <string_view>

#include "sapphirelane/wire/messages.h"

namespace sapphirelane {

/// @brief Largest datagram sent or accepted, in bytes.
constexpr std::size_t kMostDatagram = 8192;

/// @brief Largest bulk message sent or accepted, in bytes.
constexpr std::size_t kMostBulk = 64U << 20U;

/// @brief Encodes a message.
std::string
EncodeMessage(const PeerMessage& aMessage);

/// @brief Decodes EncodeMessage's bytes.
/// @throws WireError if they are too long, cut off or not a message.
PeerMessage
DecodeMessage(std::string_view aBytes);

/// @brief Encodes a bulk message.
std::string
EncodeBulk(const BulkMessage& aMessage);

/// @brief Decodes EncodeBulk's bytes.
/// @throws WireError if they are too long, cut off or not a message.
BulkMessage
DecodeBulk(std::string_view aBytes);

} // namespace sapphirelane

#endif // SAPPHIRELANE_WIRE_CODEC_H
