/* Clocks of the operating system behind the clock interface. */
#include "base/clk.h"

static struct timespec sys_get(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts;
}

static struct timespec sys_mono(void *priv)
{
	(void)priv;
	/* Counts suspended time too: workers' leases expire meanwhile. */
	return sys_get(CLOCK_BOOTTIME);
}

static struct timespec sys_wall(void *priv)
{
	(void)priv;
	return sys_get(CLOCK_REALTIME);
}

const struct clk clk_system = { sys_mono, sys_wall, 0 };

int64_t clk_mono_us(const struct clk *clk)
{
	struct timespec ts = clk->mono(clk->priv);

	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t clk_mono_ms(const struct clk *clk)
{
	return clk_mono_us(clk) / 1000;
}

int64_t clk_wall_ms(const struct clk *clk)
{
	struct timespec ts = clk->wall(clk->priv);

	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
