// Tests of state that a process reads back at its next start. A missing file is distinguished from an
// unreadable one, and an unusable file is never overwritten unnoticed, whichever file operation fails and in
// whatever way.
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

// Creates a temporary directory; removes it and the injected faults at the end.
class StateFiles : public testing::Test {
protected:
    StateFiles() : directory_(test_support::temporary_path("state")) {
        std::filesystem::create_directory(directory_);
    }
    ~StateFiles() override {
        storage::inject_file_faults(nullptr);
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
    std::string path() const { return directory_ + "/state"; }
    std::string set_aside_path() const { return path() + ".unusable.1"; }
    static std::string content(const std::string& path) {
        std::ifstream file(path, std::ios::binary);
        return std::string((std::istreambuf_iterator<char>(file)), {});
    }
    void clear() {
        std::filesystem::remove_all(directory_);
        std::filesystem::create_directory(directory_);
    }
    static Status save(StateFile& file, const std::string& state) {
        const Status result = file.writer(state)();
        file.written(result);
        return result;
    }
    // Runs `act` with the fault in the file operation of this number (0: in none). Returns the number of
    // operations.
    template <typename Act>
    static int run_with_fault(int number, int fault, Act act) {
        int calls = 0;
        storage::inject_file_faults([&](FileCall) { return ++calls == number ? fault : 0; });
        act();
        storage::inject_file_faults(nullptr);
        return calls;
    }

    const std::string directory_;
};

TEST_F(StateFiles, DistinguishesAbsentUnreadableAndDamagedFiles) {
    StateFile absent(path(), kKind);
    EXPECT_EQ(absent.load().error().code, ErrorCode::kNotFound);
    EXPECT_EQ(absent.problem(), "");
    ASSERT_TRUE(save(absent, "state"));
    EXPECT_EQ(*StateFile(path(), kKind).load(), "state");
    EXPECT_FALSE(std::filesystem::exists(set_aside_path()));

    StateFile other(path(), "linnetlead-test 2");
    EXPECT_EQ(other.load().error().code, ErrorCode::kInvalidArgument);
    EXPECT_NE(other.problem().find(path()), std::string::npos) << other.problem();

    ASSERT_TRUE(storage::replace_file(path(), "damaged"));
    StateFile damaged(path(), kKind);
    EXPECT_FALSE(damaged.load());
    EXPECT_NE(damaged.problem().find(path()), std::string::npos) << damaged.problem();

    // A directory cannot be read as a file, even by root.
    unlink(path().c_str());
    std::filesystem::create_directory(path());
    StateFile unreadable(path(), kKind);
    EXPECT_EQ(unreadable.load().error().code, ErrorCode::kIo);
    EXPECT_NE(unreadable.problem().find("Is a directory"), std::string::npos) << unreadable.problem();
}

TEST_F(StateFiles, SetsAnUnusableFileAsideBeforeTheFirstSave) {
    std::string bytes[] = {"damaged at first", "damaged again"};
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(storage::replace_file(path(), bytes[i]));
        StateFile file(path(), kKind);
        EXPECT_FALSE(file.load());
        EXPECT_EQ(content(path()), bytes[i]) << "the file is unchanged until the first save";
        ASSERT_TRUE(save(file, "newer"));
        ASSERT_TRUE(save(file, "newest"));
    }
    EXPECT_EQ(content(path() + ".unusable.1"), bytes[0]);
    EXPECT_EQ(content(path() + ".unusable.2"), bytes[1]);
    EXPECT_EQ(*StateFile(path(), kKind).load(), "newest");
}

TEST_F(StateFiles, OverwritesNothingIfAllSetAsideNamesAreTaken) {
    for (int i = 1; i <= storage::kMaxSetAside; ++i)
        ASSERT_TRUE(storage::replace_file(path() + ".unusable." + std::to_string(i), "kept"));
    ASSERT_TRUE(storage::replace_file(path(), "damaged"));
    StateFile file(path(), kKind);
    EXPECT_FALSE(file.load());
    EXPECT_EQ(save(file, "newer").error().code, ErrorCode::kResourceExhausted);
    EXPECT_EQ(content(path()), "damaged");
}

// Guards against treating an unreadable file as missing and overwriting it with the next save. Each file
// operation of a start and a save fails in turn, with each fault.
TEST_F(StateFiles, ReadsOrKeepsThePreviousStateWhicheverOperationFails) {
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
            const int calls = run_with_fault(number, fault, [&] {
                found = file.load();
                saved = save(file, "the state after");
            });
            if (number > calls) break;
            ++points;
            const std::string at = "operation " + std::to_string(number) + ", fault " + std::to_string(fault);
            if (found) {
                EXPECT_EQ(*found, "the state before") << at;
            } else {
                EXPECT_EQ(found.error().code, ErrorCode::kIo) << at << ": the file exists";
                EXPECT_NE(found.error().message.find(path()), std::string::npos) << found.error().message;
                EXPECT_FALSE(file.problem().empty()) << at;
            }
            const bool is_kept = content(path()) == bytes || content(set_aside_path()) == bytes;
            EXPECT_TRUE(is_kept || (found && saved)) << at << ": lost unnoticed";
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

// Guards against a voter that starts with an empty log, and so without its vote, because its log is
// unreadable.
TEST_F(StateFiles, AVoterWithAnUnreadableLogDoesNotStart) {
    const raft::RaftLogStore::Settings settings{directory_ + "/voter", 1};
    {
        auto opened = raft::RaftLogStore::open(settings);
        ASSERT_TRUE(opened) << opened.error().message;
        ASSERT_TRUE(opened->store->write(vote_for(7, 2, "an entry")));
    }
    int points = 0, failures = 0;
    for (const int fault : kFaults) {
        for (int number = 1;; ++number) {
            const auto log = content(settings.directory + "/log");
            const int calls = run_with_fault(number, fault, [&] {
                const auto opened = raft::RaftLogStore::open(settings);
                const std::string at =
                    "operation " + std::to_string(number) + ", fault " + std::to_string(fault);
                if (!opened) {
                    ++failures;
                    EXPECT_NE(opened.error().message.find(settings.directory), std::string::npos) << at;
                    return;
                }
                EXPECT_EQ(opened->state.hard.term, 7u) << at;
                EXPECT_EQ(opened->state.hard.vote, 2) << at;
                EXPECT_EQ(opened->state.entries.size(), 1u) << at;
            });
            EXPECT_EQ(content(settings.directory + "/log"), log) << "operation " << number;
            if (number > calls) break;
            ++points;
        }
    }
    EXPECT_GT(points, 10);
    EXPECT_GT(failures, 10);
}

// Guards against losing a write that was reported as successful, whichever file operation fails.
TEST_F(StateFiles, AVoterKeepsEveryTermThatWasReportedWritten) {
    int points = 0;
    for (const int fault : kFaults) {
        for (int number = 1;; ++number) {
            clear();
            const raft::RaftLogStore::Settings settings{directory_ + "/voter", 1};
            raft::Term reported_written = 0;
            const int calls = run_with_fault(number, fault, [&] {
                auto opened = raft::RaftLogStore::open(settings);
                if (!opened) return;
                for (raft::Term term = 1; term <= 3; ++term) {
                    if (!opened->store->write(vote_for(term, 2, ""))) return;
                    reported_written = term;
                }
            });
            if (number > calls) break;
            ++points;
            const auto again = raft::RaftLogStore::open(settings);
            ASSERT_TRUE(again) << "operation " << number << ", fault " << fault << ": "
                               << again.error().message;
            EXPECT_GE(again->state.hard.term, reported_written)
                << "operation " << number << ", fault " << fault;
        }
    }
    EXPECT_GT(points, 20);
}

// Guards against an accumulation of temporary files, one for each process that ended during a save.
TEST_F(StateFiles, RemovesTemporaryFilesOfEndedProcessesAtTheNextStart) {
    constexpr const char* kEndedProcess = ".part.999999999";
    const std::string running_process = ".part." + std::to_string(getppid());
    for (const std::string& one : {std::string(kEndedProcess), std::string(".part"), running_process})
        ASSERT_TRUE(storage::replace_file(path() + one, "a part"));
    EXPECT_FALSE(StateFile(path(), kKind).load());
    EXPECT_FALSE(std::filesystem::exists(path() + kEndedProcess));
    EXPECT_FALSE(std::filesystem::exists(path() + ".part")) << "the name that an earlier release used";
    EXPECT_TRUE(std::filesystem::exists(path() + running_process));
}

// Guards against a mixed file: two processes with the same state file, as in a hot restart, must not write
// through the same temporary file.
TEST_F(StateFiles, ConcurrentSavesOfTwoProcessesLeaveOneWholeState) {
    constexpr int kSaves = 150;
    const std::string states[] = {std::string(300'000, 'a'), std::string(200'000, 'b')};
    ASSERT_TRUE(storage::replace_file(path(), states[0]));
    const pid_t other = fork();
    while (other == 0) static_cast<void>(storage::replace_file(path(), states[1]));  // until killed
    for (int i = 0; i < kSaves; ++i) {
        static_cast<void>(storage::replace_file(path(), states[0]));
        const std::string read = content(path());
        EXPECT_TRUE(read == states[0] || read == states[1]) << read.size() << " bytes";
    }
    kill(other, SIGKILL);
    waitpid(other, nullptr, 0);
    std::filesystem::remove(path() + ".part." + std::to_string(other));  // if it was killed during a save
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(directory_), {}), 1)
        << "no other file is left";
}

}  // namespace
}  // namespace linnetlead
