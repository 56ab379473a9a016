package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryservice"
)

var addressRE = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// deadAddress has a port on which nothing listens and that is outside the range of ephemeral ports.
const deadAddress = "127.0.0.1:1"

const plainText = "Service = \"parlour-api\"\nTeam = \"stoyanovi\"\nKind = \"Plain\"\n"

var accepted = ferryservice.Accepted{
	Service: "parlour-api", Generation: 7, PreviousHash: "p", ApplyID: "a7", Operator: "ivana",
	At: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), Source: plainText,
}

// fakeEntry is a fake of an entry's operator API.
type fakeEntry struct {
	name    string
	status  ferryadmin.Status
	events  ferryevent.Events
	answer  func(w http.ResponseWriter, body map[string]any)
	applied []map[string]any
	token   string
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.token = r.Header.Get("Authorization")
	var body map[string]any
	if r.Method == http.MethodPost {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/status":
		sendJSON(w, http.StatusOK, e.status)
	case "GET /admin/events":
		sendJSON(w, http.StatusOK, e.events)
	case "GET /admin/documents":
		sendJSON(w, http.StatusOK, []ferryservice.Accepted{accepted})
	case "GET /admin/documents/parlour-api":
		sendJSON(w, http.StatusOK, accepted)
	case "GET /admin/claims":
		sendJSON(w, http.StatusOK, []map[string]string{{"Key": r.URL.Query().Get("key"), "State": "Ran"}})
	case "POST /admin/drain":
		w.WriteHeader(http.StatusNoContent)
	case "POST /admin/documents/parlour-api":
		e.applied = append(e.applied, body)
		e.answer(w, body)
	default:
		sendJSON(w, http.StatusNotFound, map[string]any{"status": 404, "detail": "no such service"})
	}
}

func sendJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func sendAccepted(w http.ResponseWriter, _ map[string]any) { sendJSON(w, http.StatusOK, accepted) }

// startEntries starts two fake entries that list a third one, which does not answer. It returns the first
// entry, its URL and a function that replaces addresses by constant names.
func startEntries(t *testing.T) (*fakeEntry, string, func(string) string) {
	var entries []*fakeEntry
	var urls []string
	var rows []ferryadmin.EntryStatus
	for i := range 2 {
		e := &fakeEntry{name: fmt.Sprintf("entry-%d", i+1), answer: sendAccepted}
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		entries, urls = append(entries, e), append(urls, srv.URL)
		rows = append(rows, ferryadmin.EntryStatus{Name: ferryid.EntryName(e.name), PeerAddress: strings.TrimPrefix(srv.URL, "http://"), State: "Live"})
	}
	rows = append(rows, ferryadmin.EntryStatus{Name: "entry-3", PeerAddress: deadAddress, State: "Live"})
	for i, e := range entries {
		e.status = ferryadmin.Status{
			Entry: ferryid.EntryName(e.name), FailureDomain: "ruse-a", State: ferryadmin.StateReady,
			Documents:   []ferryadmin.DocumentStatus{{Service: "parlour-api", Generation: ferryid.Generation(7 - i), Hash: "0123456789abcdef"}},
			OpenStreams: 3, PlatformCalls: map[string]int64{"Get": 2, "Watch": 5}, PlatformUp: i == 0, Entries: rows,
		}
		e.events = ferryevent.Events{
			{At: ferryevent.Timestamp{Micros: 1796385600000000 + int64(1-i)*250}, Process: e.name, Kind: "DocumentTaken", Subject: "parlour-api", Detail: "generation 7"},
			{At: ferryevent.Timestamp{Micros: 1796385601000000, Logical: uint32(i)}, Process: e.name, Kind: "Drained", Subject: "runner-17"},
		}
	}
	clean := func(s string) string {
		return strings.NewReplacer(urls[0], "URL-1", urls[1], "URL-2", deadAddress, "ADDRESS-3").Replace(s)
	}
	return entries[0], urls[0], clean
}

// runCommand runs a command line and returns its output, errors and exit code.
func runCommand(t *testing.T, clean func(string) string, args ...string) string {
	var out, errOut bytes.Buffer
	code := run(t.Context(), args, strings.NewReader(""), &out, &errOut)
	return clean(fmt.Sprintf("%s--- errors\n%s--- exit %d\n", out.String(), errOut.String(), code))
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "parlour-api.toml")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestOutputs(t *testing.T) {
	fetched := header(accepted) + plainText
	lostRace := func(w http.ResponseWriter, _ map[string]any) {
		sendJSON(w, http.StatusConflict, ferryadmin.LostRace{Winner: accepted, Diff: "--- base\n+++ theirs\n"})
	}
	unresolved := func(w http.ResponseWriter, _ map[string]any) {
		sendJSON(w, http.StatusAccepted, ferryadmin.Unresolved{ApplyID: "x", Command: "ferryctl apply FILE --base 7 --apply-id x"})
	}
	refuse := func(w http.ResponseWriter, _ map[string]any) {
		sendJSON(w, http.StatusServiceUnavailable, map[string]any{"status": 503, "detail": "the platform is down; nothing was applied"})
	}
	hangUp := func(http.ResponseWriter, map[string]any) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name   string
		text   string
		answer func(http.ResponseWriter, map[string]any)
		args   []string
	}{
		{"apply", fetched, sendAccepted, []string{"apply", "FILE", "--operator", "ivana"}},
		{"apply-lost-race", fetched, lostRace, []string{"apply", "FILE", "--operator", "petar"}},
		{"apply-unresolved", fetched, unresolved, []string{"apply", "FILE", "--operator", "petar"}},
		{"apply-refused", fetched, refuse, []string{"apply", "FILE", "--operator", "petar"}},
		{"apply-hung-up", fetched, hangUp, []string{"apply", "FILE", "--operator", "petar", "--apply-id", "x"}},
		{"apply-without-base", plainText, sendAccepted, []string{"apply", "FILE", "--operator", "petar"}},
		{"apply-faulty", strings.Replace(fetched, `"Plain"`, `"Odd"`, 1) + "Colour = 3\n", sendAccepted, []string{"apply", "FILE", "--operator", "petar"}},
		{"get", "", nil, []string{"get", "parlour-api"}},
		{"get-list", "", nil, []string{"get"}},
		{"get-unknown", "", nil, []string{"get", "other"}},
		{"diff", strings.Replace(fetched, "stoyanovi", "inkwell", 1), nil, []string{"diff", "FILE"}},
		{"diff-same", fetched, nil, []string{"diff", "FILE"}},
		{"lint", fetched, nil, []string{"lint", "FILE"}},
		{"lint-faulty", "Kind = \"Odd\"\n", nil, []string{"lint", "FILE"}},
		{"status", "", nil, []string{"status"}},
		{"timeline", "", nil, []string{"timeline"}},
		{"timeline-json", "", nil, []string{"timeline", "--format", "json", "--subject", "runner-17"}},
		{"timeline-trace", "", nil, []string{"timeline", "--format", "trace"}},
		{"claims", "", nil, []string{"claims", "parlour-api", "--key", "feed-7"}},
		{"drain", "", nil, []string{"drain", "herd-llm", "runner-17", "--operator", "ivana"}},
		{"undrain", "", nil, []string{"undrain", "herd-llm", "runner-17", "--operator", "ivana"}},
		{"usage", "", nil, []string{"apply"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, url, clean := startEntries(t)
			e.answer = tt.answer
			file := writeFile(t, tt.text)
			args := []string{"--entry", url}
			if tt.name == "apply-hung-up" {
				args = append(args, "--entry", "http://"+deadAddress)
			}
			for _, a := range tt.args {
				args = append(args, strings.Replace(a, "FILE", file, 1))
			}
			got := runCommand(t, clean, args...)
			got = strings.ReplaceAll(got, file, "FILE")
			got = addressRE.ReplaceAllString(got, "ADDRESS")
			golden.Assert(t, got, tt.name+".golden")
		})
	}
}

func TestApplyRequest(t *testing.T) {
	e, url, clean := startEntries(t)
	file := writeFile(t, header(accepted)+plainText)
	runCommand(t, clean, "--entry", url, "--token", "secret", "apply", file, "--operator", "ivana", "--apply-id", "x")
	assert.DeepEqual(t, e.applied, []map[string]any{{"Source": plainText, "BaseGeneration": 7.0, "Operator": "ivana", "ApplyID": "x"}})
	assert.Equal(t, e.token, "Bearer secret")
}

func TestSecondEntryIsUsedIfFirstIsUnreachable(t *testing.T) {
	_, url, clean := startEntries(t)
	t.Setenv("FERRYCTL_ENTRY", "http://"+deadAddress+","+url)
	assert.Equal(t, runCommand(t, clean, "get", "parlour-api"), header(accepted)+plainText+"--- errors\n--- exit 0\n")
}

// TestHelpExamples runs each example in the help texts.
func TestHelpExamples(t *testing.T) {
	_, url, _ := startEntries(t)
	t.Setenv("FERRYCTL_ENTRY", url)
	t.Chdir(t.TempDir())
	ran := 0
	for _, name := range commandNames(t) {
		var help bytes.Buffer
		run(t.Context(), []string{name, "--help"}, nil, &help, &help)
		for _, line := range strings.Split(help.String(), "\n") {
			line = strings.TrimSpace(line)
			if !strings.HasPrefix(line, "ferryctl "+name) {
				continue
			}
			ran++
			runExample(t, line)
		}
		assert.Assert(t, strings.Contains(help.String(), "ferryctl "+name), "help of %s has no example", name)
	}
	assert.Assert(t, ran >= len(commandNames(t)), "%d examples", ran)
}

func commandNames(t *testing.T) []string {
	p := flags.NewNamedParser("ferryctl", flags.None)
	for _, add := range subcommands {
		assert.NilError(t, add(&app{}, p))
	}
	var names []string
	for _, c := range p.Commands() {
		names = append(names, c.Name)
	}
	return names
}

func runExample(t *testing.T, line string) {
	command, file, redirected := strings.Cut(line, " > ")
	if _, err := os.Stat("parlour-api.toml"); err != nil {
		assert.NilError(t, os.WriteFile("parlour-api.toml", []byte(header(accepted)+plainText), 0o600))
	}
	var out, errOut bytes.Buffer
	code := run(t.Context(), strings.Fields(command)[1:], nil, &out, &errOut)
	// One of the entries never answers.
	assert.Assert(t, code == exitSuccess || code == exitPartial, "%s: exit %d: %s", line, code, errOut.String())
	if redirected {
		assert.NilError(t, os.WriteFile(file, out.Bytes(), 0o600))
	}
}
