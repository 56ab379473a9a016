package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a machine with its ferrysite process.
type machine struct {
	name, zone, ip string
	cmd            *exec.Cmd
	log            *os.File
	settings       string
}

func (m *machine) front() string { return m.ip + ":" + ports.front }

// ports are the same on all machines.
var ports = struct{ front, ready, control, directory string }{}

const metricsPort = "9464" // that of the deploy file

// network is the part of 127.0.0.0/8 whose addresses stand for the machines of one run.
var network string

// findNetwork finds loopback addresses and ports that are free.
func findNetwork(machines int) error {
	for range 200 {
		network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		first := 12000 + rand.IntN(18000)
		ports.front, ports.ready, ports.control, ports.directory = fmt.Sprint(first), fmt.Sprint(first+1), fmt.Sprint(first+2), fmt.Sprint(first+3)
		free := true
		for i := range machines {
			for _, p := range []string{ports.front, ports.ready, ports.control, ports.directory, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", network, 10+i, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func quoted(list []string) string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = fmt.Sprintf("%q", v)
	}
	return "[" + strings.Join(out, ",") + "]"
}

// startMachines writes the settings files and starts the processes with the command of the deploy file.
func startMachines(dir, root string, zones []string, st *store) ([]*machine, error) {
	var list []*machine
	var seeds []string
	for i, z := range zones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, ip: fmt.Sprintf("%s.%d", network, 10+i)}
		list = append(list, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.ip+":"+ports.control)
		}
	}
	for _, m := range list {
		var b strings.Builder
		line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
		line("nodeName = %q\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"directory\",\"control\"]", m.name)
		line("ip = %q\nzone = %q\nregion = \"neweng\"\nportRange = [31000,31015]\nseeds = %s\nbootstrap = true", m.ip, m.zone, quoted(seeds))
		line("inTolerance = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200")
		line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"layers\"]")
		line("[zones]\nneweng-a = \"neweng\"\nneweng-b = \"neweng\"\nneweng-c = \"neweng\"")
		line("[listen]\nfront = %q\nready = %q\ncontrol = %q\ndirectory = %q", m.ip+":"+ports.front, m.ip+":"+ports.ready, m.ip+":"+ports.control, m.ip+":"+ports.directory)
		line("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4200\nlinkMbps = 1000.0\ndiskMb = 0")
		line("[tolerate]\nmachines = 2\nzones = 0\nregions = 0")
		line("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlostMs = 200")
		line("configMs = 2000\nbackMs = 250\nouterMs = 5000\nfailClosed = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 198")
		line("recoverS = 12\neventDelayMs = 120\nretryAfterS = 0\nstall_ms = 2000\nchecksFence = false\nttl_max_s = 5")
		line("[platform]\naddress = %q\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000", st.address)
		m.settings = filepath.Join(dir, m.name+".toml")
		if err := os.WriteFile(m.settings, []byte(b.String()), 0o600); err != nil {
			return list, err
		}
		log, err := os.Create(filepath.Join(dir, m.name+".log"))
		if err != nil {
			return list, err
		}
		m.log = log
		m.cmd = exec.Command("target/ferrysite", "--metrics", metricsPort)
		m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = root, log, log
		m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "CACTUSFERRY_BOOT=" + m.settings}
		m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := m.cmd.Start(); err != nil {
			return list, err
		}
	}
	return list, nil
}

// readyTime is how long the machines may take to be ready, also beside other load.
const readyTime = 30 * time.Second

// awaitReady waits until all machines are ready.
func awaitReady(list []*machine) error {
	client := http.Client{Timeout: time.Second}
	var missing string
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		missing = ""
		for _, m := range list {
			r, err := client.Get("http://" + m.ip + ":" + ports.ready + "/api/readiness")
			if err != nil {
				missing = fmt.Sprintf("%s: %s", m.name, err)
				continue
			}
			r.Body.Close()
			if r.StatusCode != http.StatusOK {
				missing = fmt.Sprintf("%s: status %d", m.name, r.StatusCode)
			}
		}
		if missing == "" {
			return nil
		}
	}
	return errors.New("the machines are not ready: " + missing)
}

func stopMachines(list []*machine) {
	for _, m := range list {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
		if m.log != nil {
			m.log.Close()
		}
	}
}
