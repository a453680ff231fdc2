"""Bar chart as SVG, by string formatting."""

import math

WIDTH = 640
BAR_HEIGHT = 18
LABEL_WIDTH = 150
COLOURS = ("#4b2e83", "#9a9a9a")


def render_bars(title: str, groups: dict[str, dict[str, float]]) -> str:
    """Returns a chart of horizontal bars, in one block per group.

    Args:
        title: Text above the chart.
        groups: Values by bar label by group; infinite ones fill the width.
    """
    values = [v for g in groups.values() for v in g.values()]
    largest_value = max((v for v in values if math.isfinite(v)), default=1.0)
    parts, y = [f'<text x="8" y="18" font-size="14">{title}</text>'], 30
    for group, entries in groups.items():
        y += 18
        parts.append(f'<text x="8" y="{y}" font-weight="bold">{group}</text>')
        y += 6
        for index, (label, value) in enumerate(entries.items()):
            share = (
                min(value / largest_value, 1.0) if math.isfinite(value) else 1.0
            )
            width = share * (WIDTH - LABEL_WIDTH - 90)
            colour = COLOURS[min(index, 1)]
            note = f"{value:.0f}" if math.isfinite(value) else "refusals"
            parts.append(
                f'<text x="8" y="{y + 13}">{label}</text>'
                f'<rect x="{LABEL_WIDTH}" y="{y}" width="{width:.1f}" '
                f'height="{BAR_HEIGHT - 3}" fill="{colour}"/>'
                f'<text x="{LABEL_WIDTH + width + 6:.1f}" y="{y + 13}">{note}</text>'
            )
            y += BAR_HEIGHT
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{y + 10}" font-family="sans-serif" font-size="12">\n'
        + "\n".join(parts)
        + "\n</svg>\n"
    )
