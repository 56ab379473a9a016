package ferrycapacity

// Line is a straight line through measured points.
type Line struct {
	// Base is the value at no nodes, and Slope what each node adds.
	Base, Slope float64
}

// Fit returns the line of least squares through what of gives for each point with as many failure domains as are planned for, or for all points if fewer than two have.
func (ps Points) Fit(of func(Point) float64) Line {
	var n, sx, sy, sxx, sxy float64
	for _, p := range ps.alike() {
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

func (ps Points) alike() Points {
	var out Points
	for _, p := range ps {
		if domainsOf(p.Nodes) == domains {
			out = append(out, p)
		}
	}
	if len(out) < 2 {
		return ps
	}
	return out
}
