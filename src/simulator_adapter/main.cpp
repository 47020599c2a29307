#include <iostream>

#include "simulator_adapter/simulator_link.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return linnetlead::simulator_adapter::run(std::cin, std::cout, std::cerr);
}
