/**
 * @file
 * Fuzz targets: each file defines the function for one reader of bytes that come from outside. An
 * input that ends the process, or breaks what a target asserts, is a fault. `make fuzz` runs them
 * with libFuzzer and the sanitizers; the test fuzz_test replays the inputs in corpus/.
 */
#ifndef REGRESS_FUZZ_FUZZ_H
#define REGRESS_FUZZ_FUZZ_H

#include <stddef.h>
#include <stdint.h>

/** Reads one input; the name is libFuzzer's. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#endif
