#include "services/Telemetry.h"

#include "services/ControlMessages.h"
#include "services/ServiceNames.h"
#include "services/SpanJson.h"
#include "services/TelemetryMessages.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <boost/log/trivial.hpp>

#include <deque>
#include <map>
#include <vector>

namespace Coltsfootwell {

namespace {

constexpr std::string_view MetricPrefix = "coltsfootwell_";

constexpr std::size_t MaxSpans = 2000;

/// One time series; the metric is a string literal, so its address stays valid.
using SeriesKey = std::pair<std::string_view, std::string>;

class Telemetry final : public Service
{
public:
    Telemetry(Kernel &kernel, DaemonId self)
        : m_self(std::move(self)),
          m_mailbox(kernel.executor(),
                    [this](TelemetryMessage message) {
                        std::visit([this](auto &&body) { handle(std::move(body)); },
                                   std::move(message));
                    }),
          m_metricsMailbox(kernel.executor(),
                           [this](ControlRequest request) { answerMetrics(request); }),
          m_spansMailbox(kernel.executor(),
                         [this](ControlRequest request) { answerSpans(request); })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::control("metrics"), m_metricsMailbox.address());
        kernel.directory().publish(ServiceName::control("spans"), m_spansMailbox.address());
    }

    std::string_view name() const override { return ServiceName::Telemetry; }
    std::error_code start() override { return {}; }
    void stop(Task done) override { done(); }

private:
    static std::string fullName(std::string_view metric)
    {
        return std::string(MetricPrefix) + std::string(metric);
    }

    void handle(CountEvent event)
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

    void handle(SetGauge gauge)
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

    void handle(SpanEnded span)
    {
        if (m_spans.size() == MaxSpans) {
            m_spans.pop_front();
        }
        m_spans.push_back(std::move(span));
    }

    void handle(StateChanged change)
    {
        BOOST_LOG_TRIVIAL(info) << m_self.name << ' ' << change.service << ": " << change.text;
    }

    void answerMetrics(const ControlRequest &request)
    {
        handle(SetGauge {"dropped_messages", "",
                         static_cast<double>(Internal::droppedMessages.load())});
        request.reply(ControlAnswer {200, "text/plain; version=0.0.4",
                                     prometheus::TextSerializer().Serialize(m_registry.Collect())});
    }

    void answerSpans(const ControlRequest &request)
    {
        const std::vector<SpanEnded> spans(m_spans.begin(), m_spans.end());
        request.reply(ControlAnswer {200, "application/json", encodeSpans(spans, m_self.name)});
    }

    DaemonId m_self;
    prometheus::Registry m_registry;
    std::map<SeriesKey, prometheus::Counter *> m_counters;
    std::map<SeriesKey, prometheus::Gauge *> m_gauges;
    std::deque<SpanEnded> m_spans;
    Mailbox<TelemetryMessage> m_mailbox;
    Mailbox<ControlRequest> m_metricsMailbox;
    Mailbox<ControlRequest> m_spansMailbox;
};

} // namespace

std::unique_ptr<Service> makeTelemetry(Kernel &kernel, DaemonId self)
{
    return std::make_unique<Telemetry>(kernel, std::move(self));
}

} // namespace Coltsfootwell
