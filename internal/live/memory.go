package live

import (
	"bytes"
	"log/slog"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"eiderhold/internal/buffer"
	"eiderhold/limits"
)

// assumedResident is the resident memory of an idle host where the system does not tell it.
const assumedResident = 24 << 20

// messagesKept is how much memory of past messages is kept for further ones.
const messagesKept = 1 << 20

// memory returns how the memory of this process is used now, with messages in an arena.
func memory(limit int64, arena buffer.ArenaStats) limits.Memory {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	m := limits.Memory{Limit: limit, Resident: assumedResident, Runtime: int64(samples[0].Value.Uint64() - samples[1].Value.Uint64()), Messages: int64(arena.Used + arena.Waiting)}
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
	s.arena.Trim(messagesKept)
	stats := s.arena.Stats()
	m := memory(s.memoryLimit, stats)
	s.uncounted = max(s.uncounted, m.Uncounted()) // messages count as allocated, some of it without memory yet
	m.Resident = s.uncounted + m.Runtime + m.Messages
	debug.SetMemoryLimit(m.HeapBytes(int64(stats.Limit)))
	debug.SetGCPercent(m.GCPercent())
}

// declineHugePages makes the system back this process by small pages only: a huge one takes its whole size for the first
// byte of it that is used.
func declineHugePages(log *slog.Logger) {
	if err := unix.Prctl(unix.PR_SET_THP_DISABLE, 1, 0, 0, 0); err != nil {
		log.Info("huge pages cannot be declined", "err", err)
	}
}
