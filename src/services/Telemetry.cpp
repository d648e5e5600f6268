#include "services/Telemetry.h"

#include "services/ControlMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <boost/log/trivial.hpp>

namespace Coltsfootwell {

namespace {

constexpr std::string_view MetricPrefix = "coltsfootwell_";

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
          m_metricsMailbox(kernel.executor(), [this](ControlRequest request) {
              request.reply(
                  ControlAnswer {200, "text/plain; version=0.0.4",
                                 prometheus::TextSerializer().Serialize(m_registry.Collect())});
          })
    {
        kernel.directory().publish(name(), m_mailbox.address());
        kernel.directory().publish(ServiceName::control("metrics"), m_metricsMailbox.address());
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
        prometheus::BuildCounter()
            .Name(fullName(event.metric))
            .Register(m_registry)
            .Add({{"kind", event.kind}})
            .Increment(event.amount);
    }

    void handle(SetGauge gauge)
    {
        prometheus::BuildGauge()
            .Name(fullName(gauge.metric))
            .Register(m_registry)
            .Add({{"kind", gauge.kind}})
            .Set(gauge.value);
    }

    void handle(SpanEnded) { }

    void handle(StateChanged change)
    {
        BOOST_LOG_TRIVIAL(info) << m_self.name << ' ' << change.service << ": " << change.text;
    }

    DaemonId m_self;
    prometheus::Registry m_registry;
    Mailbox<TelemetryMessage> m_mailbox;
    Mailbox<ControlRequest> m_metricsMailbox;
};

} // namespace

std::unique_ptr<Service> makeTelemetry(Kernel &kernel, DaemonId self)
{
    return std::make_unique<Telemetry>(kernel, std::move(self));
}

} // namespace Coltsfootwell
