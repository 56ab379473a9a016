package ferrypipeline

import (
	"fmt"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
)

// evidence tracks whether any layer of a job ran.
type evidence struct {
	ran bool
	// unknownEpochs holds the epochs of which it is unknown whether a layer ran. pendingCancels holds the epochs
	// whose first stage was sent a cancel and has not answered.
	unknownEpochs  map[ferryid.Epoch]bool
	pendingCancels map[ferryid.Epoch]bool
}

// addCancelled adds a cancelled epoch with its outcome so far.
func (e *evidence) addCancelled(epoch ferryid.Epoch, known ferryoutcome.Outcome) {
	if known == ferryoutcome.Ran {
		e.ran = true
		return
	}
	e.unknownEpochs[epoch] = true
	e.pendingCancels[epoch] = true
}

// recordAnswer records the first stage's answer to a cancel; if that stage ran no layer, no later stage did.
func (e *evidence) recordAnswer(m CancelAnswered) {
	delete(e.pendingCancels, m.Epoch)
	if !m.Known {
		return
	}
	delete(e.unknownEpochs, m.Epoch)
	e.ran = e.ran || m.Ran
}

// outcome returns the outcome known so far; final is false while an outstanding answer can still change it.
func (e *evidence) outcome() (known ferryoutcome.Outcome, final bool) {
	switch {
	case e.ran:
		return ferryoutcome.Ran, true
	case len(e.unknownEpochs) > 0:
		return ferryoutcome.Unknown, len(e.pendingCancels) == 0
	}
	return ferryoutcome.NotRun, true
}

// StageError reports the failure of one stage of a pipeline.
type StageError struct {
	Failure ferryengine.Failure
}

func (e *StageError) Error() string {
	return fmt.Sprintf("stage %s: %s: %s", e.Failure.Stage, e.Failure.Kind, e.Failure.Detail)
}

// ReceiptError reports a token whose receipts do not match the stages of the plan.
type ReceiptError struct {
	Index  int
	Detail string
}

func (e *ReceiptError) Error() string {
	return fmt.Sprintf("receipt %d: %s", e.Index, e.Detail)
}

// checkReceipts returns a *ReceiptError unless a token has exactly one receipt per stage, in order.
func checkReceipts(stages []Stage, receipts []ferryengine.Receipt) error {
	if len(receipts) != len(stages) {
		return &ReceiptError{Index: len(receipts), Detail: fmt.Sprintf("receipt count mismatch, want one for each of %d stages", len(stages))}
	}
	for i, r := range receipts {
		if r.Stage != stages[i].Address || r.Layers != stages[i].Layers {
			return &ReceiptError{Index: i, Detail: fmt.Sprintf("got %s %s, want %s %s", r.Stage, r.Layers, stages[i].Address, stages[i].Layers)}
		}
	}
	return nil
}
