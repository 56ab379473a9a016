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

// cpuTime returns the user and system time of a process.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, merry.Prepend(err, "read processor time")
	}
	_, rest, ok := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, merry.New("read processor time: unexpected format of /proc/PID/stat")
	}
	total := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, merry.Prepend(err, "read processor time")
		}
		total += n
	}
	return time.Duration(total) * time.Second / ticksPerSecond, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, merry.Prepend(err, "read resident memory")
	}
	for line := range strings.Lines(string(b)) {
		v, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 10, 64)
		return n << 10, merry.Prepend(err, "read resident memory")
	}
	return 0, merry.New("read resident memory: no VmRSS in /proc/PID/status")
}
