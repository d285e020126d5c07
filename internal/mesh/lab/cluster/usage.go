package cluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ResidentMemory returns the resident set size of a process in bytes, or 0 if the
// process has exited.
func ResidentMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// ticksPerSecond is USER_HZ, the unit of CPU times in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// CPUTime returns the user and system CPU time of a process, or 0 if the
// process has exited.
func CPUTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}
