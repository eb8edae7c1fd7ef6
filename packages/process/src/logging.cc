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

// Quotes a value with spaces, quotes or control characters as JSON does.
std::string Quoted(std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\\\n\r\t") == value.npos;
  const std::string text(value);
  return plain ? text
               : nlohmann::json(text).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Writes whole lines to standard output, and leaves a line out when the reader
// is behind or gone.
class OutputAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit OutputAppender(const log4cxx::LayoutPtr& layout) : lines_(layout) {}

  void close() override {}
  bool requiresLayout() const override { return false; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString line;
    lines_->format(line, event, pool);
    if (line.size() > kLongestLine) {
      line.resize(kLongestLine - 1);
      line += '\n';
    }
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
      // What a pipe takes without blocking is at least `kLongestLine`.
      (void)!write(STDOUT_FILENO, line.data(), line.size());
    }
  }

 private:
  // PIPE_BUF of Linux.
  static constexpr size_t kLongestLine = 4096;

  log4cxx::LayoutPtr lines_;
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
      " instance=" + Quoted(instance) + " msg=" + Quoted(message);
  for (const LogField& it : fields) {
    line += " " + std::string(it.key) + "=" + Quoted(it.value);
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
  log4cxx::AppenderPtr appender(new OutputAppender(layout));
  logger_->removeAllAppenders();
  logger_->setAdditivity(false);
  logger_->addAppender(appender);
  logger_->setLevel(ToLog4cxx(threshold));
}

void Logger::Log(LogLevel level, LogEvent event, std::string_view message,
                 std::initializer_list<LogField> fields) const {
  const log4cxx::LevelPtr native = ToLog4cxx(level);
  if (logger_->isEnabledFor(native)) {
    logger_->forcedLog(native,
                       FormatEvent(format_, instance_, event, message, fields));
  }
}

}  // namespace kumquatvalve::process
