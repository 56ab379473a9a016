package ferrystream

import (
	"fmt"

	"cactusferry.dev/ferry/ferryid"
)

const assembleWindow = 256

// Token is one token of an answer with its offset.
type Token struct {
	Position ferryid.Position
	Epoch    ferryid.Epoch
	Text     string
}

// GapError says that a token lies too far beyond the first missing one to be kept.
type GapError struct {
	Missing  ferryid.Position
	Position ferryid.Position
}

func (e *GapError) Error() string {
	return fmt.Sprintf("token %d arrived while token %d is missing", e.Position, e.Missing)
}

// ConflictError says that two pieces claim the same offset with different texts.
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

// Assembler puts late, duplicated and out-of-order tokens in order; its zero value expects offset 0.
type Assembler struct {
	next       ferryid.Position
	ahead      int
	duplicates int
	window     [assembleWindow]piece
}

// NewAssembler returns an assembler that expects the offset first.
func NewAssembler(first ferryid.Position) *Assembler {
	return &Assembler{next: first}
}

// Next is the first offset not delivered yet.
func (a *Assembler) Next() ferryid.Position { return a.next }

// Ahead counts the tokens kept back behind a missing one.
func (a *Assembler) Ahead() int { return a.ahead }

// Duplicates counts the tokens that came again and were dropped.
func (a *Assembler) Duplicates() int { return a.duplicates }

// Add takes a token and appends those that are now in order, each offset once; it returns a *GapError or a *ConflictError for a token that can't be right.
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
	a.ahead++
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
		a.ahead--
	}
}
