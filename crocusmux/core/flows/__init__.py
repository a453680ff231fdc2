"""Who holds a terminated flow, and the cores of its balancer and agent."""
