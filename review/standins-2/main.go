package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// run is one run of a case.
type run struct {
	rec      *record
	store    *store
	machines []*machine
	dir      string
	root     string
	// trouble is set unless the run is the one without the disruption.
	trouble bool
	cleanup []func()
}

var zones = []string{"neweng-a", "neweng-b", "neweng-c"}

func (r *run) fronts() []string {
	var out []string
	for _, m := range r.machines {
		out = append(out, m.front())
	}
	return out
}

// begin starts the store and, with them, the machines of a deployment like inkwell-desk: three, two and two.
func (r *run) begin(cfg config) error {
	places := []string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]}
	if err := findNetwork(len(places)); err != nil {
		return err
	}
	st, err := newStore(r.rec, network+".1")
	if err != nil {
		return err
	}
	r.store = st
	if err := r.configure(cfg); err != nil {
		return err
	}
	r.machines, err = startMachines(r.dir, r.root, places, st)
	return err
}

func (r *run) end() {
	for _, f := range r.cleanup {
		f()
	}
	stopMachines(r.machines)
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(*run) (verdict, error){}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("out", ".", "folder of record.txt")
	root := flag.String("root", ".", "root of the repository")
	keep := flag.String("keep", "", "folder to which the logs of the machines are copied")
	flag.Parse()
	os.Exit(play(*name, *out, *root, *keep))
}

func play(name, out, root, keep string) int {
	f := cases[name]
	rec, err := newRecord(filepath.Join(out, "record.txt"))
	if f == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case:", name, err)
		return notRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir)
	root, err = filepath.Abs(root)
	if err != nil {
		return notRun
	}
	if _, err := os.Stat(filepath.Join(root, "target", "ferrysite")); err != nil {
		fmt.Fprintln(os.Stderr, "not built:", err)
		return notRun
	}
	r := &run{rec: rec, dir: dir, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.end()
		os.Exit(notRun)
	}()
	v, err := f(r)
	r.end()
	if keep != "" {
		for _, m := range r.machines {
			if b, err := os.ReadFile(filepath.Join(dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), b, 0o600)
			}
		}
	}
	switch {
	case err != nil:
		rec.line("the case could not run: %s", err)
		fmt.Println("the case could not run:", err)
		return notRun
	case v.broken:
		rec.line("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return broken
	}
	rec.line("held: %s", v.text)
	fmt.Println("held:", v.text)
	return held
}

var errUnstable = errors.New("the deployment did not serve before the disruption")
