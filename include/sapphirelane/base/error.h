#ifndef SAPPHIRELANE_BASE_ERROR_H
#define SAPPHIRELANE_BASE_ERROR_H

#include <stdexcept>
#include <string>

namespace sapphirelane {

/// @brief Base of every error that the project throws.
class Error : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// @brief A settings file or sheet holds a value that is not acceptable.
class ConfigError : public Error
{
public:
  using Error::Error;
};

/// @brief A peer message is not authentic, not whole or not decodable.
class WireError : public Error
{
public:
  using Error::Error;
};

/// @brief The platform's service gave no answer; a write may have happened.
class PlatformUnavailable : public Error
{
public:
  using Error::Error;
};

/// @brief A plug-in name is not registered.
class UnknownPlugin : public Error
{
public:
  UnknownPlugin(const std::string& aKind, const std::string& aName)
    : Error(aKind + " \"" + aName + "\" is not registered")
  {
  }
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_BASE_ERROR_H
