#include <iostream>

#include "link.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return topazcrank::benchlink::run(std::cin, std::cout, std::cerr);
}
