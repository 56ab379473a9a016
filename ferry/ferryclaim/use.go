package ferryclaim

import "time"

// ticketUse is the result of presenting a ticket to the incarnation that is authoritative for it.
type ticketUse uint8

const (
	useGranted ticketUse = iota
	useKnown             // used before; the operation is returned
	useExpired           // past its lifetime and never used
	usePurged            // past its retention, so it may have been used
	useClosed            // the table is closed
)

// issue returns a new ticket; it returns false if the table is closed.
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

// useTicket grants an unused ticket, or returns the operation of a used one.
func (t *table) useTicket(tk Ticket, body Digest, now time.Time) (ticketUse, op) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.ops[tk.Ref]; ok {
		return useKnown, *o
	}
	age := now.Sub(tk.issued())
	switch {
	case age >= ticketRetention:
		return usePurged, op{}
	case age >= TicketLifetime:
		return useExpired, op{}
	case t.closed:
		return useClosed, op{}
	}
	o := &op{
		Ref: tk.Ref, Body: body, Phase: phaseGranted, Start: now,
		Until: tk.issued().Add(ticketRetention), Ticket: true,
	}
	t.ops[o.Ref] = o
	return useGranted, *o
}
