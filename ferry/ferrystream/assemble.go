package ferrystream

import (
	"fmt"

	"cactusferry.dev/ferry/ferryid"
)

// assembleWindow is the number of positions, from the first missing one, for which tokens are buffered.
const assembleWindow = 256

// Token is one token of an answer with its position.
type Token struct {
	Position ferryid.Position
	Epoch    ferryid.Epoch
	Text     string
}

// GapError is returned for a token too far beyond the first missing one to be buffered.
type GapError struct {
	Missing  ferryid.Position
	Position ferryid.Position
}

func (e *GapError) Error() string {
	return fmt.Sprintf("token %d arrived while token %d is missing", e.Position, e.Missing)
}

// ConflictError is returned if two tokens have the same position but different texts.
type ConflictError struct {
	Position ferryid.Position
	Have     string
	Got      string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("token %d is %q and also %q", e.Position, e.Have, e.Got)
}

type piece struct {
	token Token
	have  bool
}

// Assembler orders late, duplicated and out-of-order tokens; its zero value starts at position 0.
type Assembler struct {
	next       ferryid.Position
	buffered   int
	duplicates int
	window     [assembleWindow]piece
}

// NewAssembler returns an assembler that starts at the position first.
func NewAssembler(first ferryid.Position) *Assembler {
	return &Assembler{next: first}
}

// Next returns the first position not yet delivered.
func (a *Assembler) Next() ferryid.Position { return a.next }

// Buffered returns the number of tokens buffered behind a missing one.
func (a *Assembler) Buffered() int { return a.buffered }

// Duplicates returns the number of repeated tokens that were dropped.
func (a *Assembler) Duplicates() int { return a.duplicates }

// Add accepts a token and appends to out the tokens now in order, each position once.
// It returns a *GapError or a *ConflictError for an invalid token.
func (a *Assembler) Add(t Token, out []Token) ([]Token, error) {
	if t.Position >= a.next+assembleWindow {
		return out, &GapError{Missing: a.next, Position: t.Position}
	}
	if t.Position+assembleWindow < a.next {
		a.duplicates++
		return out, nil
	}
	p := &a.window[t.Position%assembleWindow]
	if p.have && p.token.Position == t.Position {
		if p.token.Text != t.Text {
			return out, &ConflictError{Position: t.Position, Have: p.token.Text, Got: t.Text}
		}
		a.duplicates++
		return out, nil
	}
	if t.Position < a.next {
		a.duplicates++
		return out, nil
	}
	*p = piece{token: t, have: true}
	a.buffered++
	return a.release(out), nil
}

func (a *Assembler) release(out []Token) []Token {
	for {
		p := &a.window[a.next%assembleWindow]
		if !p.have || p.token.Position != a.next {
			return out
		}
		out = append(out, p.token)
		a.next++
		a.buffered--
	}
}
