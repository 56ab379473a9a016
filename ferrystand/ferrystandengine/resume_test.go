package ferrystandengine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypipeline"
	"cactusferry.dev/ferry/ferrystream"
)

var errCut = errors.New("caller's connection cut by the test")

// entry answers one call as an entry does: it opens the last event ID, if any,
// and writes events until the connection is cut after a number of bytes.
func (f *fleet) entry(tb testing.TB, lastEventID string, cut int) (written []byte, err error) {
	tb.Helper()
	sealer, err := ferrystream.NewSealer(ferrystream.SealerConfig{Keys: [][]byte{bytes.Repeat([]byte("k"), 32)}})
	assert.NilError(tb, err)
	request := ferrystream.RequestDigest(cutPrompt, cutTokens, cutSeed)
	resume := ferrystream.Resume{Customer: "c", Service: "herd-llm", Stream: f.stream, Request: request, Seed: cutSeed}
	if lastEventID != "" {
		resume, err = sealer.Open(lastEventID, "c", "herd-llm", request)
		assert.NilError(tb, err)
	}
	// The history of the new resume tokens starts empty, since the answer is regenerated from its first token.
	fresh := resume
	fresh.Next, fresh.History = 0, 0
	ids, err := sealer.Stream(fresh)
	assert.NilError(tb, err)
	composer := ferrystream.NewComposer(ferrystream.ComposerConfig{ID: resume.Stream, Model: "herd-llm", Created: time.Unix(0, 0), Sealer: ids})
	filter := ferrystream.NewResumeFilter(resume)
	write := func(b []byte) error {
		room := cut - len(written)
		written = append(written, b[:min(room, len(b))]...)
		if room < len(b) {
			return errCut
		}
		return nil
	}
	job := f.job()
	job.Epoch = resume.Epoch
	res, err := f.runner.Run(context.Background(), job, func(t ferrypipeline.Token) error {
		needed, err := filter.Add(t)
		if err != nil || !needed {
			composer.Skip(t)
			return err
		}
		return write(composer.Token(nil, t))
	})
	f.runner.Wait()
	if err != nil {
		return written, err
	}
	assert.NilError(tb, filter.End())
	return written, write(composer.Done(nil, res.Reason))
}

// read parses the complete events, as an SSE client does, and returns
// the text, the last event ID and whether [DONE] was received.
func read(tb testing.TB, stream []byte) (text, lastID string, done bool) {
	tb.Helper()
	events := strings.Split(string(stream), "\n\n")
	for _, event := range events[:len(events)-1] {
		for line := range strings.Lines(event + "\n") {
			line = strings.TrimSuffix(line, "\n")
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				lastID = id
			}
			data, ok := strings.CutPrefix(line, "data: ")
			switch {
			case data == "[DONE]":
				done = true
			case ok:
				var chunk struct{ Choices []struct{ Text string } }
				assert.NilError(tb, json.Unmarshal([]byte(data), &chunk))
				text += chunk.Choices[0].Text
			}
		}
	}
	return text, lastID, done
}

// The connection to an entry breaks after any number of bytes and the caller resumes
// at another entry with its last event ID: the text must be complete and correct.
func TestEntryConnectionCutAtAnyByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := strings.Join(ferryenginetest.Reference(cutSeed, cutPrompt, cutTokens, testLayers), "")
		f := newFleet(t, clockwork.NewRealClock())
		all, err := f.entry(t, "", 1<<20)
		assert.NilError(t, err)
		f = newFleet(t, clockwork.NewRealClock())
		for cut := 0; cut < len(all); cut += 41 {
			// Engines keep the state of a stream, so each iteration needs a new one.
			f.stream = ferryid.StreamID(fmt.Sprint("s", cut))
			first, err := f.entry(t, "", cut)
			assert.Assert(t, err != nil)
			text, id, done := read(t, first)
			assert.Assert(t, !done)
			second, err := f.entry(t, id, 1<<20)
			assert.NilError(t, err, "cut after %d bytes", cut)
			rest, _, done := read(t, second)
			assert.Assert(t, done)
			assert.Equal(t, text+rest, want, "cut after %d bytes", cut)
		}
	})
}

// Every connection is cut after one event; the caller must
// still receive the complete text, one token per connection.
func TestCallerResumesAfterEachEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = 600
		f := newFleet(t, clockwork.NewRealClock())
		text, id, complete := "", "", false
		for range 2 * cutTokens {
			stream, _ := f.entry(t, id, room)
			more, next, done := read(t, stream)
			text += more
			if next != "" {
				id = next
			}
			if complete = done; complete {
				break
			}
		}
		assert.Assert(t, complete)
		assert.Equal(t, text, strings.Join(ferryenginetest.Reference(cutSeed, cutPrompt, cutTokens, testLayers), ""))
	})
}
