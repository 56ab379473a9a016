package ferryclaim

import (
	"encoding/base64"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryid"
)

const (
	ticketPurpose  = "ferryclaim ticket"
	maxTicketBytes = 1 << 10
)

// HeirRule is the rule for finding the entry that inherited a stopped incarnation's tickets.
type HeirRule uint8

// HeirRendezvous asks the first few live entries in the order of HeirOrder.
const HeirRendezvous HeirRule = 1

// Ticket is the permission to run one call once, at the incarnation that issued it or at its heir.
type Ticket struct {
	Ref      Ref                  `cbor:"1,keyasint"`
	Issued   int64                `cbor:"2,keyasint"` // Unix milliseconds
	Customer ferryid.CustomerName `cbor:"3,keyasint"`
	Service  ferryid.ServiceName  `cbor:"4,keyasint"`
	Heir     HeirRule             `cbor:"5,keyasint"`
}

func (t Ticket) issued() time.Time {
	return time.UnixMilli(t.Issued)
}

func (t Ticket) check() error {
	if t.Ref.By == "" || t.Ref.N == 0 {
		return merry.New("ticket without incarnation or serial number")
	}
	if t.Heir != HeirRendezvous {
		return merry.Errorf("ticket has unknown heir rule %d", t.Heir)
	}
	return nil
}

// Tickets seals and opens tickets.
type Tickets struct {
	seal *Seal
}

func (ts Tickets) encode(t Ticket) (string, error) {
	b, err := encMode.Marshal(t)
	if err != nil {
		return "", merry.Prepend(err, "encode ticket")
	}
	return encodeSealed(ts, b), nil
}

// Open returns the ticket encoded in the text, or an error if it is forged or damaged.
func (ts Tickets) Open(text string) (Ticket, error) {
	if len(text) > maxTicketBytes {
		return Ticket{}, merry.Errorf("ticket too long: %d bytes", len(text))
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Ticket{}, merry.Prepend(err, "ticket is not base64url")
	}
	plain, err := ts.seal.open(ticketPurpose, sealed)
	if err != nil {
		return Ticket{}, merry.Prepend(err, "open ticket")
	}
	var t Ticket
	if err := decMode.Unmarshal(plain, &t); err != nil {
		return Ticket{}, merry.Prepend(err, "decode ticket")
	}
	return t, t.check()
}

func encodeSealed(ts Tickets, plain []byte) string {
	return base64.RawURLEncoding.EncodeToString(ts.seal.seal(ticketPurpose, plain))
}
