package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, as on the sheets of both users.
const (
	drainBound   = 2 * time.Second
	configBound  = 2 * time.Second
	grace        = 8 * time.Second
	stableWindow = 3 * time.Second
	zoneName     = "neweng-a"
	heartbeat    = 1200 * time.Millisecond
	metricsPort  = 9464 // of the deploy file
)

// world is one small deployment.
type world struct {
	record  *record
	program string
	dir     string
	store   *store
	// storeAddress is the address of the store itself; each entry reaches it through a link of its own.
	storeAddress string
	closers      []func()
	// failing is set if the next runner that reads a prompt is to crash.
	failing atomic.Bool

	mu      sync.Mutex
	config  map[string]any
	version int
	entries []*entry
	runners map[string]*runner
	runs    []arrival
}

func newWorld(program string, r *record) (*world, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, program: program, dir: dir, store: newStore(), runners: map[string]*runner{}, version: 1}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	w.closers = append(w.closers, func() { _ = server.Close() }, func() { _ = os.RemoveAll(dir) })
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// configure changes the desired state, writes it with the next version and returns when the store has acknowledged it.
func (w *world) configure(what string, change func(c map[string]any)) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.config)
	w.version += 1 + rand.IntN(3)
	w.config["version"] = w.version
	w.store.write("config", "main", w.config)
	acked := time.Now()
	w.record.printf("operator: version %d acknowledged (%s)", w.version, what)
	return acked
}

// entry is one entry machine: its process and its link to the store.
type entry struct {
	name, ip                         string
	front, ready, control, directory string
	seeds                            []string
	boots                            int
	cmd                              *exec.Cmd
	ended                            chan struct{}
	link                             *link
}

// addEntries starts entries on loopback addresses of their own, so that all can use the ports of the deploy file.
func (w *world) addEntries(n int) error {
	var seeds []string
	for i := range n {
		e, err := newEntry(i)
		if err != nil {
			return err
		}
		if e.link, err = newLink(e.name, w.storeAddress); err != nil {
			return err
		}
		w.closers = append(w.closers, e.link.close)
		w.entries = append(w.entries, e)
		if len(seeds) < 3 {
			seeds = append(seeds, e.control)
		}
	}
	for _, e := range w.entries {
		if err := w.start(e, seeds); err != nil {
			return err
		}
	}
	return nil
}

func newEntry(i int) (*entry, error) {
	for range 100 {
		e := &entry{name: fmt.Sprintf("front-%s-%d", zoneName, i+1), ip: fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))}
		if ports := freePorts(e.ip); ports != nil {
			e.front, e.ready, e.control, e.directory = ports[0], ports[1], ports[2], ports[3]
			return e, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address")
}

// freePorts returns four free addresses of a loopback address whose metrics port is free too, or nil.
func freePorts(ip string) []string {
	m, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, metricsPort))
	if err != nil {
		return nil
	}
	defer m.Close()
	var out []string
	for range 4 {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, 12000+rand.IntN(18000)))
		if err != nil {
			return nil
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

// start starts the process of an entry with the command of the deploy file.
func (w *world) start(e *entry, seeds []string) error {
	e.seeds = seeds
	e.boots++
	path := filepath.Join(w.dir, e.name+".toml")
	if err := os.WriteFile(path, []byte(e.settings(seeds)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(w.program, "--metrics", fmt.Sprint(metricsPort))
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CACTUSFERRY_BOOT=" + path}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	go func() {
		_ = e.cmd.Wait()
		close(e.ended)
	}()
	w.record.printf("entry %s started at %s", e.name, e.front)
	return nil
}

func (e *entry) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.ended
}

func (e *entry) settings(seeds []string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("nodeName = %q\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\",\"directory\"]", e.name)
	line("ip = %q\nzone = %q\nregion = \"neweng\"\nportRange = [7340,7355]", e.ip, zoneName)
	line("seeds = [\"%s\"]\nbootstrap = %t\ninTolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = %d", strings.Join(seeds, "\",\""), e.boots == 1, heartbeat.Milliseconds())
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"layers\"]")
	line("[zones]\n%s = \"neweng\"", zoneName)
	line("[listen]\nfront = %q\nready = %q\ncontrol = %q\ndirectory = %q", e.front, e.ready, e.control, e.directory)
	line("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0")
	line("[tolerate]\nmachines = 2\nzones = 0\nregions = 0")
	line("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlostMs = 200\nconfigMs = 2000\nbackMs = 250\nouterMs = 5000")
	line("failClosed = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 198\nrecoverS = 12\neventDelayMs = 120\nretryAfterS = 0\nstall_ms = 2000\nchecksFence = false\nttl_max_s = 5")
	line("[platform]\naddress = %q\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000", e.link.address)
	return b.String()
}

// roll stops the entries by SIGTERM one after the other, and starts each again once it has ended.
func (w *world) roll() error {
	for _, e := range w.entries {
		w.record.printf("planned work: SIGTERM to entry %s", e.name)
		if err := e.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-e.ended
		if err := w.start(e, e.seeds); err != nil {
			return err
		}
		for !e.isReady() {
			time.Sleep(50 * time.Millisecond)
		}
		w.record.printf("entry %s is ready again", e.name)
		time.Sleep(time.Second)
	}
	return nil
}

// isReady asks the readiness check of an entry.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + e.ready + "/api/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready and one of each kind of request succeeds at each of them.
func (w *world) awaitReady(paths ...string) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range w.entries {
		for _, path := range paths {
			for {
				if time.Now().After(deadline) {
					return fmt.Errorf("entry %s does not serve %s", e.name, path)
				}
				if e.isReady() {
					if a := call(e.front, request{method: "GET", path: path, id: newID(), wait: 2 * time.Second, parts: "5c1e07a2:40," + newID() + ":20"}); a.err == nil && a.status == http.StatusOK {
						break
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	w.record.printf("all entries serve requests")
	return nil
}

// link is the connection between one entry and the store. A silent one passes nothing on and closes nothing.
type link struct {
	name, address, target string
	l                     net.Listener

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
	dead   map[net.Conn]bool
	// watches counts the watches of the list of runners that are waiting.
	watches   int
	lastWatch time.Time
}

func newLink(name, target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{name: name, address: l.Addr().String(), target: target, l: l, conns: map[net.Conn]bool{}, dead: map[net.Conn]bool{}}
	go k.serve()
	return k, nil
}

func (k *link) serve() {
	for {
		near, err := k.l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", k.target)
		if err != nil {
			near.Close()
			continue
		}
		k.mu.Lock()
		k.conns[near], k.conns[far] = true, true
		k.mu.Unlock()
		go k.copy(far, near, true)
		go k.copy(near, far, false)
	}
}

// copy passes data on in one direction; what arrives while the link is silent is lost, and nothing follows on that
// connection.
func (k *link) copy(to, from net.Conn, calls bool) {
	buf := make([]byte, 64<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		k.mu.Lock()
		lost = lost || k.silent || k.dead[from]
		if n > 0 && calls && strings.HasPrefix(string(buf[:n]), "GET /api/objects/servers?watch=") {
			k.lastWatch = time.Now()
		}
		k.mu.Unlock()
		if lost {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			to.Close()
			from.Close()
			return
		}
	}
}

// silenceOpen makes the channels that are open now silent for good; new ones work.
func (k *link) silenceOpen() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		k.dead[c] = true
	}
}

func (k *link) setSilent(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.silent = on
}

// readsList reports whether the entry itself watches the list of runners at the store.
func (k *link) readsList() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.lastWatch) < 4*time.Second
}

func (k *link) close() {
	k.l.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.Close()
	}
}

const letters = "0123456789abcdef"

func newID() string {
	b := make([]byte, 16)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}
