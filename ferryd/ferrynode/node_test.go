package ferrynode

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryengine/ferryenginetest"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform/ferryplatformtest"
	"cactusferry.dev/ferryd/ferrysettings"
	"cactusferry.dev/ferrystand/ferrystandengine"
	"cactusferry.dev/ferrystand/ferrystandplain"
	"cactusferry.dev/ferrystand/ferrystandplatform"
)

const (
	testKey    = "key-of-dobrich"
	testToken  = "operator-token"
	testLayers = 8
	testPrompt = "Why did the yield drop?"
	testTokens = 24
	// longStreamTokens at engineRate make a stream that outlasts a planned stop without open streams.
	longStreamTokens = 400
	engineRate       = 500
	testDeadline     = 60 * time.Second
)

// testNode is a node with stand-ins for its upstreams and the platform in this process.
type testNode struct {
	node         *Node
	plain        *ferrystandplain.Server
	engines      []*ferrystandengine.Engine
	urls         []string
	plainAddress string
	callers      string
	admin        *ferryadmin.Client
	stop         chan os.Signal
	ended        chan error
}

func serveOn(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ReadHeaderTimeout = testDeadline
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// listenRandomPort listens at once on a free port, so that no other process can take it before the node listens.
func listenRandomPort(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func startTestNode(t *testing.T) *testNode {
	t.Helper()
	clock := clockwork.NewRealClock()
	b := &testNode{plain: ferrystandplain.New("robots-1", clock), stop: make(chan os.Signal, 1), ended: make(chan error, 1)}
	b.plainAddress = serveOn(t, b.plain)
	for i := range 4 {
		half := ferryid.Layer(i % 2 * testLayers / 2)
		e := ferrystandengine.New(ferrystandengine.Config{
			Name: ferryid.UpstreamName(fmt.Sprintf("engine-%d", i+1)), Service: "herd-llm", Layers: ferryid.LayerRange{From: half, To: half + testLayers/2}, TokensPerSecond: engineRate,
		})
		t.Cleanup(e.Close)
		b.engines = append(b.engines, e)
		b.urls = append(b.urls, serveOn(t, e))
	}
	callers, peers := listenRandomPort(t), listenRandomPort(t)
	b.callers = callers.Addr().String()
	b.admin = ferryadmin.NewClient("http://"+peers.Addr().String(), testToken, nil)
	cfg := ferrysettings.Settings{
		Name: "entry-1", FailureDomain: "ruse-a", Callers: ferrysettings.Callers{Listen: b.callers}, Peers: ferrysettings.Peers{Listen: peers.Addr().String()},
		Platform: ferrysettings.Platform{URL: "http://" + serveOn(t, ferrystandplatform.New(clock))},
		Keys:     ferrysettings.Keys{Seal: []string{strings.Repeat("00112233", 8)}, OperatorToken: testToken},
		Stop:     ferrysettings.Stop{Grace: ferrysettings.Duration(time.Millisecond)},
	}
	cfg.SetDefaults()
	assert.NilError(t, cfg.Validate("test", nil))
	var err error
	b.node, err = New(cfg, clock, zerolog.Nop())
	assert.NilError(t, err)
	b.node.listener = func(_, address string) (net.Listener, error) {
		if address == b.callers {
			return callers, nil
		}
		return peers, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { b.ended <- b.node.Run(ctx, b.stop) }()
	b.waitUntil(t, "ready", func() error {
		w, err := http.Get("http://" + b.callers + "/readyz")
		if err != nil {
			return err
		}
		defer w.Body.Close()
		if w.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", w.StatusCode)
		}
		return nil
	})
	return b
}

// waitUntil polls until check returns nil, for asynchronous effects of the node.
func (b *testNode) waitUntil(t *testing.T, what string, check func() error) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("%s: %v", what, err)
		}
		return poll.Success()
	}, poll.WithTimeout(testDeadline))
}

func customersText() string {
	sum := sha256.Sum256([]byte(testKey))
	return fmt.Sprintf("[[Customers]]\nName = \"dobrich\"\nKeySHA256 = [%q]\nShare = 1.0\n", hex.EncodeToString(sum[:]))
}

func (b *testNode) modelText(short int) string {
	var s strings.Builder
	fmt.Fprintf(&s, "Service = \"herd-llm\"\nTeam = \"herd\"\nKind = \"Model\"\n[Model]\nName = \"m\"\nVersion = \"1\"\nLayers = %d\n", testLayers)
	fmt.Fprintf(&s, "[[Classes]]\nName = \"short\"\nMaxTokens = %d\n[[Classes]]\nName = \"long\"\n", short)
	for i, u := range b.urls {
		half := i % 2 * testLayers / 2
		fmt.Fprintf(&s, "[[Upstreams]]\nName = \"engine-%d\"\nAddress = %q\nFailureDomain = \"ruse-a\"\nLayers = { From = %d, To = %d }\nSlots = 8\n", i+1, u, half, half+testLayers/2)
	}
	return s.String() + customersText()
}

func (b *testNode) plainText() string {
	return fmt.Sprintf("Service = \"parlour-api\"\nTeam = \"parlour\"\nKind = \"Plain\"\n[[Upstreams]]\nName = \"robots-1\"\nAddress = %q\nFailureDomain = \"ruse-a\"\nSlots = 8\n"+
		"[[Routes]]\nMethod = \"POST\"\nPath = \"/rations/*\"\nIdempotent = false\n", b.plainAddress) + customersText()
}

func (b *testNode) apply(t *testing.T, service ferryid.ServiceName, text string, base ferryid.Generation) {
	t.Helper()
	a, err := b.admin.Apply(t.Context(), ferrydocument.ApplyRequest{
		Service: service, Source: text, BaseGeneration: base, Operator: "morning", ApplyID: ferrydocument.NewApplyID(),
	})
	assert.NilError(t, err)
	assert.Equal(t, a.Generation, base+1)
	b.waitUntil(t, "document activated", func() error {
		s, err := b.admin.Status(t.Context())
		if err != nil {
			return err
		}
		for _, d := range s.Documents {
			if d.Service == service && d.Generation == base+1 {
				return nil
			}
		}
		return fmt.Errorf("status lists the documents %v", s.Documents)
	})
}

func (b *testNode) post(t *testing.T, path, body, idempotencyKey string) (int, http.Header, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.callers+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer w.Body.Close()
	out, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return w.StatusCode, w.Header, string(out)
}

// stream requests a completion, calls onChunk after each chunk and compares the text with the reference.
func (b *testNode) stream(t *testing.T, seed uint64, tokens int, onChunk func(n int)) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"herd-llm","prompt":%q,"max_tokens":%d,"seed":%d,"stream":true}`, testPrompt, tokens, seed)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.callers+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	w, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer w.Body.Close()
	assert.Equal(t, w.StatusCode, http.StatusOK)
	var text strings.Builder
	done, chunks := false, 0
	s := bufio.NewScanner(w.Body)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var v struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &v), data)
		for _, c := range v.Choices {
			text.WriteString(c.Text)
		}
		chunks++
		onChunk(chunks)
	}
	assert.NilError(t, s.Err())
	assert.Assert(t, done, "the stream must end with [DONE]")
	assert.Equal(t, text.String(), strings.Join(ferryenginetest.Reference(seed, testPrompt, tokens, testLayers), ""))
}

func (b *testNode) state(t *testing.T, upstream ferryid.UpstreamName) string {
	t.Helper()
	s, err := b.admin.Status(t.Context())
	assert.NilError(t, err)
	for _, sv := range s.Services {
		for _, u := range sv.Upstreams {
			if u.Name == upstream {
				return string(u.State)
			}
		}
	}
	return ""
}

// TestNode covers a stream, an idempotent call, a document change, a drain and a planned stop with an open stream.
func TestNode(t *testing.T) {
	b := startTestNode(t)
	b.apply(t, "herd-llm", b.modelText(64), 0)
	b.apply(t, "parlour-api", b.plainText(), 0)
	b.stream(t, 7, testTokens, func(int) {})

	for n := range 3 {
		status, h, body := b.post(t, "/v1/services/parlour-api/rations/417", `{"Kilograms":2}`, "friday")
		assert.Equal(t, status, http.StatusOK, body)
		assert.Equal(t, h.Get("Replayed") == "true", n > 0)
	}
	status, h, _ := b.post(t, "/v1/services/parlour-api/rations/417", `{"Kilograms":9}`, "friday")
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, h.Get("Outcome"), "NotRun")
	assert.Equal(t, len(b.plain.Records()), 1)

	b.apply(t, "herd-llm", b.modelText(32), 1)
	_, err := b.admin.Apply(t.Context(), ferrydocument.ApplyRequest{
		Service: "herd-llm", Source: b.modelText(16), BaseGeneration: 1, Operator: "afternoon", ApplyID: ferrydocument.NewApplyID(),
	})
	assert.Assert(t, err != nil, "the second of two concurrent edits must be refused")

	assert.NilError(t, b.admin.Drain(t.Context(), ferryadmin.DrainRequest{Service: "herd-llm", Upstream: "engine-1", Operator: "morning", Leaving: true}))
	assert.Equal(t, b.state(t, "engine-1"), "Leaving")
	before := len(b.engines[0].Records(""))
	b.stream(t, 8, testTokens, func(int) {})
	assert.Equal(t, len(b.engines[0].Records("")), before, "a drained engine must get no new work")

	b.stream(t, 9, longStreamTokens, func(n int) {
		if n == 1 {
			b.stop <- syscall.SIGTERM
		}
	})
	select {
	case err := <-b.ended:
		assert.NilError(t, err)
	case <-time.After(testDeadline):
		t.Fatal("the node did not stop within the deadline")
	}
}

// TestStatusListsActivatedDocuments checks that the status lists a document only once callers are served by it.
func TestStatusListsActivatedDocuments(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := ferrysettings.Settings{
		Name: "entry-1", FailureDomain: "ruse-a", Platform: ferrysettings.Platform{URL: "http://127.0.0.1:1"},
		Keys: ferrysettings.Keys{Seal: []string{strings.Repeat("00112233", 8)}, OperatorToken: testToken},
	}
	cfg.SetDefaults()
	n, err := New(cfg, clock, zerolog.Nop())
	assert.NilError(t, err)
	_, err = n.holder.Apply(t.Context(), ferryplatformtest.New(clock), ferrydocument.ApplyRequest{
		Service: "parlour-api", Source: (&testNode{plainAddress: "127.0.0.1:1"}).plainText(), Operator: "morning", ApplyID: ferrydocument.NewApplyID(),
	})
	assert.NilError(t, err)
	f, ok := n.holder.Get("parlour-api")
	assert.Assert(t, ok)
	assert.Equal(t, len(n.status().Documents), 0)
	n.activate(t.Context(), f)
	assert.Equal(t, n.status().Documents[0].Generation, f.Accepted.Generation)
}

func TestRetiredServiceTakesNoNewWork(t *testing.T) {
	b := startTestNode(t)
	b.apply(t, "herd-llm", b.modelText(64), 0)
	b.apply(t, "parlour-api", b.plainText(), 0)
	b.stream(t, 7, longStreamTokens, func(n int) {
		if n == 1 {
			b.apply(t, "herd-llm", "Retired = true\n"+b.modelText(64), 1)
			b.apply(t, "parlour-api", "Retired = true\n"+b.plainText(), 1)
		}
	})
	for _, path := range []string{"/v1/completions", "/v1/services/parlour-api/rations/417"} {
		b.waitUntil(t, "call refused", func() error {
			status, h, body := b.post(t, path, `{"model":"herd-llm","prompt":"x"}`, "")
			if status != http.StatusNotFound || h.Get("Outcome") != "NotRun" {
				return fmt.Errorf("status %d, %s", status, body)
			}
			return nil
		})
	}
	b.apply(t, "herd-llm", b.modelText(64), 2)
	b.stream(t, 8, testTokens, func(int) {})
}

// TestTwoNodes runs two nodes in one process, which must have separate metrics.
func TestTwoNodes(t *testing.T) {
	for _, b := range []*testNode{startTestNode(t), startTestNode(t)} {
		b.waitUntil(t, "metrics", func() error {
			w, err := http.Get("http://" + b.callers + "/metrics")
			if err != nil {
				return err
			}
			defer w.Body.Close()
			text, err := io.ReadAll(w.Body)
			if err == nil && !strings.Contains(string(text), "ferryd_open_streams 0") {
				err = fmt.Errorf("/metrics does not have ferryd_open_streams yet")
			}
			return err
		})
	}
}

func TestCallersUseHTTP2(t *testing.T) {
	b := startTestNode(t)
	b.apply(t, "herd-llm", b.modelText(64), 0)
	only2 := &http.Protocols{}
	only2.SetUnencryptedHTTP2(true)
	c := &http.Client{Transport: &http.Transport{Protocols: only2}}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.callers+"/v1/completions",
		strings.NewReader(`{"model":"herd-llm","prompt":"x","max_tokens":5,"seed":1,"stream":true}`))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	w, err := c.Do(r)
	assert.NilError(t, err)
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	assert.Equal(t, w.ProtoMajor, 2)
	assert.Equal(t, w.StatusCode, http.StatusOK, "%s", body)
	assert.Assert(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"))
}
