package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	answerGrace   = 550 * time.Millisecond // after a request's time, until it counts as lost
	giveUpAfter   = 2 * time.Second        // after a request's time, a client waits no longer
	meanPause     = 60 * time.Millisecond  // between two requests of a client
	leavingShare  = 0.05                   // of requests whose client leaves before the answer
	writeShare    = 0.3                    // of requests that are writes
	leaveWithin   = 30 * time.Millisecond  // after which such a client leaves at the latest
	connectWithin = time.Second
	crossingTime  = 50 * time.Millisecond // a connection that ends so soon after a request was closed as it was sent
)

// Times of the requests of usual clients.
const (
	ReadTime  = time.Second
	WriteTime = 3 * time.Second
)

// Tally is what usual clients have seen.
type Tally struct {
	mu                                  sync.Mutex
	Served, Refused, Failed, Shut, Left int
	Late                                int // answered after their time, by less than the grace
	Lost                                []string
	Longest                             time.Duration
}

// UsualClients keep to the protocol: one request at a time on a connection, each with a new id.
type UsualClients struct {
	Tally
	Departures *Departures
	addr       string
	nextID     atomic.Uint64
	outage     outage
}

// NewUsualClients returns clients of the host at an address.
func NewUsualClients(addr string, departures *Departures) *UsualClients {
	return &UsualClients{addr: addr, Departures: departures}
}

// outage tells clients when the host was told to end, and when it was killed.
type outage struct {
	mu                   sync.Mutex
	terminated, killedAt time.Time
}

// SetTerminated tells the clients that the host was told to end.
func (u *UsualClients) SetTerminated(at time.Time) { u.setOutage(at, time.Time{}) }

// SetKilled tells the clients that the host was killed, or had ended before.
func (u *UsualClients) SetKilled(at time.Time) { u.setOutage(u.terminatedAt(), at) }

// SetRunning tells the clients that the host runs again.
func (u *UsualClients) SetRunning() { u.setOutage(time.Time{}, time.Time{}) }

func (u *UsualClients) setOutage(terminated, killed time.Time) {
	u.outage.mu.Lock()
	defer u.outage.mu.Unlock()
	u.outage.terminated, u.outage.killedAt = terminated, killed
}

func (u *UsualClients) terminatedAt() time.Time {
	u.outage.mu.Lock()
	defer u.outage.mu.Unlock()
	return u.outage.terminated
}

// mayConnect reports whether clients open connections: not for long after the host was told to end.
func (u *UsualClients) mayConnect() bool {
	at := u.terminatedAt()
	return at.IsZero() || time.Since(at) < connectAfterTerm
}

// excused reports whether a request that was sent at a time and got no answer is no loss of the host: it was killed
// outright, or the request came shortly after it was told to end and the host was killed under it.
func (u *UsualClients) excused(sent time.Time) bool {
	u.outage.mu.Lock()
	defer u.outage.mu.Unlock()
	if u.outage.killedAt.IsZero() {
		return false
	}
	return u.outage.terminated.IsZero() || sent.Before(u.outage.terminated.Add(graceAfterTerm)) && time.Since(u.outage.killedAt) < time.Second
}

// Run sends requests with a number of clients until ctx is done, and waits for the answers that are due.
func (u *UsualClients) Run(ctx context.Context, clients int, seed int64) {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(seed + int64(i)))
			c := &usualClient{u: u, rng: rng}
			defer c.close()
			for ctx.Err() == nil {
				c.request()
				sleepFor(ctx, time.Duration(rng.ExpFloat64()*float64(meanPause)))
			}
		}()
	}
	wg.Wait()
}

type usualClient struct {
	u    *UsualClients
	rng  *rand.Rand
	conn net.Conn
	r    *bufio.Reader
	used bool // the connection has carried a request
}

func (c *usualClient) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect opens a connection unless one is open.
func (c *usualClient) connect() bool {
	if c.conn != nil {
		return true
	}
	if !c.u.mayConnect() {
		time.Sleep(10 * time.Millisecond)
		return false
	}
	conn, err := net.DialTimeout("tcp", c.u.addr, connectWithin)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return false
	}
	c.conn, c.r, c.used = conn, bufio.NewReader(conn), false
	return true
}

// request sends a request, and once more on a new connection if a close crosses it.
func (c *usualClient) request() {
	if !c.connect() {
		return
	}
	id := c.u.nextID.Add(1)
	text, within := ReadRequest(id, id%64, id, ReadTime), ReadTime
	if c.rng.Float64() < writeShare {
		text, within = WriteHead(id, id%64, id, WriteTime, "Content-Length: 4\r\n")+"data", WriteTime
	}
	if c.rng.Float64() < leavingShare {
		c.leave(id, text)
		return
	}
	reused, sent := c.used, time.Now()
	status, took := c.exchange(text, within)
	if status == 0 && reused && took < crossingTime && c.connect() {
		c.u.Departures.RecordAgain(id)
		sent = time.Now()
		status, took = c.exchange(text, within)
	}
	c.u.record(id, within, status, took, reused, sent)
}

// leave sends a request and closes the connection before the answer.
func (c *usualClient) leave(id uint64, text string) {
	_, _ = io.WriteString(c.conn, text)
	time.Sleep(time.Duration(c.rng.Int63n(int64(leaveWithin))))
	c.close()
	c.u.Departures.Record(time.Now(), id)
	c.u.mu.Lock()
	defer c.u.mu.Unlock()
	c.u.Left++
}

// exchange sends a request and reads its answer. status is 0 if the connection ended without one, -1 if none came in
// time.
func (c *usualClient) exchange(text string, within time.Duration) (status int, took time.Duration) {
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(within + giveUpAfter))
	_, err := io.WriteString(c.conn, text)
	var resp *http.Response
	if err == nil {
		c.used = true
		resp, err = http.ReadResponse(c.r, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	took = time.Since(sent)
	if err != nil {
		c.close()
		if e, ok := err.(net.Error); ok && e.Timeout() {
			return -1, took
		}
		return 0, took
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, took
}

// record counts the end of a request.
func (u *UsualClients) record(id uint64, within time.Duration, status int, took time.Duration, reused bool, sent time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.Longest = max(u.Longest, took-within)
	switch {
	case status <= 0 && u.excused(sent), status == 0 && !reused, status == 0 && took < crossingTime:
		u.Shut++
	case status <= 0 || took > within+answerGrace:
		u.Lost = append(u.Lost, fmt.Sprintf("%016x: status %d after %v of %v", id, status, took, within))
	case took > within:
		u.Late++
	case status == 200:
		u.Served++
	case status == 503 || status == 429:
		u.Refused++
	default:
		u.Failed++
	}
}

// String returns the counters in one line.
func (u *UsualClients) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("served %d, refused %d, failed %d, late %d, lost %d, shut %d, left %d, longest over its time %v",
		u.Served, u.Refused, u.Failed, u.Late, len(u.Lost), u.Shut, u.Left, u.Longest)
}
