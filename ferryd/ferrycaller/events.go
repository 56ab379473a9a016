package ferrycaller

import (
	"errors"
	"net/http"

	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferrystream"
)

const (
	// maxWriteBytes is the size of buffered events at which they are sent.
	maxWriteBytes = 32 << 10
	// eventBytes is the initial capacity of the event buffer.
	eventBytes      = 512
	eventStreamType = "text/event-stream; charset=utf-8"
)

// eventWriter writes the server-sent events of one answer.
type eventWriter struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	server   *Server
	composer *ferrystream.Composer
	resume   *ferrystream.ResumeFilter
	metrics  *streamMetrics
	buf      []byte
	// pendingTokens is the number of tokens in buf.
	pendingTokens int
	id            string
	started       bool
}

func (st *stream) newWriter(w http.ResponseWriter, format ferrystream.Format) (*eventWriter, error) {
	s := st.server
	resume := ferrystream.Resume{
		Customer: st.job.Customer, Service: st.job.Service, Stream: st.job.Stream,
		Request: ferrystream.RequestDigest(st.job.Prompt, st.job.MaxTokens, st.job.Seed), Seed: st.job.Seed,
		Epoch: st.job.Epoch + 1,
	}
	sealer, err := s.Sealer.Stream(resume)
	if err != nil {
		return nil, err
	}
	out := &eventWriter{w: w, control: http.NewResponseController(w), server: s, metrics: st.metrics, id: string(st.job.Stream), buf: make([]byte, 0, eventBytes)}
	out.composer = ferrystream.NewComposer(ferrystream.ComposerConfig{
		Format: format, ID: st.job.Stream, Model: st.job.Service, Created: s.Clock.Now(), Sealer: sealer,
	})
	if st.resume != nil {
		out.resume = ferrystream.NewResumeFilter(*st.resume)
	}
	return out, nil
}

// tokens writes a token and those already buffered behind it.
func (e *eventWriter) tokens(t ferrypipeline.Token, more <-chan ferrypipeline.Token) error {
	for {
		if err := e.token(t); err != nil {
			return err
		}
		if len(e.buf) >= maxWriteBytes {
			return e.flush()
		}
		select {
		case next, ok := <-more:
			if !ok {
				return e.flush()
			}
			t = next
		default:
			return e.flush()
		}
	}
}

// token appends one token to the buffer, unless a resumed caller already has it.
func (e *eventWriter) token(t ferrypipeline.Token) error {
	if e.resume != nil {
		needed, err := e.resume.Add(t)
		if err != nil {
			return resumeMismatch(err)
		}
		if !needed {
			e.composer.Skip(t)
			return nil
		}
	}
	e.start()
	e.buf = e.composer.Token(e.buf, t)
	e.pendingTokens++
	return nil
}

// start sets the response header and begins the stream, before the first event.
func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", eventStreamType)
	h.Set("Cache-Control", "no-store")
	h.Set(StreamHeader, e.id)
	e.buf = e.composer.Start(e.buf)
}

func (e *eventWriter) heartbeat() error {
	if !e.started {
		return nil
	}
	e.buf = e.composer.Heartbeat(e.buf)
	return e.flush()
}

func (e *eventWriter) done(reason string) error {
	if e.resume != nil {
		if err := e.resume.End(); err != nil {
			return resumeMismatch(err)
		}
	}
	e.start()
	e.buf = e.composer.Done(e.buf, reason)
	return e.flush()
}

func (e *eventWriter) failed(p *ferryoutcome.Problem) error {
	e.buf = e.composer.Failed(e.buf[:0], p)
	return e.flush()
}

// flush sends the buffered events; it fails if the caller does not read them within the write timeout.
func (e *eventWriter) flush() error {
	if len(e.buf) == 0 {
		return nil
	}
	now := e.server.Clock.Now()
	_ = e.control.SetWriteDeadline(now.Add(e.server.Limits.WriteTimeout))
	if e.pendingTokens > 0 {
		e.metrics.recordTokens(e.pendingTokens, now)
		e.pendingTokens = 0
	}
	_, err := e.w.Write(e.buf)
	e.buf = e.buf[:0]
	if err == nil {
		err = e.control.Flush()
	}
	if err != nil {
		return writeFailed(err)
	}
	return nil
}

func writeFailed(err error) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindTimeout, ferryoutcome.Ran, "The caller did not take the answer in time.").WithCause(err)
}

func resumeMismatch(err error) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindConflict, ferryoutcome.Ran,
		"The answer can't be continued with the same text; send the request again without %s.", EventIDHeader).WithCause(err)
}

// asProblem returns the problem that err carries, or an internal one caused by err.
func asProblem(err error) *ferryoutcome.Problem {
	var p *ferryoutcome.Problem
	if errors.As(err, &p) {
		return p
	}
	return ferryoutcome.New(ferryoutcome.KindInternal, ferryoutcome.Unknown, "The call failed inside the router.").WithCause(err)
}
