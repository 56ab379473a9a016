package ferryclaim

import "time"

// use is what comes of presenting a ticket to the incarnation that answers for it.
type use uint8

const (
	useGranted   use = iota
	useKnown         // the operation is returned
	useOld           // too old, and certainly never used
	useForgotten     // so old that it may have been used
	useClosed        // this incarnation takes no more
)

// issue makes the next ticket of this incarnation.
func (t *table) issue(c Call, now time.Time) (Ticket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return Ticket{}, false
	}
	return Ticket{
		Ref: t.nextRef(), Issued: now.UnixMilli(),
		Customer: c.Customer, Service: c.Service, Heir: HeirRendezvous,
	}, true
}

// useTicket grants an unused ticket, or returns what became of a used one.
func (t *table) useTicket(tk Ticket, body Digest, now time.Time) (use, op) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.ops[tk.Ref]; ok {
		return useKnown, *o
	}
	age := now.Sub(tk.issued())
	switch {
	case age >= ticketMemory:
		return useForgotten, op{}
	case age >= TicketLifetime:
		return useOld, op{}
	case t.closed:
		return useClosed, op{}
	}
	o := &op{
		Ref: tk.Ref, Body: body, Phase: phaseGranted, Start: now,
		Until: tk.issued().Add(ticketMemory), Ticket: true,
	}
	t.ops[o.Ref] = o
	return useGranted, *o
}
