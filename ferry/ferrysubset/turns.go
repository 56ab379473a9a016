package ferrysubset

// Turns lets engines be read one after another, some each second; it is for one goroutine at a time.
type Turns struct {
	next int
}

// Next appends to out the indices of those of n engines whose turn it is, at most as many as given.
func (t *Turns) Next(n, most int, out []int) []int {
	for range min(n, most) {
		out = append(out, t.next%n)
		t.next = (t.next + 1) % n
	}
	return out
}
