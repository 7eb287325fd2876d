#ifndef SAPPHIRELANE_PROXY_SIGNAL_HANDLER_H
#define SAPPHIRELANE_PROXY_SIGNAL_HANDLER_H

#include <string>

#include "sapphirelane/kernel/metrics.h"
#include "sapphirelane/membership/fleet_control.h"
#include "sapphirelane/proxy/http.h"
#include "sapphirelane/proxy/pending_request.h"
#include "sapphirelane/proxy/service_state.h"

namespace sapphirelane {

/// @brief Applies what endpoints say about themselves in their responses, and
/// tells the fleet which of them leave.
class SignalHandler
{
public:
  /// @param aDialect Must outlive this object, as must the others.
  SignalHandler(const HttpDialect& aDialect,
                FleetControl& aControl,
                Metrics& aMetrics)
    : m_dialect(aDialect)
    , m_control(aControl)
    , m_metrics(aMetrics)
  {
  }

  /// @brief Applies the signals of a response to an attempt.
  void Apply(const ResponseHead& aHead,
             const std::string& aService,
             const Attempt& aAttempt,
             ServiceState& aState,
             TimePoint aNow);

  /// @brief Applies the limit that an endpoint names in a response, or that it
  /// names none.
  /// @param aHead Of a response that is known to be the endpoint's.
  void ApplyLimit(const ResponseHead& aHead,
                  const std::string& aService,
                  const Attempt& aAttempt,
                  ServiceState& aState,
                  TimePoint aNow);

  /// @brief Applies the cold time that an endpoint states in a response.
  /// @param aHead Of a response that is known to be the endpoint's.
  void ApplyCold(const ResponseHead& aHead,
                 const std::string& aService,
                 const Attempt& aAttempt,
                 ServiceState& aState,
                 TimePoint aNow);

  /// @brief Applies another daemon's report on an endpoint's limit.
  void OnReport(const LimitReport& aReport,
                ServiceState& aState,
                TimePoint aNow);

  /// @brief Applies another daemon's report that an endpoint is cold.
  static void OnReport(const ColdReport& aReport,
                       ServiceState& aState,
                       TimePoint aNow);

  /// @brief Applies another daemon's report that an endpoint leaves.
  void OnReport(const LeaveReport& aReport,
                ServiceState& aState,
                TimePoint aNow);

private:
  void RecordMalformed(const std::string& aHeader,
                       const std::string& aEndpoint,
                       TimePoint aNow);

  const HttpDialect& m_dialect;
  FleetControl& m_control;
  Metrics& m_metrics;
  TimePoint m_nextMalformedLog{};
};

} // namespace sapphirelane

#endif // SAPPHIRELANE_PROXY_SIGNAL_HANDLER_H
