package ferryengine

import (
	"errors"
	"io"
	"sync/atomic"
)

// Stream receives the items of one epoch.
type Stream interface {
	// Next waits for the next item. It returns io.EOF after an end or a failure, and a *DispatchError if the
	// answer is cut short or invalid.
	Next() (Item, error)
	// Close closes the stream; it does not stop the engine's work, which Client.Cancel does.
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
			return Item{}, s.call.answerError(err)
		}
		s.call.resetTimeout()
		if len(line) == 0 {
			continue
		}
		it, err := s.decoder.Decode(line)
		if err != nil {
			return Item{}, s.call.answerError(err)
		}
		s.ended.Store(it.Done || it.Failed != nil)
		return it, nil
	}
}

// Close closes the stream.
func (s *runStream) Close() error {
	if s.ended.Load() {
		// Reading the few remaining bytes of a finished answer lets the transport reuse the connection.
		_, _ = io.CopyN(io.Discard, s.body, readBufferBytes)
	}
	err := s.body.Close()
	s.call.finish()
	return err
}
