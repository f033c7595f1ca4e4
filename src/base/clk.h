/* Clock interface, so that code that depends on time can run on a simulated
 * clock. */
#ifndef CLK_H
#define CLK_H

#include <stdint.h>
#include <time.h>

/* `priv` is passed to both functions. */
struct clk {
	struct timespec (*mono)(void *priv);
	struct timespec (*wall)(void *priv);
	void *priv;
};

/* The clock of the operating system. */
extern const struct clk clk_system;

/* Monotonic time; the system clock includes time suspended. */
int64_t clk_mono_ms(const struct clk *clk);
int64_t clk_mono_us(const struct clk *clk);

/* Wall time in ms since 1970. It can be set back: don't use it for timeouts. */
int64_t clk_wall_ms(const struct clk *clk);

#endif
