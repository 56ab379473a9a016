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

// The names and sizes of the fleet of the demo and of the cases of ferryproof.
const (
	ModelService     = "herd-llm"
	PlainService     = "parlour-api"
	Customer         = "dobrich"
	CustomerKey      = "demo-key-dobrich"
	OtherCustomerKey = "demo-key-smolyan"
	Operator         = "morning"
	operatorToken    = "demo-operator-token"
	Layers           = 16
	// SealKey is the hexadecimal key that the entries use to seal resume tokens and tickets.
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
	// Proxy, if set, is the fault proxy that entries and other engines connect to.
	Proxy     *ferryproxy.Proxy
	linkDelay time.Duration
}

// AdvertisedAddress returns the engine's address in the service document.
func (e *Engine) AdvertisedAddress() string {
	if e.Proxy != nil {
		return e.Proxy.Address()
	}
	return e.Address
}

// Entry is one ferryd of the fleet.
type Entry struct {
	Name          string
	CallerAddress string
	PeerAddress   string
	Domain        string
	Process       *ferryprocess.Process
	// Proxy, if set, is the fault proxy that the other entries connect to.
	Proxy *ferryproxy.Proxy
}

// advertisedAddress returns the address that is advertised to peers.
func (e *Entry) advertisedAddress() string {
	if e.Proxy != nil {
		return e.Proxy.Address()
	}
	return e.PeerAddress
}

// Fleet is a platform, engines, one plain service and entries, each in a separate process.
type Fleet struct {
	ferryprocess.Group
	PlatformAddress string
	PlainAddress    string
	PlainProcess    *ferryprocess.Process
	// PlainProxy, if set, is the fault proxy that entries connect to instead of the plain service.
	PlainProxy *ferryproxy.Proxy
	Engines    []*Engine
	Entries    []*Entry
	// Journals, if set, is the directory of the engines' journals;
	// each engine writes its steps to a file with its name.
	Journals string
	// Keys, if set before entries start, are the TLS keys of both listeners of every entry.
	Keys       *Keys
	client     *http.Client
	graceFlags []string
	slots      int
	policy     string
	customers  []CustomerConfig
}

// CustomerConfig is one customer of both services.
type CustomerConfig struct {
	Name  string
	Key   string
	Share float64
}

// Config is the size and the kind of a fleet.
type Config struct {
	// Dir is the directory of the programs.
	Dir     string
	Engines int
	Entries int
	// Slots is the number of streams that each engine runs concurrently, 16 if 0.
	Slots int
	// Policy is the text of the [Policy] section of the model service's document, if any.
	Policy string
	// Customers are the customers of both services; if empty, the demo's two.
	Customers []CustomerConfig
	// TokensPerSecond is the rate of every engine; if 0, the rates differ by accelerator.
	TokensPerSecond int
	// EightKinds gives the engines eight kinds whose rates differ by
	// a factor of 100, and with EngineProxies their link delays too.
	EightKinds bool
	// DefaultGrace keeps ferryd's default grace period of a planned stop instead of setting a short one.
	DefaultGrace bool
	// PeerProxies puts a fault proxy in front of each entry's peer listener.
	PeerProxies bool
	// EngineProxies puts a fault proxy in front of each engine.
	EngineProxies bool
	// PlainProxy puts a fault proxy in front of the plain service.
	PlainProxy bool
}

const defaultSlots = 16

// New returns a fleet on free loopback addresses. It starts the configured fault proxies but no processes.
func New(cfg Config) (*Fleet, error) {
	addresses, err := ferryprocess.FreeAddresses(2 + cfg.Engines + 2*cfg.Entries)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Group: ferryprocess.Group{Dir: cfg.Dir}, slots: cfg.Slots, policy: cfg.Policy, customers: cfg.Customers}
	if len(f.customers) == 0 {
		f.customers = []CustomerConfig{{Customer, CustomerKey, 1}, {"smolyan", OtherCustomerKey, 1}}
	}
	if f.slots == 0 {
		f.slots = defaultSlots
	}
	if !cfg.DefaultGrace {
		f.graceFlags = []string{"--stop.grace", "300ms"}
	}
	f.PlatformAddress, f.PlainAddress = addresses[0], addresses[1]
	addresses = addresses[2:]
	for i := range cfg.Engines {
		e := newEngine(i, addresses[i])
		if cfg.EightKinds {
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
			Name:          fmt.Sprintf("entry-%d", i+1),
			CallerAddress: addresses[2*i],
			PeerAddress:   addresses[2*i+1],
			Domain:        domains[i%len(domains)],
		})
	}
	return f, f.addProxies(cfg)
}

// addProxies starts the configured fault proxies.
func (f *Fleet) addProxies(cfg Config) (err error) {
	if cfg.PeerProxies {
		for _, e := range f.Entries {
			e.Proxy, err = ferryproxy.New(ferryproxy.Config{Target: e.PeerAddress, Named: true})
			if err != nil {
				return err
			}
		}
	}
	if cfg.PlainProxy {
		f.PlainProxy, err = ferryproxy.New(ferryproxy.Config{Target: f.PlainAddress})
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
			e.Proxy.SetAll(e.LinkFault())
		}
	}
	return nil
}

// KillAll kills every process and closes every proxy.
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

// kind is a kind of accelerator: its rate, the delay of its link,
// and the layer at which its two engines split the model.
type kind struct {
	name            string
	tokensPerSecond int
	linkDelay       time.Duration
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
	e.Accelerator, e.TokensPerSecond, e.linkDelay = k.name, k.tokensPerSecond, k.linkDelay
	e.Layers = ferryid.LayerRange{From: 0, To: k.split}
	if half == 1 {
		e.Layers = ferryid.LayerRange{From: k.split, To: Layers}
	}
}

// LinkFault returns the setting of the engine's proxy without
// an injected fault: the delay of its link, if it has one.
func (e *Engine) LinkFault() ferryproxy.Fault {
	if e.linkDelay > 0 {
		return ferryproxy.Delay{Time: e.linkDelay}
	}
	return ferryproxy.Pass{}
}

// StartUpstreams starts the platform, the plain service and the engines, and waits until each is ready.
func (f *Fleet) StartUpstreams(ctx context.Context) error {
	if _, err := f.StartReady(ctx, "platform", "ferrystand", "platform", "--listen", f.PlatformAddress); err != nil {
		return err
	}
	p, err := f.StartReady(ctx, "plain", "ferrystand", "plain", "--listen", f.PlainAddress, "--name", "robots-1",
		"--domain", domains[0], "--service", PlainService, "--platform", "http://"+f.PlatformAddress)
	if err != nil {
		return err
	}
	f.PlainProcess = p
	if f.PlainProxy != nil {
		row := ferryplatform.Instance{
			Role: ferryplatform.RolePlain, Service: PlainService, Address: f.plainAdvertisedAddress(), FailureDomain: ferryid.DomainName(domains[0]),
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

// StartEngine starts one engine and waits until it is ready.
func (f *Fleet) StartEngine(ctx context.Context, e *Engine) error {
	args := []string{
		"engine", "--name", e.Name, "--listen", e.Address,
		"--domain", e.Domain, "--service", ModelService, "--layers", fmt.Sprintf("%d:%d", e.Layers.From, e.Layers.To),
		"--accelerator", e.Accelerator, "--tokens-per-second", fmt.Sprint(e.TokensPerSecond), "--slots", fmt.Sprint(f.slots),
		"--platform", "http://" + f.PlatformAddress,
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
		Role: ferryplatform.RoleEngine, Service: ModelService, Address: e.AdvertisedAddress(), FailureDomain: ferryid.DomainName(e.Domain),
		Incarnation: ferryid.NewIncarnation(), State: ferryplatform.StateLive, Accelerator: e.Accelerator, Layers: e.Layers,
	})
}

// list registers an instance under its proxy's address. Entries add the instances of the list
// to those of their documents, so the address of the process itself would bypass the proxy.
func (f *Fleet) list(ctx context.Context, name string, row ferryplatform.Instance) error {
	return f.PutJSON(ctx, "http://"+f.PlatformAddress+"/admin/instances/"+name, row)
}

// StartEntry starts one ferryd, registers it in the instance list and waits until it is ready.
func (f *Fleet) StartEntry(ctx context.Context, e *Entry) error {
	args := []string{
		"--name", e.Name, "--failure-domain", e.Domain, "--callers.listen", e.CallerAddress, "--peers.listen", e.PeerAddress, "--peers.advertise", e.advertisedAddress(),
		"--platform.url", "http://" + f.PlatformAddress, "--keys.seal", SealKey, "--keys.operator-token", operatorToken,
		"--log.level", "info",
	}
	args = append(args, f.graceFlags...)
	if f.Keys != nil {
		args = append(args, f.Keys.entryFlags()...)
	}
	for _, other := range f.Entries {
		if other != e {
			args = append(args, "--peers.seed", other.advertisedAddress())
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
	return p.WaitHTTP(ctx, f.HTTP(), f.scheme()+e.CallerAddress+"/readyz")
}

// UseKeys sets the TLS keys of entries started later and of all clients of entries.
func (f *Fleet) UseKeys(k *Keys) error {
	client, err := k.client()
	f.Keys, f.client = k, client
	return err
}

// HTTP returns the client for connections to entries.
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

// Caller returns a client of the caller address of an entry, with a customer's key.
func (f *Fleet) Caller(address, key string) Caller {
	return Caller{Entry: address, Key: key, http: f.HTTP(), scheme: f.scheme()}
}

// Register writes an entry's row of the instance list, as the users' platform does.
func (f *Fleet) Register(ctx context.Context, e *Entry, state ferryplatform.InstanceState) error {
	row := ferryplatform.Instance{
		Name: e.Name, Role: ferryplatform.RoleEntry, Address: e.CallerAddress, PeerAddress: e.advertisedAddress(),
		FailureDomain: ferryid.DomainName(e.Domain), State: state,
	}
	return f.PutJSON(ctx, "http://"+f.PlatformAddress+"/admin/instances/"+e.Name, row)
}

// PutJSON sends a PUT request with a JSON body to a stand-in.
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

// GetJSON sends a GET request to a stand-in and decodes its JSON answer.
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

// Ctl runs ferryctl against the fleet and returns its output.
func (f *Fleet) Ctl(ctx context.Context, args ...string) (string, error) {
	var peers []string
	for _, e := range f.Entries {
		peers = append(peers, f.scheme()+e.PeerAddress)
	}
	args = append(args, "--entry", strings.Join(peers, ","), "--token", operatorToken)
	if f.Keys != nil {
		args = append(args, f.Keys.ctlFlags()...)
	}
	return f.Run(ctx, "ferryctl", args...)
}

// ApplyFirst applies the first version of a document and waits until it is in force everywhere.
func (f *Fleet) ApplyFirst(ctx context.Context, service, text string) error {
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

// Admin returns a client of an entry's operator interface.
func (f *Fleet) Admin(e *Entry) *ferryadmin.Client {
	return ferryadmin.NewClient("http://"+e.PeerAddress, operatorToken, nil)
}
