package ferryprocess

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// signalGrace is how long a program may take to end its processes itself after SIGTERM or SIGINT.
const signalGrace = 3 * time.Second

// running holds the processes of this program that have not ended.
var running = struct {
	once sync.Once
	mu   sync.Mutex
	all  map[*Process]struct{}
}{all: map[*Process]struct{}{}}

// track records a process until it ends. From the first one on, SIGTERM and SIGINT end all of them, and then
// this program, after signalGrace at most.
func track(p *Process) {
	running.once.Do(func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-stop
			time.Sleep(signalGrace)
			killRunning()
			os.Exit(1)
		}()
	})
	running.mu.Lock()
	running.all[p] = struct{}{}
	running.mu.Unlock()
	go func() {
		<-p.done
		running.mu.Lock()
		defer running.mu.Unlock()
		delete(running.all, p)
	}()
}

func killRunning() {
	running.mu.Lock()
	defer running.mu.Unlock()
	for p := range running.all {
		p.Kill()
	}
}
