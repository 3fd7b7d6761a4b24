package http

import (
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eiderhold/internal/host"
)

// soundClient sends one request at a time on a kept connection. If that ends without a byte of the answer, it sends the
// request once more, under the same id, on a new one.
type soundClient struct {
	r       *harness
	conn    *client
	crossed *atomic.Int32 // requests sent once more
}

// do sends a request and returns its status; 0: no answer.
func (s *soundClient) do(text string) int {
	for try := 0; ; try++ {
		kept := s.conn != nil
		if !kept {
			s.conn = s.r.dial()
		}
		s.conn.send(text)
		status, _, header := s.conn.answer()
		if status == 0 || header.Get("Connection") == "close" {
			s.conn.Close()
			s.conn = nil
		}
		if status != 0 || !kept || try > 0 {
			return status
		}
		s.crossed.Add(1)
	}
}

// submissions counts the requests that the host got, and answers each after a random time. The first one with an id
// closes the channel that waits for it.
type submissions struct {
	mu      sync.Mutex
	times   map[string]int
	wanted  map[string]chan bool
	refused atomic.Int32 // copies
}

func (s *submissions) await(id string) <-chan bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanted[id] = make(chan bool)
	return s.wanted[id]
}

func (s *submissions) add(q *host.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.ToLower(q.Message.ID)
	s.times[id]++
	if w := s.wanted[id]; w != nil && s.times[id] == 1 {
		close(w)
	}
}

// serve answers requests until stop is closed.
func (s *submissions) serve(h *fakeHost, random *rand.Rand, stop <-chan bool) {
	for {
		var q *host.Request
		select {
		case q = <-h.submitted:
		case <-stop:
			return
		}
		s.add(q)
		kind := []host.Kind{host.Served, host.Served, host.Refused, host.Failed}[random.Intn(4)]
		time.AfterFunc(time.Duration(random.Intn(3000))*time.Microsecond, func() {
			if kind == host.Served {
				q.Answer(served("x"))
			} else {
				q.Answer(host.Answer{Kind: kind})
			}
		})
	}
}

// TestDuplicatesAtRandom plays clients that keep to the protocol, some of which leave, against others that copy their
// writes with random requests in front, cuts, framings and pauses, while the front closes idle connections at random.
// No id may reach the host twice, and no client that keeps to the protocol may be told that its id is used.
func TestDuplicatesAtRandom(t *testing.T) {
	const seed, workers = 45, 8
	rounds := 60
	if testing.Short() {
		rounds = 15
	}
	r := newHarness(t, 100)
	s := &submissions{times: map[string]int{}, wanted: map[string]chan bool{}}
	var background sync.WaitGroup
	stop := make(chan bool)
	background.Add(2)
	go func() {
		defer background.Done()
		s.serve(r.host, rand.New(rand.NewSource(seed)), stop)
	}()
	go func() {
		defer background.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
				r.opt.Loop.Post(r.closeRested)
			}
		}
	}()
	var wg sync.WaitGroup
	var crossed atomic.Int32
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewSource(seed + int64(w)))
			sound := &soundClient{r: r, crossed: &crossed}
			for round := range rounds {
				r.playCopy(s, sound, random, w<<32|round<<8)
			}
		}()
	}
	wg.Wait()
	close(stop)
	background.Wait()
	for id, n := range s.times {
		if n > 1 {
			t.Errorf("seed %d: the host got %s %d times", seed, id, n)
		}
	}
	if s.refused.Load() == 0 || crossed.Load() == 0 {
		t.Errorf("seed %d: %d copies were refused, %d requests crossed a close", seed, s.refused.Load(), crossed.Load())
	}
	t.Logf("%d copies refused, %d requests crossed a close", s.refused.Load(), crossed.Load())
}

// closeRested closes, on the loop, connections between requests, also those on which the next request is unread.
func (r *harness) closeRested() {
	for c := range r.conns {
		if c.hadRequest && c.req == nil && !c.state().PartialRequest && !c.flushing && !c.closing {
			c.finish()
		}
	}
}

// playCopy sends one write of a sound client and copies of it.
func (r *harness) playCopy(s *submissions, sound *soundClient, random *rand.Rand, number int) {
	owner := id(number)
	bad := r.dial()
	defer bad.Close()
	text := ""
	for i := range random.Intn(4) {
		text += get(id(number + 1 + i))
	}
	owned := owner
	if random.Intn(2) == 0 {
		owned = strings.ToUpper(owner)
	}
	ahead := len(text)
	text += put(owned) + []string{plainBody, chunkedBody}[random.Intn(2)]
	cut := random.Intn(len(text))
	if random.Intn(3) == 0 { // before the owner; what is complete is not in first place
		early := min(cut, max(0, ahead-1+random.Intn(len(text)-ahead)))
		bad.send(text[:early])
		text, cut = text[early:], max(0, cut-early)
	}
	taken := s.await(owner)
	status := make(chan int, 1)
	leaves := random.Intn(5) == 0
	go func() {
		if !leaves {
			status <- sound.do(put(owner) + plainBody)
			return
		}
		c, err := net.Dial("tcp", r.Addr())
		if err != nil {
			r.t.Error(err)
			return
		}
		(&client{c, nil, r.t}).send(put(owner) + plainBody)
		<-taken
		c.Close()
		status <- 0
	}()
	<-taken
	bad.send(text[:cut])
	if random.Intn(2) == 0 {
		time.Sleep(time.Duration(random.Intn(4000)) * time.Microsecond)
	}
	bad.send(text[cut:])
	for answer := -1; answer != 0 && answer != 409; { // until an error or a close
		if answer, _, _ = bad.answer(); answer == 409 {
			s.refused.Add(1)
		}
	}
	if got := <-status; got == 409 || !leaves && got == 0 {
		r.t.Errorf("the owner of %s got %d", owner, got)
	}
}
