"""Intervals at which a balancer asks agents for load reports.

Nearly all new flows stay in the balancer's failure domain, so the agents there
report more often once the fleet is too large for all to report at the shortest
interval.
"""

MIN_INTERVAL_S = 0.25
# 80 reports take about 7 KB a second.
MAX_REPORTS_PER_S = 80
# Share of the reports that agents of the balancer's failure domain may take.
LOCAL_SHARE = 0.6


def report_intervals_s(local: int, remote: int) -> tuple[float, float]:
    """Returns the report intervals, in seconds, of local and remote agents.

    Args:
        local: Number of agents in the balancer's failure domain.
        remote: Number of all other agents.
    """
    spare = MAX_REPORTS_PER_S - remote / MIN_INTERVAL_S
    local_rate = max(LOCAL_SHARE * MAX_REPORTS_PER_S, spare)
    local_s = max(MIN_INTERVAL_S, local / local_rate)
    remote_rate = MAX_REPORTS_PER_S - local / local_s
    return local_s, max(MIN_INTERVAL_S, remote / remote_rate if remote else 0)
