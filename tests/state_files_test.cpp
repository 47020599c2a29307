// State that a process reads back at its next start: what is not there is told from what cannot be read, and
// what could not be used is never overwritten unseen, whichever call fails and however.
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "cluster/raft/raft_log_store.h"
#include "storage/checksummed_file.h"
#include "storage/file_calls.h"
#include "storage/state_file.h"
#include "testing/socket_peer.h"

namespace linnetlead {
namespace {

using storage::FileCall;
using storage::StateFile;

constexpr const char* kKind = "linnetlead-test 1";
constexpr int kFaults[] = {EACCES, EIO, EMFILE, ENOSPC, storage::kShortTransfer};

// A folder that is gone with the test, and no fault left behind.
class StateFiles : public testing::Test {
protected:
    StateFiles() : folder_(test_support::temporary_path("state")) {
        std::filesystem::create_directory(folder_);
    }
    ~StateFiles() override {
        storage::inject_file_faults(nullptr);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    std::string path() const { return folder_ + "/state"; }
    std::string aside() const { return path() + ".unusable.1"; }
    static std::string content(const std::string& path) {
        std::ifstream file(path, std::ios::binary);
        return std::string((std::istreambuf_iterator<char>(file)), {});
    }
    void clear() {
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directory(folder_);
    }
    static Status save(StateFile& file, const std::string& state) {
        const Status result = file.writer(state)();
        file.written(result);
        return result;
    }
    // The call of this number fails; returns how many there were. 0: none fails.
    template <typename Act>
    static int calls_with_fault(int number, int fault, Act act) {
        int calls = 0;
        storage::inject_file_faults([&](FileCall) { return ++calls == number ? fault : 0; });
        act();
        storage::inject_file_faults(nullptr);
        return calls;
    }

    const std::string folder_;
};

TEST_F(StateFiles, NothingThereIsToldFromWhatCannotBeReadAndFromWhatIsDamaged) {
    StateFile absent(path(), kKind);
    EXPECT_EQ(absent.load().error().code, ErrorCode::kNotFound);
    EXPECT_EQ(absent.problem(), "");
    ASSERT_TRUE(save(absent, "state"));
    EXPECT_EQ(*StateFile(path(), kKind).load(), "state");
    EXPECT_FALSE(std::filesystem::exists(aside()));

    StateFile other(path(), "linnetlead-test 2");
    EXPECT_EQ(other.load().error().code, ErrorCode::kInvalidArgument);
    EXPECT_NE(other.problem().find(path()), std::string::npos) << other.problem();

    ASSERT_TRUE(storage::replace_file(path(), "damaged"));
    StateFile damaged(path(), kKind);
    EXPECT_FALSE(damaged.load());
    EXPECT_NE(damaged.problem().find(path()), std::string::npos) << damaged.problem();

    // A folder in its place cannot be read, whoever asks.
    unlink(path().c_str());
    std::filesystem::create_directory(path());
    StateFile unreadable(path(), kKind);
    EXPECT_EQ(unreadable.load().error().code, ErrorCode::kIo);
    EXPECT_NE(unreadable.problem().find("Is a directory"), std::string::npos) << unreadable.problem();
}

TEST_F(StateFiles, WhatCouldNotBeUsedIsSetAsideBeforeTheFirstSave) {
    std::string bytes[] = {"damaged at first", "damaged again"};
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(storage::replace_file(path(), bytes[i]));
        StateFile file(path(), kKind);
        EXPECT_FALSE(file.load());
        EXPECT_EQ(content(path()), bytes[i]) << "nothing is touched until there is something to save";
        ASSERT_TRUE(save(file, "newer"));
        ASSERT_TRUE(save(file, "newest"));
    }
    EXPECT_EQ(content(path() + ".unusable.1"), bytes[0]);
    EXPECT_EQ(content(path() + ".unusable.2"), bytes[1]);
    EXPECT_EQ(*StateFile(path(), kKind).load(), "newest");
}

TEST_F(StateFiles, WithAllNamesTakenNothingIsOverwritten) {
    for (int i = 1; i <= storage::kMaxSetAside; ++i)
        ASSERT_TRUE(storage::replace_file(path() + ".unusable." + std::to_string(i), "kept"));
    ASSERT_TRUE(storage::replace_file(path(), "damaged"));
    StateFile file(path(), kKind);
    EXPECT_FALSE(file.load());
    EXPECT_EQ(save(file, "newer").error().code, ErrorCode::kResourceExhausted);
    EXPECT_EQ(content(path()), "damaged");
}

// Guards against a file that cannot be read being taken for none, and overwritten by the next save: each call
// of a start and a save fails in turn, in each way.
TEST_F(StateFiles, WhicheverCallFailsTheStateBeforeIsReadOrKept) {
    int points = 0;
    for (const int fault : kFaults) {
        for (int number = 1;; ++number) {
            clear();
            StateFile before(path(), kKind);
            ASSERT_TRUE(save(before, "the state before"));
            const std::string bytes = content(path());
            StateFile file(path(), kKind);
            Result<std::string> found;
            Status saved;
            const int calls = calls_with_fault(number, fault, [&] {
                found = file.load();
                saved = save(file, "the state after");
            });
            if (number > calls) break;
            ++points;
            const std::string at = "call " + std::to_string(number) + ", fault " + std::to_string(fault);
            if (found) {
                EXPECT_EQ(*found, "the state before") << at;
            } else {
                EXPECT_EQ(found.error().code, ErrorCode::kIo) << at << ": it is there";
                EXPECT_NE(found.error().message.find(path()), std::string::npos) << found.error().message;
                EXPECT_FALSE(file.problem().empty()) << at;
            }
            const bool is_kept = content(path()) == bytes || content(aside()) == bytes;
            EXPECT_TRUE(is_kept || (found && saved)) << at << ": gone unseen";
            if (!saved) {
                EXPECT_NE(saved.error().message.find(path()), std::string::npos) << saved.error().message;
                EXPECT_TRUE(save(file, "the state after")) << at << ": the next save succeeds";
            }
            const auto last = StateFile(path(), kKind).load();
            ASSERT_TRUE(last) << at;
            EXPECT_EQ(*last, "the state after") << at;
        }
    }
    EXPECT_GT(points, 20);
}

raft::Ready vote_for(raft::Term term, int voter, const std::string& entry) {
    raft::Ready ready;
    ready.hard = raft::HardState{};
    ready.hard->term = term;
    ready.hard->vote = voter;
    if (!entry.empty()) ready.append.push_back({1, term, entry});
    return ready;
}

// Guards against a voter that begins with an empty log and forgets its vote, since what it has cannot be
// read.
TEST_F(StateFiles, AVoterWhoseLogCannotBeReadDoesNotStart) {
    const raft::RaftLogStore::Settings settings{folder_ + "/voter", 1};
    {
        auto opened = raft::RaftLogStore::open(settings);
        ASSERT_TRUE(opened) << opened.error().message;
        ASSERT_TRUE(opened->store->write(vote_for(7, 2, "an entry")));
    }
    int points = 0, failures = 0;
    for (const int fault : kFaults) {
        for (int number = 1;; ++number) {
            const auto log = content(settings.directory + "/log");
            const int calls = calls_with_fault(number, fault, [&] {
                const auto opened = raft::RaftLogStore::open(settings);
                const std::string at = "call " + std::to_string(number) + ", fault " + std::to_string(fault);
                if (!opened) {
                    ++failures;
                    EXPECT_NE(opened.error().message.find(settings.directory), std::string::npos) << at;
                    return;
                }
                EXPECT_EQ(opened->state.hard.term, 7u) << at;
                EXPECT_EQ(opened->state.hard.vote, 2) << at;
                EXPECT_EQ(opened->state.entries.size(), 1u) << at;
            });
            EXPECT_EQ(content(settings.directory + "/log"), log) << "call " << number;
            if (number > calls) break;
            ++points;
        }
    }
    EXPECT_GT(points, 10);
    EXPECT_GT(failures, 10);
}

// What a voter was told is on disk is there at its next start, whichever call fails meanwhile.
TEST_F(StateFiles, AVoterNeverForgetsWhatItWasToldIsWritten) {
    int points = 0;
    for (const int fault : kFaults) {
        for (int number = 1;; ++number) {
            clear();
            const raft::RaftLogStore::Settings settings{folder_ + "/voter", 1};
            raft::Term promised = 0;
            const int calls = calls_with_fault(number, fault, [&] {
                auto opened = raft::RaftLogStore::open(settings);
                if (!opened) return;
                for (raft::Term term = 1; term <= 3; ++term) {
                    if (!opened->store->write(vote_for(term, 2, ""))) return;
                    promised = term;
                }
            });
            if (number > calls) break;
            ++points;
            const auto again = raft::RaftLogStore::open(settings);
            ASSERT_TRUE(again) << "call " << number << ", fault " << fault << ": " << again.error().message;
            EXPECT_GE(again->state.hard.term, promised) << "call " << number << ", fault " << fault;
        }
    }
    EXPECT_GT(points, 20);
}

// Guards against files that pile up beside a state, one for each process that ended amid a save.
TEST_F(StateFiles, WhatAProcessLeftAmidASaveIsRemovedByTheNextStart) {
    constexpr const char* kNobody = ".part.999999999";
    const std::string living = ".part." + std::to_string(getppid());
    for (const std::string& one : {std::string(kNobody), std::string(".part"), living})
        ASSERT_TRUE(storage::replace_file(path() + one, "a part"));
    EXPECT_FALSE(StateFile(path(), kKind).load());
    EXPECT_FALSE(std::filesystem::exists(path() + kNobody));
    EXPECT_FALSE(std::filesystem::exists(path() + ".part")) << "an earlier release named it so";
    EXPECT_TRUE(std::filesystem::exists(path() + living));
}

// Guards against two processes that keep one state, as in a hot restart, writing through one temporary file:
// what is read then is neither's.
TEST_F(StateFiles, TwoProcessesThatSaveAtOnceLeaveOneOfTheirStates) {
    constexpr int kSaves = 150;
    const std::string states[] = {std::string(300'000, 'a'), std::string(200'000, 'b')};
    ASSERT_TRUE(storage::replace_file(path(), states[0]));
    const pid_t other = fork();
    while (other == 0) static_cast<void>(storage::replace_file(path(), states[1]));  // until it is killed
    for (int i = 0; i < kSaves; ++i) {
        static_cast<void>(storage::replace_file(path(), states[0]));
        const std::string read = content(path());
        EXPECT_TRUE(read == states[0] || read == states[1]) << read.size() << " bytes";
    }
    kill(other, SIGKILL);
    waitpid(other, nullptr, 0);
    std::filesystem::remove(path() + ".part." + std::to_string(other));  // where it was amid a save
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(folder_), {}), 1) << "nothing else is left";
}

}  // namespace
}  // namespace linnetlead
