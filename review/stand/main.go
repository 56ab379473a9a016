// Stand drives the cases of the review that are scripts: it starts entries as separate processes, and stands in for
// the platform's store, the runners and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes what was sent, answered and run to a file, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at formats a time as the record does.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds()) }

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/ferrysite", "program of an entry")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *program, *out))
}

func run(name, program, out string) int {
	cases := map[string]func(*world, bool) (bool, error){"reader": readerCase, "stop": stopCase, "parts": partsCase, "channels": channelsCase, "last": lastCase, "roll": rollCase}
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(program, &record{began: time.Now(), file: file})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		w.record.printf("could not run: %s", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	case broken:
		w.record.printf("result: the rule was broken")
		return exitBroken
	}
	w.record.printf("result: the rule held")
	return exitHeld
}
