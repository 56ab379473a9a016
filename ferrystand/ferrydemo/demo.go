package ferrydemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryplain"
	"cactusferry.dev/ferrystand/ferryprocess"
)

const (
	demoTimeout = 55 * time.Second
	demoEngines = 6
	demoEntries = 3
	demoPrompt  = "Why did the yield of cow 417 drop last night?"
	demoTokens  = 24
	demoSeed    = 7
)

// Demo is one run of the demo; it writes a transcript of its steps to Out.
type Demo struct {
	Out   io.Writer
	fleet *Fleet
	dir   string
}

// Run starts all processes, uses them as callers and operators do, and stops
// them. It returns an error if a step does not have the expected result.
func (d *Demo) Run(ctx context.Context, programs string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d.fleet, err = New(Config{Dir: programs, Engines: demoEngines, Entries: demoEntries})
	if err != nil {
		return err
	}
	defer d.fleet.KillAll()
	d.dir, err = os.MkdirTemp("", "cactusferry-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(d.dir)
	steps := []struct {
		title string
		run   func(ctx context.Context) error
	}{
		{"start a platform, six engines, one plain service and three ferryd", d.start},
		{"apply the two service documents", d.applyDocuments},
		{"stream a completion", d.stream},
		{"send an idempotent read", d.read},
		{"send a non-idempotent change with the same key to every entry", d.change},
		{"change a service document", d.reconfigure},
		{"show the time line of all processes", d.timeline},
		{"stop every process gracefully", d.stop},
	}
	for i, s := range steps {
		fmt.Fprintf(d.Out, "\n== %d. %s\n", i+1, s.title)
		if err := s.run(ctx); err != nil {
			return merry.Prepend(err, s.title)
		}
	}
	fmt.Fprintln(d.Out, "\ndemo: every step had the expected result")
	return nil
}

func (d *Demo) start(ctx context.Context) error {
	if err := d.fleet.StartUpstreams(ctx); err != nil {
		return err
	}
	for _, e := range d.fleet.Entries {
		began := time.Now()
		if err := d.fleet.StartEntry(ctx, e); err != nil {
			return err
		}
		fmt.Fprintf(d.Out, "%s in %s ready after %s\n", e.Name, e.Domain, time.Since(began).Round(time.Millisecond))
	}
	return d.fleet.WaitMembers(ctx)
}

func (d *Demo) applyDocuments(ctx context.Context) error {
	for name, text := range map[string]string{ModelService: d.fleet.ModelDocument(128), PlainService: d.fleet.PlainDocument()} {
		file := filepath.Join(d.dir, name+".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		out, err := d.fleet.Ctl(ctx, "apply", file, "--base", "0", "--operator", Operator)
		fmt.Fprint(d.Out, out)
		if err != nil {
			return err
		}
	}
	for _, service := range []string{ModelService, PlainService} {
		if err := d.fleet.WaitInForce(ctx, service, 1); err != nil {
			return err
		}
	}
	return nil
}

// WaitInForce waits until a generation of a service's document,
// or a later one, is in force at every running entry.
func (f *Fleet) WaitInForce(ctx context.Context, service string, generation int) error {
	for _, e := range f.Entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			return f.inForce(ctx, e, service, generation)
		})
		if err != nil {
			return merry.Prepend(err, e.Name)
		}
	}
	return nil
}

func (f *Fleet) inForce(ctx context.Context, e *Entry, service string, generation int) error {
	s, err := f.Status(ctx, e)
	if err != nil {
		return err
	}
	for _, doc := range s.Documents {
		if doc.Service == service && doc.Generation >= generation {
			return nil
		}
	}
	return fmt.Errorf("document not in force: expected generation %d of %s or later", generation, service)
}

// WaitMembers waits until every entry lists all entries as members and has at least one link.
func (f *Fleet) WaitMembers(ctx context.Context) error {
	for _, e := range f.Entries {
		err := ferryprocess.Poll(ctx, func(ctx context.Context) error {
			s, err := f.Status(ctx, e)
			if err == nil && (len(s.Entries) < len(f.Entries) || len(s.Peers) == 0) {
				err = fmt.Errorf("%s lists %d of %d entries and has %d links", e.Name, len(s.Entries), len(f.Entries), len(s.Peers))
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Status is the part of an entry's status that the demo and the cases of ferryproof read.
type Status struct {
	Entry       string
	Incarnation string
	State       string
	OpenStreams int
	OpenCalls   int
	Peers       []string
	Entries     []struct {
		Name   string
		State  string
		Status string
	}
	Documents []struct {
		Service    string
		Generation int
		Hash       string
	}
	Services []struct {
		Service   string
		Upstreams []struct {
			Name  string
			State string
		}
	}
}

// Status requests the status of one entry.
func (f *Fleet) Status(ctx context.Context, e *Entry) (Status, error) {
	var s Status
	return s, f.admin(ctx, e, "/admin/status", &s)
}

// Events requests one entry's events of the time line.
func (f *Fleet) Events(ctx context.Context, e *Entry) (ferryevent.Events, error) {
	var out ferryevent.Events
	return out, f.admin(ctx, e, "/admin/events", &out)
}

// admin decodes the answer of a GET request to the operator interface of one entry.
func (f *Fleet) admin(ctx context.Context, e *Entry, path string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.scheme()+e.PeerAddress+path, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	w, err := f.HTTP().Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	return json.NewDecoder(w.Body).Decode(v)
}

// requestEntry requests the entry list of a service, as
// a caller does, and returns a client of the first entry.
func (d *Demo) requestEntry(ctx context.Context, service string) (Caller, error) {
	c := Caller{Entry: d.fleet.Entries[0].CallerAddress, Key: CustomerKey}
	status, _, body, err := c.Do(ctx, http.MethodGet, "/v1/entries?service="+service, "", nil)
	if err != nil {
		return c, err
	}
	var answer struct {
		Entries []struct{ Name, Address string }
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil || status != http.StatusOK || len(answer.Entries) == 0 {
		return c, fmt.Errorf("request entry list: status %d: %s", status, body)
	}
	fmt.Fprintf(d.Out, "use entry %s at %s\n", answer.Entries[0].Name, answer.Entries[0].Address)
	c.Entry = answer.Entries[0].Address
	return c, nil
}

// CompletionBody returns the JSON body of a streamed completion request.
func CompletionBody(prompt string, tokens int, seed uint64) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"seed":%d,"stream":true}`, ModelService, prompt, tokens, seed)
}

func (d *Demo) stream(ctx context.Context) error {
	c, err := d.requestEntry(ctx, ModelService)
	if err != nil {
		return err
	}
	var text strings.Builder
	err = c.Stream(ctx, CompletionBody(demoPrompt, demoTokens, demoSeed), "", func(p Chunk) {
		text.WriteString(p.Text)
		fmt.Fprint(d.Out, p.Text)
	})
	fmt.Fprintln(d.Out)
	if err != nil {
		return err
	}
	want := strings.Join(ferryenginetest.Reference(demoSeed, demoPrompt, demoTokens, Layers), "")
	if text.String() != want {
		return fmt.Errorf("completion: expected text %q, got %q", want, text.String())
	}
	fmt.Fprintln(d.Out, "the text equals the model's reference output")
	return nil
}

func (d *Demo) read(ctx context.Context) error {
	c, err := d.requestEntry(ctx, PlainService)
	if err != nil {
		return err
	}
	status, _, body, err := c.Do(ctx, http.MethodGet, "/v1/services/"+PlainService+"/teat-cups/417", "", nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "%d %s\n", status, strings.TrimSpace(body))
	if status != http.StatusOK {
		return fmt.Errorf("read teat-cup status: expected status 200, got %d", status)
	}
	return nil
}

func (d *Demo) change(ctx context.Context) error {
	const path = "/v1/services/" + PlainService + "/rations/417"
	header := http.Header{ferryplain.IdempotencyKeyHeader: {"ration-417-friday"}}
	for _, e := range d.fleet.Entries {
		c := Caller{Entry: e.CallerAddress, Key: CustomerKey}
		status, _, body, err := c.Do(ctx, http.MethodPost, path, `{"Kilograms":2}`, header)
		if err != nil {
			return err
		}
		fmt.Fprintf(d.Out, "at %s: %d %s\n", e.Name, status, strings.TrimSpace(body))
	}
	n, err := d.fleet.PlainRuns(ctx, "ration-417-friday")
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "the plain service ran the change %d time(s)\n", n)
	if n != 1 {
		return fmt.Errorf("plain service ran the change %d times, expected 1", n)
	}
	return nil
}

// PlainRuns returns how many times the plain stand-in ran the call with the key.
func (f *Fleet) PlainRuns(ctx context.Context, key string) (int, error) {
	var records []struct{ IdempotencyKey string }
	if err := f.GetJSON(ctx, "http://"+f.PlainAddress+"/admin/records", &records); err != nil {
		return 0, err
	}
	n := 0
	for _, r := range records {
		if r.IdempotencyKey == key {
			n++
		}
	}
	return n, nil
}

func (d *Demo) reconfigure(ctx context.Context) error {
	file := filepath.Join(d.dir, ModelService+".toml")
	if err := os.WriteFile(file, []byte(d.fleet.ModelDocument(64)), 0o600); err != nil {
		return err
	}
	out, err := d.fleet.Ctl(ctx, "apply", file, "--base", "1", "--operator", Operator)
	fmt.Fprint(d.Out, out)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := d.fleet.WaitInForce(ctx, ModelService, 2); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "in force on all %d entries after %s\n", len(d.fleet.Entries), time.Since(began).Round(time.Millisecond))
	out, err = d.fleet.Ctl(ctx, "status")
	fmt.Fprint(d.Out, out)
	return err
}

func (d *Demo) timeline(ctx context.Context) error {
	out, err := d.fleet.Ctl(ctx, "timeline")
	fmt.Fprint(d.Out, out)
	return err
}

func (d *Demo) stop(ctx context.Context) error {
	for _, e := range d.fleet.Entries {
		if err := e.Process.Terminate(ctx); err != nil {
			return err
		}
	}
	return d.fleet.Terminate(ctx)
}
