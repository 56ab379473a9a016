package ferryrelay

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ticksPerSecond is the unit of processor time in /proc, fixed on Linux.
const ticksPerSecond = 100

// cpu is the processor time that a process has used.
func cpu(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, merry.Prepend(err, "processor time")
	}
	_, rest, ok := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, merry.New("processor time: unexpected form")
	}
	total := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, merry.Prepend(err, "processor time")
		}
		total += n
	}
	return time.Duration(total) * time.Second / ticksPerSecond, nil
}

// resident is the memory of a process in bytes.
func resident(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, merry.Prepend(err, "memory")
	}
	for line := range strings.Lines(string(b)) {
		v, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 10, 64)
		return n << 10, merry.Prepend(err, "memory")
	}
	return 0, merry.New("memory: no VmRSS")
}
