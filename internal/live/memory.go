package live

import (
	"bytes"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"

	"eiderhold/limits"
)

// assumedResident is the resident memory of an idle host where the system does not tell it.
const assumedResident = 24 << 20

// memory returns how the memory of this process is used now.
func memory(limit int64) limits.Memory {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	m := limits.Memory{Limit: limit, Resident: assumedResident, Runtime: int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())}
	status, _ := os.ReadFile("/proc/self/status")
	if resident := statusBytes(status, "VmRSS"); resident > 0 {
		m.Resident = resident
	}
	return m
}

// statusBytes returns a value of /proc/self/status in bytes; 0 if it is not there.
func statusBytes(status []byte, field string) int64 {
	_, rest, _ := bytes.Cut(status, []byte(field+":"))
	line, _, _ := bytes.Cut(rest, []byte(" kB"))
	kib, _ := strconv.ParseInt(strings.TrimSpace(string(line)), 10, 64)
	return kib << 10
}

// limitHeap sets the limit of the Go runtime by the memory that it does not count. That grows as the program uses further
// pages of its file, so the limit is set again from time to time.
func (s *Server) limitHeap() {
	m := memory(s.memoryLimit)
	debug.SetMemoryLimit(m.HeapBytes())
	debug.SetGCPercent(m.GCPercent())
}
