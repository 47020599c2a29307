// Rows of docs/capacity/slopes.json, as its README says what they are.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace linnetlead::bench {

using nlohmann::json;

struct Measured {
    std::vector<double> sizes, values, errors;
    void add(double size, double value) {
        sizes.push_back(size);
        values.push_back(value);
    }
    // Of several seeds: the mean, and half of what they differ by.
    void add(double size, const std::vector<double>& over_seeds) {
        if (over_seeds.empty()) return;
        double sum = 0;
        for (const double one : over_seeds) sum += one;
        add(size, sum / static_cast<double>(over_seeds.size()));
        const auto [least, most] = std::minmax_element(over_seeds.begin(), over_seeds.end());
        errors.push_back((*most - *least) / 2);
    }
};

inline std::string machine() {
    std::ifstream cpu("/proc/cpuinfo"), memory("/proc/meminfo");
    std::string line, model = "unknown processor";
    while (std::getline(cpu, line)) {
        if (line.rfind("model name", 0) == 0) {
            model = line.substr(line.find(':') + 2);
            break;
        }
    }
    double kib = 0;
    while (std::getline(memory, line)) {
        if (line.rfind("MemTotal:", 0) == 0) kib = std::strtod(line.c_str() + 9, nullptr);
    }
    char text[160];
    std::snprintf(text, sizeof(text), "%u x %s, %.0f GiB", std::thread::hardware_concurrency(), model.c_str(),
                  kib / 1024 / 1024);
    return text;
}

inline std::string today() {
    const std::time_t now = std::time(nullptr);
    char text[16];
    std::strftime(text, sizeof(text), "%Y-%m-%d", std::gmtime(&now));
    return text;
}

class Rows {
public:
    explicit Rows(std::string command) : command_(std::move(command)) {}
    // `more`: budget, times, note, adds, and what else a row may have.
    void add(const std::string& id, const std::string& role, const std::string& kind, const std::string& what,
             const std::string& unit, const std::string& size, const std::string& shape, const Measured& of,
             const std::string& how, const std::string& seeds, json more = json::object()) {
        json row{{"id", id},
                 {"role", role},
                 {"what", what},
                 {"kind", kind},
                 {"unit", unit},
                 {"size", size},
                 {"shape", shape},
                 {"measured", "measured"},
                 {"run",
                  {{"command", command_},
                   {"machine", machine()},
                   {"date", today()},
                   {"how", how},
                   {"sizes", of.sizes},
                   {"seeds", seeds}}}};
        if (!of.sizes.empty()) {
            row["sizes"] = of.sizes;
            row["values"] = of.values;
            if (of.errors.size() == of.values.size()) row["errors"] = of.errors;
        }
        row.update(more);
        std::printf("%-28s", id.c_str());
        for (std::size_t i = 0; i < of.sizes.size(); ++i)
            std::printf("  %g: %.4g", of.sizes[i], of.values[i]);
        if (row.contains("holds_at")) std::printf("  holds at %g", row["holds_at"].get<double>());
        std::printf(" %s\n", unit.c_str());
        std::fflush(stdout);
        rows_.push_back(std::move(row));
    }
    void write(const std::string& path) const { std::ofstream(path) << rows_.dump(1) << '\n'; }

private:
    std::string command_;
    json rows_ = json::array();
};

}  // namespace linnetlead::bench
