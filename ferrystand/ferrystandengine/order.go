package ferrystandengine

import (
	"encoding/json"
	"net/http"

	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryid"
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o ferryengine.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.order.Fence && !e.faults.IgnoreFencing {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(struct{ Fence ferryid.Fence }{e.order.Fence})
		return
	}
	e.order = o
	e.layers = o.Layers
	e.leaving = o.State == ferryengine.StateLeaving
	w.WriteHeader(http.StatusNoContent)
}

// LastOrder returns the order in force.
func (e *Engine) LastOrder() ferryengine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order
}
