#ifndef KUMQUATVALVE_PROCESS_LOGGING_H_
#define KUMQUATVALVE_PROCESS_LOGGING_H_

#include <log4cxx/logger.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "kumquatvalve/process/log_event.h"

namespace kumquatvalve::process {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// How the fields of an event are written.
enum class LogFormat { kKeyValue, kJson };

struct LogField {
  std::string_view key;
  std::string value;
};

/// Writes numbered events with named fields to standard output through log4cxx.
/// Standard output never blocks the process: a line that it does not take at
/// once is left out.
/// May be used from any thread.
class Logger {
 public:
  /// @param instance name of this process, a field of every event.
  Logger(std::string instance, LogFormat format, LogLevel threshold);

  void Log(LogLevel level, LogEvent event, std::string_view message,
           std::initializer_list<LogField> fields) const;

 private:
  std::string instance_;
  LogFormat format_;
  log4cxx::LoggerPtr logger_;
};

/// One event as a line without its time and level: `event=1001
/// name=process_started instance=a msg="..." key=value` or a JSON object.
std::string FormatEvent(LogFormat format, std::string_view instance,
                        LogEvent event, std::string_view message,
                        std::initializer_list<LogField> fields);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_LOGGING_H_
