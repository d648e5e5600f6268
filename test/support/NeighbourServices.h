// The services that "daemon-records" and "left-processes" find in the directory of their kernel.
#pragma once

#include "kernel/Kernel.h"
#include "services/BackendMessages.h"
#include "services/ConfigurationMessages.h"
#include "services/MembershipMessages.h"
#include "services/ServiceNames.h"
#include "services/TelemetryMessages.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Coltsfootwell::Testing {

/// \brief Mailboxes that record what a service sends and answer its subscriptions.
class NeighbourServices
{
public:
    /// \param kernel its directory gets the mailboxes.
    explicit NeighbourServices(Kernel &kernel)
        : m_telemetry(kernel.executor(),
                      [this](const TelemetryMessage &message) {
                          if (const auto *event = std::get_if<LogEvent>(&message)) {
                              events.emplace_back(event->event);
                          }
                      }),
          m_membership(kernel.executor(),
                       [this](const MembershipMessage &message) {
                           if (const auto *subscribe = std::get_if<SubscribeMembers>(&message)) {
                               subscribe->subscriber.send(MembersChanged {
                                   std::make_shared<const std::vector<Member>>(members)});
                           }
                       }),
          m_configuration(kernel.executor(),
                          [this](const ConfigurationMessage &message) {
                              if (const auto *subscribe
                                  = std::get_if<SubscribeStoreEpoch>(&message)) {
                                  m_epochSubscribers.push_back(subscribe->subscriber);
                              }
                          }),
          m_registration(kernel.executor(), [this](const RegistrationMessage &message) {
              if (const auto *read = std::get_if<PredecessorRecordRead>(&message)) {
                  predecessors = read->processes;
              }
          })
    {
        kernel.directory().publish(ServiceName::Telemetry, m_telemetry.address());
        kernel.directory().publish(ServiceName::Membership, m_membership.address());
        kernel.directory().publish(ServiceName::Configuration, m_configuration.address());
        kernel.directory().publish(ServiceName::Registration, m_registration.address());
    }

    /// Tells the service that the epoch of the store has risen.
    void announceEpoch(StoreEpoch epoch) const
    {
        for (const auto &subscriber : m_epochSubscribers) {
            subscriber.send({epoch});
        }
    }

    auto countOf(std::string_view event) const { return std::ranges::count(events, event); }

    /// Members that the service is told of when it starts.
    std::vector<Member> members;
    /// Names of all logged events.
    std::vector<std::string> events;
    /// Content of the last PredecessorRecordRead.
    std::optional<std::vector<LeftProcess>> predecessors;

private:
    std::vector<Address<StoreEpochChanged>> m_epochSubscribers;
    Mailbox<TelemetryMessage> m_telemetry;
    Mailbox<MembershipMessage> m_membership;
    Mailbox<ConfigurationMessage> m_configuration;
    Mailbox<RegistrationMessage> m_registration;
};

} // namespace Coltsfootwell::Testing
