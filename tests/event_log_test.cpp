// The log and the counts of unusual events.
#include "proxy/event_log.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>

#include "admin/metrics.h"

namespace linnetlead::proxy {
namespace {

using namespace std::chrono_literals;

TEST(EventLog, EachEventHasANameOfItsOwn) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < static_cast<std::size_t>(Event::kCount); ++i)
        names.insert(std::string(name_of(static_cast<Event>(i))));
    EXPECT_EQ(names.size(), static_cast<std::size_t>(Event::kCount));
    EXPECT_EQ(names.count(""), 0u);
}

TEST(EventLog, AFrequentKindIsCountedBeyondItsRateAndHidesNoOther) {
    EventLog log;
    int lines = 0;
    for (int i = 0; i < 1000; ++i) lines += log.note(Event::kRequestRejected, 100s) ? 1 : 0;
    EXPECT_EQ(lines, 20);
    EXPECT_EQ(log.count(Event::kRequestRejected), 1000u);
    EXPECT_TRUE(log.note(Event::kClientStalled, 100s));
    EXPECT_TRUE(log.note(Event::kRequestRejected, 101s));
    EXPECT_FALSE(log.note(Event::kRequestRejected, 101s));
}

TEST(EventLog, AnAttemptIsNotedByItsStageAndItsEnding) {
    EXPECT_EQ(event_of({Stage::kAnswering, Ending::kTimedOut, {}, 0, {}}), Event::kAttemptReplyTimeout);
    EXPECT_EQ(event_of({Stage::kWritten, Ending::kTimedOut, {}, 0, {}}), Event::kAttemptTimeout);
    EXPECT_EQ(event_of({Stage::kUnconnected, Ending::kBroken, {}, 0, {}}), Event::kAttemptConnectFailed);
    EXPECT_EQ(event_of({Stage::kWritten, Ending::kBroken, {}, 0, {}}), Event::kAttemptReset);
    EXPECT_EQ(event_of({Stage::kWritten, Ending::kTurnedAway, {}, 0, {}}), Event::kAttemptBusyReply);
}

TEST(EventLog, TheMetricsNameWhatHasOccurred) {
    admin::Metrics metrics;
    metrics.events.note(Event::kAttemptReset, 1s);
    const std::string text = admin::write_figures(metrics);
    EXPECT_NE(text.find("edge_balancer.events.attempt_reset=1\n"), std::string::npos);
    EXPECT_EQ(text.find("attempt_timeout"), std::string::npos);
}

}  // namespace
}  // namespace linnetlead::proxy
