package ferrysubset

// Rotation selects the engines to read next, in round-robin order. It is not safe for concurrent use.
type Rotation struct {
	next int
}

// Next appends to out the indices of the next engines in the rotation, at most the
// given number of the n engines.
func (r *Rotation) Next(n, most int, out []int) []int {
	for range min(n, most) {
		out = append(out, r.next%n)
		r.next = (r.next + 1) % n
	}
	return out
}
