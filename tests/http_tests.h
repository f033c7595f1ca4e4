/* Tests of the transport, part of fleet-tests: the unit tests link one of
 * their own in its place. */
#ifndef HTTP_TESTS_H
#define HTTP_TESTS_H

void http_tests_add(void);
void server_tests_add(void);
void link_tests_add(void);

#endif
