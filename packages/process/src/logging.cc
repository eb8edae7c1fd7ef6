#include "kumquatvalve/process/logging.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>
#include <poll.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace kumquatvalve::process {
namespace {

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

// Returns the value as a JSON string if it is empty or has spaces, quotes,
// equals signs, backslashes or line breaks.
std::string QuoteIfNeeded(std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\\\n\r\t") == value.npos;
  const std::string text(value);
  return plain ? text
               : nlohmann::json(text).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Writes whole lines to standard output and drops a line when the reader is
// slow or has closed its end.
class NonBlockingStdoutAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit NonBlockingStdoutAppender(const log4cxx::LayoutPtr& layout)
      : layout_(layout) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    layout_->format(line, event, pool);
    if (line.size() > kMaxLineBytes) {
      line.resize(kMaxLineBytes - 1);
      line += '\n';
    }
    pollfd poll_fd = {STDOUT_FILENO, POLLOUT, 0};
    if (poll(&poll_fd, 1, 0) == 1 && (poll_fd.revents & POLLOUT) != 0) {
      // A writable pipe accepts at least `kMaxLineBytes` without blocking.
      (void)!write(STDOUT_FILENO, line.data(), line.size());
    }
  }

 private:
  // PIPE_BUF on Linux.
  static constexpr size_t kMaxLineBytes = 4096;

  log4cxx::LayoutPtr layout_;
};

}  // namespace

std::string FormatEvent(LogFormat format, std::string_view instance,
                        LogEvent event, std::string_view message,
                        std::initializer_list<LogField> fields) {
  const int number = static_cast<int>(event);
  if (format == LogFormat::kJson) {
    nlohmann::ordered_json line;
    line["event"] = number;
    line["name"] = Name(event);
    line["instance"] = instance;
    line["msg"] = message;
    for (const LogField& it : fields) {
      line[std::string(it.key)] = it.value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  std::string line =
      "event=" + std::to_string(number) + " name=" + std::string(Name(event)) +
      " instance=" + QuoteIfNeeded(instance) + " msg=" + QuoteIfNeeded(message);
  for (const LogField& it : fields) {
    line += " " + std::string(it.key) + "=" + QuoteIfNeeded(it.value);
  }
  return line;
}

Logger::Logger(std::string instance, LogFormat format, LogLevel threshold)
    : instance_(std::move(instance)),
      format_(format),
      logger_(log4cxx::Logger::getLogger("kumquatvalve")) {
  const std::string pattern =
      format == LogFormat::kJson
          ? "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",\"log\":%m}%n"
          : "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n";
  log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
  log4cxx::AppenderPtr appender(new NonBlockingStdoutAppender(layout));
  logger_->removeAllAppenders();
  logger_->setAdditivity(false);
  logger_->addAppender(appender);
  logger_->setLevel(ToLog4cxx(threshold));
}

void Logger::Log(LogLevel level, LogEvent event, std::string_view message,
                 std::initializer_list<LogField> fields) const {
  const log4cxx::LevelPtr log4cxx_level = ToLog4cxx(level);
  if (logger_->isEnabledFor(log4cxx_level)) {
    logger_->forcedLog(log4cxx_level,
                       FormatEvent(format_, instance_, event, message, fields));
  }
}

}  // namespace kumquatvalve::process
