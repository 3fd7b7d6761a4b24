package standin

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"syscall"
	"time"
)

// The platform's figures for a planned restart.
const (
	connectAfterTerm = 400 * time.Millisecond // clients open connections until then
	graceAfterTerm   = 700 * time.Millisecond // what comes later and is unanswered at SIGKILL is lost
	killAfterTerm    = WriteTime + graceAfterTerm
	restartPause     = time.Second
)

// SoakPlan is what happens in a soak, drawn from a seed.
type SoakPlan struct {
	Seed     int64
	MemoryMB float64
	Sockets  int
	Cores    float64
	Hostile  []Hostile
	Signals  string // the series of signals
	Clients  int
	Length   time.Duration
}

// NewSoakPlan draws a plan. Half of the plans have a crowd.
func NewSoakPlan(seed int64) SoakPlan {
	rng := rand.New(rand.NewSource(seed))
	p := SoakPlan{Seed: seed, Length: 12 * time.Second, Clients: 5 + rng.Intn(15)}
	p.MemoryMB = [...]float64{32, 32, 48, 64, 192}[rng.Intn(5)]
	p.Sockets = [...]int{256, 384, 1024, 1024}[rng.Intn(4)]
	p.Cores = [...]float64{0.25, 0.25, 0.5}[rng.Intn(3)]
	p.Signals = [...]string{"term", "term hup term", "hup hup hup term", "kill", "term term hup", "hup kill"}[rng.Intn(6)]
	for range rng.Intn(3) {
		p.Hostile = append(p.Hostile, HostileClients[rng.Intn(len(HostileClients))])
	}
	if rng.Intn(2) == 0 {
		p.Hostile = append(p.Hostile, soakCrowds[rng.Intn(len(soakCrowds))])
	}
	return p
}

// soakCrowds are the kinds that come by the hundred, together or in pieces; a soak starts its host again under them.
var soakCrowds = []Hostile{
	{"half-body-waves", crowd, inWaves(halfBody)},
	{"body-pieces", crowd, bodyPieces},
	{"head-pieces", crowd, headPieces},
	{"mixed-waves", crowd, inWaves(mixed)},
}

// String returns the plan in one line.
func (p SoakPlan) String() string {
	var names []string
	for _, h := range p.Hostile {
		names = append(names, h.Name)
	}
	return fmt.Sprintf("seed %d: %v MB, %d descriptors, %v of a core, %d clients, signals %q, hostile [%s]",
		p.Seed, p.MemoryMB, p.Sockets, p.Cores, p.Clients, p.Signals, strings.Join(names, " "))
}

// Soak plays a plan: usual and hostile clients all the time, the signals after a third of it, and a restart after them.
// Clients use the connections that they have until the earliest SIGKILL.
func (s *Stage) Soak(p SoakPlan) {
	ctx, cancel := context.WithTimeout(context.Background(), p.Length)
	defer cancel()
	done := make(chan bool, 1+len(p.Hostile))
	for i, h := range p.Hostile {
		go func() { h.Attack(ctx, s.Addr, p.Seed+int64(i+1)<<32, s.Departures); done <- true }()
	}
	go func() { s.Usual.Run(ctx, p.Clients, p.Seed); done <- true }()
	sleepFor(ctx, p.Length/3)
	s.playSignals(rand.New(rand.NewSource(p.Seed)), strings.Fields(p.Signals))
	for range 1 + len(p.Hostile) {
		<-done
	}
	s.checkHost()
}

// playSignals sends a series of signals, some milliseconds apart, and starts the host again if they end it.
func (s *Stage) playSignals(rng *rand.Rand, signals []string) {
	var termAt time.Time
	for _, name := range signals {
		switch name {
		case "hup":
			_ = s.Host.Signal(syscall.SIGHUP)
		case "term":
			if termAt.IsZero() {
				termAt = time.Now()
				s.Usual.SetTerminated(termAt)
			}
			_ = s.Host.Signal(syscall.SIGTERM)
		case "kill":
			s.end(time.Time{})
			return
		}
		time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
	}
	if !termAt.IsZero() {
		s.end(termAt)
	}
}

// end kills the host, at the earliest time after a SIGTERM, and starts it again.
func (s *Stage) end(termAt time.Time) {
	if !termAt.IsZero() && s.Host.ended(time.Until(termAt.Add(killAfterTerm))) {
		if err := s.Host.Wait(); err != nil && !s.Host.OverLimit() {
			s.broken = append(s.broken, fmt.Sprintf("the host ended with %v after SIGTERM", err))
		}
	}
	if s.Host.OverLimit() {
		s.checkHost()
	}
	s.Usual.SetKilled(time.Now())
	s.peak = max(s.peak, s.Host.PeakMemory())
	s.Host.Kill()
	time.Sleep(restartPause)
	if err := s.Start(); err != nil {
		s.broken = append(s.broken, err.Error())
	}
	s.Usual.SetRunning()
}
