/* Tests of callers' keys at VMs that run as real processes. */
#ifndef KEYS_TESTS_H
#define KEYS_TESTS_H

void keys_tests_add(void);

#endif
