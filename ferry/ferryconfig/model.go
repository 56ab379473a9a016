package ferryconfig

import "time"

const (
	bytesPerMegabyte = 1e6
	// contextUnit is the number of context tokens for which ContextTime is given, and pairUnit the number of
	// pairs of tokens for which PairTime is given.
	contextUnit = 1000
	pairUnit    = 1e6
)

// RequestMemory returns the memory that an accelerator has left beside a number of layers, in tokens times layers.
func (m *Model) RequestMemory(a Accelerator, layers int) int64 {
	free := float64(a.Memory) - float64(layers)*float64(m.LayerSize)
	perTokenLayer := float64(m.TokenBytes) / float64(m.Layers)
	if free <= 0 || perTokenLayer <= 0 {
		return 0
	}
	return int64(free * bytesPerMegabyte / perTokenLayer)
}

// TokenTime returns the time of one token through a number of layers of an accelerator that decodes the given
// number of requests with the usual context.
func (m *Model) TokenTime(a Accelerator, layers, running int) time.Duration {
	share := float64(layers) / float64(m.Layers)
	context := float64(m.ContextTime) * (m.UsualPrompt + m.UsualAnswer/2) / contextUnit
	step := float64(m.StepTime) + float64(running)*(float64(m.RequestTime)+context)
	return time.Duration(step * a.StepFactor * share)
}

// PrefillTime returns the time in which an accelerator reads the usual prompt through a number of layers.
func (m *Model) PrefillTime(a Accelerator, layers int) time.Duration {
	prompt := m.UsualPrompt
	read := float64(m.PairTime) * prompt * prompt / 2 / pairUnit
	if m.ReadRate > 0 {
		read += prompt / m.ReadRate * float64(time.Second)
	}
	return time.Duration(read * a.ReadFactor * float64(layers) / float64(m.Layers))
}
