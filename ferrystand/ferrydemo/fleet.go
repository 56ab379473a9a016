package ferrydemo

import (
	"bytes"
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

	"cactusferry.dev/ferry/ferryadmin"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferrystand/ferryprocess"
	"cactusferry.dev/ferrystand/ferryproxy"
)

// The names and sizes of the fleet that the demo and the proofs start.
const (
	ModelService = "herd-llm"
	PlainService = "parlour-api"
	Customer     = "dobrich"
	CustomerKey  = "demo-key-dobrich"
	OtherKey     = "demo-key-smolyan"
	Operator     = "morning"
	token        = "demo-operator-token"
	Layers       = 16
	// SealKey is the key with which the entries seal resume tokens and tickets, in hexadecimal.
	SealKey = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

var domains = []string{"ruse-a", "varna-b", "pleven-c"}

// Engine is one engine stand-in of the fleet.
type Engine struct {
	Name            string
	Address         string
	Domain          string
	Layers          ferryid.LayerRange
	Accelerator     string
	TokensPerSecond int
	Process         *ferryprocess.Process
	// Proxy, if any, is what entries and other engines connect to.
	Proxy *ferryproxy.Proxy
	link  time.Duration
}

// Reached is the address that the service document names.
func (e *Engine) Reached() string {
	if e.Proxy != nil {
		return e.Proxy.Address()
	}
	return e.Address
}

// Entry is one ferryd of the fleet.
type Entry struct {
	Name    string
	Callers string
	Peers   string
	Domain  string
	Process *ferryprocess.Process
	// Proxy, if any, is what the other entries connect to.
	Proxy *ferryproxy.Proxy
}

// reached is the address that peers are told.
func (e *Entry) reached() string {
	if e.Proxy != nil {
		return e.Proxy.Address()
	}
	return e.Peers
}

// Fleet is a platform, engines, one plain service and entries, each a process of its own.
type Fleet struct {
	ferryprocess.Group
	Platform string
	Plain    string
	Plains   *ferryprocess.Process
	// PlainProxy, if any, is what entries connect to in place of the plain service.
	PlainProxy *ferryproxy.Proxy
	Engines    []*Engine
	Entries    []*Entry
	// Journals, if set, is the directory in which each engine writes its steps to a file of its name.
	Journals string
	// Keys, if set before entries start, make both of their listeners use TLS.
	Keys      *Keys
	client    *http.Client
	grace     []string
	slots     int
	policy    string
	customers []Tenant
}

// Tenant is one customer of both services.
type Tenant struct {
	Name  string
	Key   string
	Share float64
}

// Config says how large a fleet is.
type Config struct {
	// Dir holds the programs.
	Dir     string
	Engines int
	Entries int
	// Slots is how many streams each engine runs at once, 16 if 0.
	Slots int
	// Policy is the text of the section [Policy] of the model's document, if any.
	Policy string
	// Customers are those of both services; if there are none, the demo's two.
	Customers []Tenant
	// TokensPerSecond is the rate of every engine; if 0 they differ.
	TokensPerSecond int
	// Kinds makes the engines of eight kinds whose rates differ a hundredfold, and with EngineProxies their links too.
	Kinds bool
	// DefaultGrace leaves ferryd's own time of grace in a planned stop in place of a short one.
	DefaultGrace bool
	// PeerProxies puts a fault proxy before each entry's peers' listener.
	PeerProxies bool
	// EngineProxies puts a fault proxy before each engine.
	EngineProxies bool
	// PlainProxy puts a fault proxy before the plain service.
	PlainProxy bool
}

const defaultSlots = 16

// New lays out a fleet on free loopback addresses and starts nothing.
func New(cfg Config) (*Fleet, error) {
	addresses, err := ferryprocess.FreeAddresses(2 + cfg.Engines + 2*cfg.Entries)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Group: ferryprocess.Group{Dir: cfg.Dir}, slots: cfg.Slots, policy: cfg.Policy, customers: cfg.Customers}
	if len(f.customers) == 0 {
		f.customers = []Tenant{{Customer, CustomerKey, 1}, {"smolyan", OtherKey, 1}}
	}
	if f.slots == 0 {
		f.slots = defaultSlots
	}
	if !cfg.DefaultGrace {
		f.grace = []string{"--stop.grace", "300ms"}
	}
	f.Platform, f.Plain = addresses[0], addresses[1]
	addresses = addresses[2:]
	for i := range cfg.Engines {
		e := newEngine(i, addresses[i])
		if cfg.Kinds {
			e.setKind(kinds[(i/2)%len(kinds)], i%2)
		}
		if cfg.TokensPerSecond > 0 {
			e.TokensPerSecond = cfg.TokensPerSecond
		}
		f.Engines = append(f.Engines, e)
	}
	addresses = addresses[cfg.Engines:]
	for i := range cfg.Entries {
		f.Entries = append(f.Entries, &Entry{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Callers: addresses[2*i],
			Peers:   addresses[2*i+1],
			Domain:  domains[i%len(domains)],
		})
	}
	return f, f.addProxies(cfg)
}

// addProxies starts the proxies that the configuration asks for.
func (f *Fleet) addProxies(cfg Config) (err error) {
	if cfg.PeerProxies {
		for _, e := range f.Entries {
			e.Proxy, err = ferryproxy.New(ferryproxy.Config{Target: e.Peers, Named: true})
			if err != nil {
				return err
			}
		}
	}
	if cfg.PlainProxy {
		f.PlainProxy, err = ferryproxy.New(ferryproxy.Config{Target: f.Plain})
		if err != nil {
			return err
		}
	}
	if cfg.EngineProxies {
		for _, e := range f.Engines {
			e.Proxy, err = ferryproxy.New(ferryproxy.Config{Target: e.Address})
			if err != nil {
				return err
			}
			e.Proxy.SetAll(e.Link())
		}
	}
	return nil
}

// KillAll ends every process and proxy.
func (f *Fleet) KillAll() {
	f.Group.KillAll()
	if f.PlainProxy != nil {
		f.PlainProxy.Close()
	}
	for _, e := range f.Entries {
		if e.Proxy != nil {
			e.Proxy.Close()
		}
	}
	for _, e := range f.Engines {
		if e.Proxy != nil {
			e.Proxy.Close()
		}
	}
}

func newEngine(i int, address string) *Engine {
	half := ferryid.Layer(Layers / 2)
	layers := ferryid.LayerRange{From: 0, To: half}
	if i%2 == 1 {
		layers = ferryid.LayerRange{From: half, To: Layers}
	}
	accelerators := []string{"h100", "a100", "l40s"}
	k := (i / 2) % len(accelerators)
	return &Engine{
		Name:            fmt.Sprintf("engine-%d", i+1),
		Address:         address,
		Domain:          domains[(i/2)%len(domains)],
		Layers:          layers,
		Accelerator:     accelerators[k],
		TokensPerSecond: []int{2000, 1000, 400}[k],
	}
}

// kind is a kind of accelerator with its rate, the time a piece takes on its link, and where its two engines share the layers.
type kind struct {
	name            string
	tokensPerSecond int
	link            time.Duration
	split           ferryid.Layer
}

var kinds = []kind{
	{"h200", 4000, 6 * time.Millisecond, 8},
	{"h100", 2000, 200 * time.Microsecond, 8},
	{"a100", 1000, 3 * time.Millisecond, 4},
	{"l40s", 600, 400 * time.Microsecond, 8},
	{"a10", 300, 12 * time.Millisecond, 12},
	{"l4", 150, 800 * time.Microsecond, 8},
	{"t4", 80, 20 * time.Millisecond, 8},
	{"cpu", 40, 1500 * time.Microsecond, 4},
}

func (e *Engine) setKind(k kind, half int) {
	e.Accelerator, e.TokensPerSecond, e.link = k.name, k.tokensPerSecond, k.link
	e.Layers = ferryid.LayerRange{From: 0, To: k.split}
	if half == 1 {
		e.Layers = ferryid.LayerRange{From: k.split, To: Layers}
	}
}

// Link is what the engine's proxy does while nothing is wrong.
func (e *Engine) Link() ferryproxy.Fault {
	if e.link > 0 {
		return ferryproxy.Delay{Time: e.link}
	}
	return ferryproxy.Pass{}
}

// StartUpstreams starts the platform, the plain service and the engines, and waits for each.
func (f *Fleet) StartUpstreams(ctx context.Context) error {
	if _, err := f.StartReady(ctx, "platform", "ferrystand", "platform", "--listen", f.Platform); err != nil {
		return err
	}
	p, err := f.StartReady(ctx, "plain", "ferrystand", "plain", "--listen", f.Plain, "--name", "robots-1",
		"--domain", domains[0], "--service", PlainService, "--platform", "http://"+f.Platform)
	if err != nil {
		return err
	}
	f.Plains = p
	if f.PlainProxy != nil {
		row := ferryplatform.Instance{
			Role: ferryplatform.RolePlain, Service: PlainService, Address: f.plainReached(), FailureDomain: ferryid.DomainName(domains[0]),
			Incarnation: ferryid.NewIncarnation(), State: ferryplatform.StateLive,
		}
		if err := f.list(ctx, "robots-1", row); err != nil {
			return err
		}
	}
	for _, e := range f.Engines {
		if err := f.StartEngine(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// StartEngine starts one engine and waits for it.
func (f *Fleet) StartEngine(ctx context.Context, e *Engine) error {
	args := []string{
		"engine", "--name", e.Name, "--listen", e.Address,
		"--domain", e.Domain, "--service", ModelService, "--layers", fmt.Sprintf("%d:%d", e.Layers.From, e.Layers.To),
		"--accelerator", e.Accelerator, "--tokens-per-second", fmt.Sprint(e.TokensPerSecond), "--slots", fmt.Sprint(f.slots),
		"--platform", "http://" + f.Platform,
	}
	if f.Journals != "" {
		args = append(args, "--journal", filepath.Join(f.Journals, e.Name))
	}
	p, err := f.StartReady(ctx, e.Name, "ferrystand", args...)
	e.Process = p
	if err != nil || e.Proxy == nil {
		return err
	}
	return f.list(ctx, e.Name, ferryplatform.Instance{
		Role: ferryplatform.RoleEngine, Service: ModelService, Address: e.Reached(), FailureDomain: ferryid.DomainName(e.Domain),
		Incarnation: ferryid.NewIncarnation(), State: ferryplatform.StateLive, Accelerator: e.Accelerator, Layers: e.Layers,
	})
}

// list puts an instance behind a proxy into the list by the proxy's address, since entries add what the list names to their documents.
func (f *Fleet) list(ctx context.Context, name string, row ferryplatform.Instance) error {
	return f.PutJSON(ctx, "http://"+f.Platform+"/admin/instances/"+name, row)
}

// StartEntry starts one ferryd, enters it in the instance list and waits until it is ready.
func (f *Fleet) StartEntry(ctx context.Context, e *Entry) error {
	args := []string{
		"--name", e.Name, "--failure-domain", e.Domain, "--callers.listen", e.Callers, "--peers.listen", e.Peers, "--peers.advertise", e.reached(),
		"--platform.url", "http://" + f.Platform, "--keys.seal", SealKey, "--keys.operator-token", token,
		"--log.level", "info",
	}
	args = append(args, f.grace...)
	if f.Keys != nil {
		args = append(args, f.Keys.entryFlags()...)
	}
	for _, other := range f.Entries {
		if other != e {
			args = append(args, "--peers.seed", other.reached())
		}
	}
	p, err := f.Start(e.Name, "ferryd", args...)
	if err != nil {
		return err
	}
	e.Process = p
	if err := f.Register(ctx, e, ferryplatform.StateLive); err != nil {
		return err
	}
	return p.WaitHTTP(ctx, f.HTTP(), f.scheme()+e.Callers+"/readyz")
}

// UseKeys makes the entries to be started, and all that connects to them, use TLS with the keys.
func (f *Fleet) UseKeys(k *Keys) error {
	client, err := k.client()
	f.Keys, f.client = k, client
	return err
}

// HTTP is the client for connecting to entries.
func (f *Fleet) HTTP() *http.Client {
	if f.client == nil {
		return http.DefaultClient
	}
	return f.client
}

func (f *Fleet) scheme() string {
	if f.Keys != nil {
		return "https://"
	}
	return "http://"
}

// Caller calls an entry's callers' address with a customer's key.
func (f *Fleet) Caller(address, key string) Caller {
	return Caller{Entry: address, Key: key, http: f.HTTP(), scheme: f.scheme()}
}

// Register writes an entry's row of the instance list, as the users' platform would.
func (f *Fleet) Register(ctx context.Context, e *Entry, state ferryplatform.InstanceState) error {
	row := ferryplatform.Instance{
		Name: e.Name, Role: ferryplatform.RoleEntry, Address: e.Callers, PeerAddress: e.reached(),
		FailureDomain: ferryid.DomainName(e.Domain), State: state,
	}
	return f.PutJSON(ctx, "http://"+f.Platform+"/admin/instances/"+e.Name, row)
}

// PutJSON sends a stand-in's administrative call.
func (f *Fleet) PutJSON(ctx context.Context, url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(w.Body)
		return fmt.Errorf("PUT %s: %s: %s", url, w.Status, text)
	}
	return nil
}

// GetJSON reads a stand-in's answer.
func (f *Fleet) GetJSON(ctx context.Context, url string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, w.Status)
	}
	return json.NewDecoder(w.Body).Decode(v)
}

// Ctl runs ferryctl against the fleet.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	var peers []string
	for _, e := range f.Entries {
		peers = append(peers, f.scheme()+e.Peers)
	}
	args = append(args, "--entry", strings.Join(peers, ","), "--token", token)
	if f.Keys != nil {
		args = append(args, f.Keys.ctlFlags()...)
	}
	return f.Run(ctx, "ferryctl", args...)
}

// Accept applies the first version of a document and waits until it is in force everywhere.
func (f *Fleet) Accept(ctx context.Context, service, text string) error {
	dir, err := os.MkdirTemp("", "cactusferry-document")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, service+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if out, err := f.Ctl(ctx, "apply", file, "--base", "0", "--operator", Operator); err != nil {
		return merry.Prepend(err, out)
	}
	return f.WaitInForce(ctx, service, 1)
}

// Admin is a client of an entry's operators' interface.
func (f *Fleet) Admin(e *Entry) *ferryadmin.Client {
	return ferryadmin.NewClient("http://"+e.Peers, token, nil)
}
