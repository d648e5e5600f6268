#include "services/Telemetry.h"

#include "decisions/LogRateLimiter.h"
#include "services/ControlMessages.h"
#include "services/LogOutput.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <vector>

namespace Coltsfootwell {

namespace {

constexpr std::string_view MetricPrefix = "coltsfootwell_";
/// Interval at which the number of omitted log lines is reported.
constexpr std::chrono::seconds OmittedReportInterval {1};

/// Name and label "kind" of a time series. The view stays valid, since the name is a string
/// literal.
using SeriesKey = std::pair<std::string_view, std::string>;

class Telemetry final : public Service
{
public:
    Telemetry(Kernel &kernel, DaemonId self)
        : m_kernel(kernel), m_self(std::move(self)),
          m_mailbox(kernel.executor(),
                    [this](TelemetryMessage &&message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_metricsMailbox(kernel.executor(),
                           [this](ControlRequest request) { answerMetrics(request); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::control("metrics"), m_metricsMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Telemetry; }

    std::error_code start() override
    {
        reportOmittedLines();
        return {};
    }

    void stop(Task done) override
    {
        m_kernel.executor().cancel(m_omittedTimer);
        done();
    }

private:
    static std::string fullName(std::string_view metric)
    {
        return std::string(MetricPrefix) + std::string(metric);
    }

    void handle(const IncrementCounter &event)
    {
        prometheus::Counter *&counter = m_counters[{event.metric, event.kind}];
        if (!counter) {
            counter = &prometheus::BuildCounter()
                           .Name(fullName(event.metric))
                           .Register(m_registry)
                           .Add({{"kind", event.kind}});
        }
        counter->Increment(event.amount);
    }

    void handle(const SetGauge &gauge)
    {
        prometheus::Gauge *&series = m_gauges[{gauge.metric, gauge.kind}];
        if (!series) {
            series = &prometheus::BuildGauge()
                          .Name(fullName(gauge.metric))
                          .Register(m_registry)
                          .Add({{"kind", gauge.kind}});
        }
        series->Set(gauge.value);
    }

    void handle(const ObserveDuration &observed)
    {
        prometheus::Histogram *&series = m_histograms[{observed.metric, observed.kind}];
        if (!series) {
            // Seconds.
            const prometheus::Histogram::BucketBoundaries bucketBounds {
                0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5};
            series = &prometheus::BuildHistogram()
                          .Name(fullName(observed.metric))
                          .Register(m_registry)
                          .Add({{"kind", observed.kind}}, bucketBounds);
        }
        series->Observe(std::chrono::duration<double>(observed.time).count());
    }

    void handle(const LogEvent &event)
    {
        if (m_rateLimiter.allows(event.event, event.weight == LogWeight::Important,
                                 m_kernel.executor().now())) {
            write(event.event, event.request, event.fields);
        }
    }

    void write(std::string_view event, std::string_view request, std::string_view fields) const
    {
        writeLog(formatLogLine(m_self.name, event, request, fields));
    }

    void reportOmittedLines()
    {
        m_omittedTimer = m_kernel.executor().scheduleAfter(OmittedReportInterval,
                                                           [this] { reportOmittedLines(); });
        for (const OmittedLines &omitted : m_rateLimiter.takeOmitted()) {
            write("log.omitted", "",
                  "of=" + omitted.event + " weight=" + (omitted.important ? "important" : "routine")
                      + " lines=" + std::to_string(omitted.lines));
            handle(
                IncrementCounter {"log_lines_omitted_total", omitted.event, double(omitted.lines)});
        }
    }

    void answerMetrics(const ControlRequest &request)
    {
        handle(SetGauge {"dropped_messages", "",
                         static_cast<double>(Internal::droppedMessages.load())});
        handle(SetGauge {"log_lines_dropped", "", static_cast<double>(droppedLogLines())});
        request.reply(ControlAnswer {200, "text/plain; version=0.0.4",
                                     prometheus::TextSerializer().Serialize(m_registry.Collect())});
    }

    Kernel &m_kernel;
    DaemonId m_self;
    LogRateLimiter m_rateLimiter;
    prometheus::Registry m_registry;
    std::map<SeriesKey, prometheus::Counter *> m_counters;
    std::map<SeriesKey, prometheus::Gauge *> m_gauges;
    std::map<SeriesKey, prometheus::Histogram *> m_histograms;
    TimerId m_omittedTimer = 0;
    Mailbox<TelemetryMessage> m_mailbox;
    Mailbox<ControlRequest> m_metricsMailbox;
};

} // namespace

std::unique_ptr<Service> makeTelemetry(Kernel &kernel, DaemonId self)
{
    return std::make_unique<Telemetry>(kernel, std::move(self));
}

} // namespace Coltsfootwell
