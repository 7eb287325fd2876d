#ifndef SAPPHIRELANE_PROXY_OPERATOR_FRONT_H
#define SAPPHIRELANE_PROXY_OPERATOR_FRONT_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sapphirelane {

/// @brief A request on the operators' port.
struct OperatorCall
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
};

/// @brief Response to an operator.
struct OperatorReply
{
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// @brief HTTP listener for operators, probes and metrics.
class OperatorFront
{
public:
  virtual ~OperatorFront() = default;
};

/// @brief Options of the operators' listener.
struct OperatorFrontOptions
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 8081;
  std::string credential_digest; ///< Of the token that /v1/ requires.
};

/// @param aHandle Answers a request, on one of the listener's threads.
/// @throws Error if the listener cannot bind its port.
std::unique_ptr<OperatorFront>
MakeOperatorFront(OperatorFrontOptions aOptions,
                  std::function<OperatorReply(const OperatorCall&)> aHandle);

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_OPERATOR_FRONT_H
