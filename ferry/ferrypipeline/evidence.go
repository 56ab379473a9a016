package ferrypipeline

import (
	"fmt"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// evidence is what is known of whether any layer of a job ran.
type evidence struct {
	ran bool
	// maybe holds the epochs of which it is not known, and asked those whose first stage was asked and has not answered.
	maybe map[ferryid.Epoch]bool
	asked map[ferryid.Epoch]bool
}

// uncertain notes a cancelled epoch and what was known of it.
func (e *evidence) uncertain(epoch ferryid.Epoch, known ferryoutcome.Outcome) {
	if known == ferryoutcome.Ran {
		e.ran = true
		return
	}
	e.maybe[epoch] = true
	e.asked[epoch] = true
}

// settle takes the first stage's answer: if it never ran a layer, no later stage did.
func (e *evidence) settle(m CancelAnswered) {
	delete(e.asked, m.Epoch)
	if !m.Known {
		return
	}
	delete(e.maybe, m.Epoch)
	e.ran = e.ran || m.Ran
}

// outcome is what is known now, and whether it can become better known.
func (e *evidence) outcome() (known ferryoutcome.Outcome, final bool) {
	switch {
	case e.ran:
		return ferryoutcome.Ran, true
	case len(e.maybe) > 0:
		return ferryoutcome.Unknown, len(e.asked) == 0
	}
	return ferryoutcome.NotRun, true
}

// StageError says which stage of a pipeline failed.
type StageError struct {
	Failure ferryengine.Failure
}

func (e *StageError) Error() string {
	return fmt.Sprintf("stage %s: %s: %s", e.Failure.Stage, e.Failure.Kind, e.Failure.Detail)
}

// ReceiptError says that a token's receipts don't show each layer once and in order.
type ReceiptError struct {
	Index  int
	Detail string
}

func (e *ReceiptError) Error() string {
	return fmt.Sprintf("receipt %d: %s", e.Index, e.Detail)
}

// checkReceipts compares a token's receipts with the plan, which covers every layer once and in order.
func checkReceipts(stages []Stage, receipts []ferryengine.Receipt) error {
	if len(receipts) != len(stages) {
		return &ReceiptError{Index: len(receipts), Detail: fmt.Sprintf("there are %d stages", len(stages))}
	}
	for i, r := range receipts {
		if r.Stage != stages[i].Address || r.Layers != stages[i].Layers {
			return &ReceiptError{Index: i, Detail: fmt.Sprintf("%s %s in place of %s %s", r.Stage, r.Layers, stages[i].Address, stages[i].Layers)}
		}
	}
	return nil
}
