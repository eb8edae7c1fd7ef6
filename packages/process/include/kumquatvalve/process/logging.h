#ifndef KUMQUATVALVE_PROCESS_LOGGING_H_
#define KUMQUATVALVE_PROCESS_LOGGING_H_

#include <log4cxx/logger.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "kumquatvalve/process/log_event.h"

namespace kumquatvalve::process {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// How an event and its fields are written: as key=value pairs or as a JSON
/// object.
enum class LogFormat { kKeyValue, kJson };

struct LogField {
  std::string_view key;
  std::string value;
};

/// Writes numbered events with named fields to standard output through log4cxx.
/// Never blocks: a line that standard output does not accept at once is
/// dropped. Thread-safe.
class Logger {
 public:
  /// @param instance name of this process, written with every event.
  /// @param threshold lowest level that is written.
  Logger(std::string instance, LogFormat format, LogLevel threshold);

  /// Writes one line, cut at 4096 bytes.
  void Log(LogLevel level, LogEvent event, std::string_view message,
           std::initializer_list<LogField> fields) const;

 private:
  std::string instance_;
  LogFormat format_;
  log4cxx::LoggerPtr logger_;
};

/// Formats an event as one line without time and level: `event=1001
/// name=process_started instance=a msg="..." key=value` or a JSON object.
std::string FormatEvent(LogFormat format, std::string_view instance,
                        LogEvent event, std::string_view message,
                        std::initializer_list<LogField> fields);

}  // namespace kumquatvalve::process

#endif  // KUMQUATVALVE_PROCESS_LOGGING_H_
