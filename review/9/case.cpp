// SPDX-License-Identifier: MIT
#include "../slow-reader-2.h"

int main(int argc, char** argv) { return review::play({.memory_mb = 192, .bytes_per_s = 8e5}, argc, argv); }
