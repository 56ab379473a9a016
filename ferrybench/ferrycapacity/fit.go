package ferrycapacity

// Line is a straight line through measured points.
type Line struct {
	// Base is the value at zero nodes, and Slope the increase per node.
	Base, Slope float64
}

// Fit returns the least-squares line through the values of the points that have the planned number of failure
// domains. If fewer than two points have it, all points are used.
func (ps Points) Fit(of func(Point) float64) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range ps.atPlannedDomains() {
		x, y := float64(p.Nodes), of(p)
		n++
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return Line{Base: sy / max(1, n)}
	}
	slope := (n*sxy - sx*sy) / d
	return Line{Base: (sy - slope*sx) / n, Slope: slope}
}

// At returns the line's value at a number of nodes.
func (l Line) At(nodes int) float64 {
	return l.Base + l.Slope*float64(nodes)
}

func (ps Points) atPlannedDomains() Points {
	var out Points
	for _, p := range ps {
		if domainCount(p.Nodes) == plannedDomains {
			out = append(out, p)
		}
	}
	if len(out) < 2 {
		return ps
	}
	return out
}
