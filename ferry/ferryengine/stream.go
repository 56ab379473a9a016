package ferryengine

import (
	"errors"
	"io"
	"sync/atomic"
)

// Stream gives the items of one epoch.
type Stream interface {
	// Next waits for the next item; after an end or a failure it returns io.EOF, and a *DispatchError if the answer broke off.
	Next() (Item, error)
	// Close gives the connection up; the engine's work is stopped by Cancel.
	Close() error
}

type runStream struct {
	call    *call
	body    io.ReadCloser
	lines   *LineReader
	decoder ItemDecoder
	ended   atomic.Bool
}

// Next waits for the next item.
func (s *runStream) Next() (Item, error) {
	if s.ended.Load() {
		return Item{}, io.EOF
	}
	for {
		line, err := s.lines.Next()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Item{}, s.call.answered(err)
		}
		s.call.progress()
		if len(line) == 0 {
			continue
		}
		it, err := s.decoder.Decode(line)
		if err != nil {
			return Item{}, s.call.answered(err)
		}
		s.ended.Store(it.Done || it.Failed != nil)
		return it, nil
	}
}

// Close gives the connection up.
func (s *runStream) Close() error {
	if s.ended.Load() {
		// The rest of a finished answer is a few bytes; reading them lets the connection be used again.
		_, _ = io.CopyN(io.Discard, s.body, readBufferBytes)
	}
	err := s.body.Close()
	s.call.end()
	return err
}
