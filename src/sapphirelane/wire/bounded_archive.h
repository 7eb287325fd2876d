#ifndef SAPPHIRELANE_WIRE_BOUNDED_ARCHIVE_H
#define SAPPHIRELANE_WIRE_BOUNDED_ARCHIVE_H

#include <cstring>
#include <string_view>
#include <type_traits>

#include <cereal/cereal.hpp>

#include "sapphirelane/base/error.h"

namespace sapphirelane {

/// @brief Reads cereal's binary form from memory and trusts no size.
///
/// The library's containers allocate as many elements as the bytes claim.
/// Here a size may not exceed the bytes that are left. Numbers are little
/// endian, as on all hosts of a fleet.
class BoundedInput
  : public cereal::InputArchive<BoundedInput, cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInput(std::string_view aBytes)
    : InputArchive(this)
    , m_left(aBytes)
  {
  }

  /// @throws WireError if fewer bytes are left.
  void LoadBytes(void* aInto, std::size_t aSize)
  {
    CheckSize(aSize);
    std::memcpy(aInto, m_left.data(), aSize);
    m_left.remove_prefix(aSize);
  }

  /// @throws WireError if a size exceeds the bytes that are left.
  void CheckSize(std::size_t aSize) const
  {
    if (aSize > m_left.size()) {
      throw WireError("message claims " + std::to_string(aSize) +
                      " more bytes or elements, " +
                      std::to_string(m_left.size()) + " bytes are left");
    }
  }

  bool IsAtEnd() const { return m_left.empty(); }

private:
  std::string_view m_left;
};

// The names below are those that the library looks for.

template<typename Number>
std::enable_if_t<std::is_arithmetic<Number>::value, void>
CEREAL_LOAD_FUNCTION_NAME(BoundedInput& aArchive, Number& aNumber)
{
  if constexpr (std::is_same<Number, bool>::value) {
    std::uint8_t byte = 0;
    aArchive.LoadBytes(&byte, sizeof byte);
    if (byte > 1) {
      throw WireError("message has a truth value of " + std::to_string(byte));
    }
    aNumber = byte == 1;
  } else {
    aArchive.LoadBytes(&aNumber, sizeof aNumber);
  }
}

template<typename Value>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInput& aArchive,
                          cereal::NameValuePair<Value>& aPair)
{
  aArchive(aPair.value);
}

template<typename Size>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInput& aArchive, cereal::SizeTag<Size>& aTag)
{
  aArchive(aTag.size);
  aArchive.CheckSize(static_cast<std::size_t>(aTag.size));
}

template<typename Data>
void
CEREAL_LOAD_FUNCTION_NAME(BoundedInput& aArchive,
                          cereal::BinaryData<Data>& aData)
{
  aArchive.LoadBytes(aData.data, static_cast<std::size_t>(aData.size));
}

} // namespace sapphirelane

#endif // SAPPHIRELANE_WIRE_BOUNDED_ARCHIVE_H
