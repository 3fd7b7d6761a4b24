package standin

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

// Hostile is a kind of client that does not keep to the protocol, or keeps to it at a rate that no usual client has.
type Hostile struct {
	Name  string
	Conns int // connections that it uses at a time
	// Run uses one connection until it fails or ctx is done. Requests whose client leaves are recorded.
	Run func(ctx context.Context, c net.Conn, rng *rand.Rand, departures *Departures)
}

const (
	crowd         = 500      // connections of a client that opens them by the hundred
	floodBytes    = 64 << 10 // written at once by a client that floods a connection
	healthRequest = "GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"
)

// HostileClients are the kinds of hostile client.
var HostileClients = []Hostile{
	{"slow-write", crowd, slowWrite},
	{"half-body", crowd, halfBody},
	{"half-body-64k", crowd, halfBody64},
	{"many-fields", crowd, manyFields},
	{"long-targets", crowd, longTargets},
	{"slow-chunks", crowd, slowChunks},
	{"health-flood", 6, flood(healthRequest)},
	{"copy-flood", 6, flood(ReadRequest(7, 7, 7, time.Second))},
	{"name-flood", 6, nameFlood},
	{"reject-flood", 6, flood("BAD\r\n\r\n")},
	{"empty-lines", 6, flood(strings.Repeat("\r\n", 512))},
	{"tiny-chunks", 6, tinyChunks},
	{"write-and-leave", 6, writeAndLeave},
	{"leave-and-repeat", 20, leaveAndRepeat},
	{"never-reads", crowd, neverReads},
	{"silent", crowd, holdOpen},
	{"head-pieces", crowd, headPieces},
	{"body-pieces", crowd, bodyPieces},
	{"half-body-waves", crowd, inWaves(halfBody)},
	{"large-write-waves", crowd, inWaves(largeWrites)},
	{"large-writes", crowd, largeWrites},
	{"slow-large-writes", crowd, slowLargeWrites},
	{"hung-writes", crowd, hungWrites},
	{"mixed", crowd, mixed},
	{"mixed-waves", crowd, inWaves(mixed)},
}

// Attack keeps the client's connections open, each one in place of one that has ended, until ctx is done.
func (h Hostile) Attack(ctx context.Context, addr string, seed int64, departures *Departures) {
	done := make(chan bool, h.Conns)
	for i := range h.Conns {
		go func() {
			defer func() { done <- true }()
			rng := rand.New(rand.NewSource(h.seed(seed, i)))
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					sleepFor(ctx, 20*time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				h.Run(ctx, c, rng, departures)
				stop()
				_ = c.Close()
			}
		}()
	}
	for range h.Conns {
		<-done
	}
}

// seed returns the seed of one connection's random numbers. It depends on the kind, too: connections with the same numbers
// would send the same ids.
func (h Hostile) seed(seed int64, connection int) int64 {
	f := fnv.New64a()
	_, _ = fmt.Fprint(f, h.Name, " ", seed, " ", connection)
	return int64(f.Sum64())
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Departures records when the clients of requests closed their connections, and which requests they sent again under
// their ids. A nil Departures records nothing.
type Departures struct {
	mu    sync.Mutex
	at    map[string]time.Time // by id
	again map[string]bool      // by id
}

// RecordAgain records that a request is sent again.
func (d *Departures) RecordAgain(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.again == nil {
		d.again = map[string]bool{}
	}
	d.again[fmt.Sprintf("%016x", id)] = true
}

// SentAgain reports whether a client has sent a request more than once. A host may repeat a read on its own.
func (d *Departures) SentAgain(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.again[id]
}

// Record records that the connection of requests was closed.
func (d *Departures) Record(at time.Time, ids ...uint64) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = map[string]time.Time{}
	}
	for _, id := range ids {
		d.at[fmt.Sprintf("%016x", id)] = at
	}
}

// Of returns when the client of a request left; ok is false if it did not.
func (d *Departures) Of(id string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.at[id]
	return at, ok
}

// ReadRequest returns a read of the class record-read as sent.
func ReadRequest(id, volume, item uint64, within time.Duration) string {
	return fmt.Sprintf("GET /api/%016x/%016x HTTP/1.1\r\nHost: o\r\nRequest-Id: %016x\r\nRequest-Class: record-read\r\n"+
		"X-Storage-Class: standard\r\nRequest-Timeout-Ms: %d\r\nX-Extent: units=1,shard=%d,hosts=1\r\n\r\n",
		volume, item, id, within.Milliseconds(), volume%8)
}

// WriteHead returns the head of a write of the class record-write, with further fields.
func WriteHead(id, volume, item uint64, within time.Duration, fields string) string {
	return fmt.Sprintf("PUT /api/%016x/%016x HTTP/1.1\r\nHost: o\r\nRequest-Id: %016x\r\nRequest-Class: record-write\r\n"+
		"X-Storage-Class: standard\r\nRequest-Timeout-Ms: %d\r\nX-Extent: units=1,shard=%d,hosts=1\r\nIdempotency-Key: k%d\r\n%s\r\n",
		volume, item, id, within.Milliseconds(), volume%8, id, fields)
}

// HostileID returns an id that no usual client uses.
func HostileID(rng *rand.Rand) uint64 { return 1<<63 | rng.Uint64() }

func slowWrite(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	go io.Copy(io.Discard, c)
	text := WriteHead(HostileID(rng), rng.Uint64(), rng.Uint64(), time.Second, "Content-Length: 60000\r\n") + strings.Repeat("x", 60000)
	for len(text) > 0 && ctx.Err() == nil {
		n := min(len(text), 1+rng.Intn(3000))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
		sleepFor(ctx, time.Duration(rng.Intn(200))*time.Millisecond)
	}
}

func halfBody(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	text := WriteHead(HostileID(rng), 1, 2, time.Second, "Content-Length: 1000000\r\n") + strings.Repeat("x", 500_000)
	_, _ = io.WriteString(c, text)
	holdOpen(ctx, c, rng, nil)
}

func halfBody64(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	text := WriteHead(HostileID(rng), 1, 2, time.Second, "Content-Length: 65000\r\n") + strings.Repeat("x", 10_000+rng.Intn(40_000))
	_, _ = io.WriteString(c, text)
	holdOpen(ctx, c, rng, nil)
}

func manyFields(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	fields := strings.Repeat("a:b\r\n", 1500)
	if rng.Intn(2) == 0 {
		fields = strings.Repeat("a:b\r\n", 50) + "B: " + strings.Repeat("y", 7000) + "\r\n"
	}
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+fields)
	holdOpen(ctx, c, rng, nil)
}

// longTargets sends requests whose targets, which the host keeps with the request, are as long as a head may be.
func longTargets(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	text := ReadRequest(HostileID(rng), rng.Uint64(), rng.Uint64(), 10*time.Second)
	text = strings.Replace(text, " HTTP/1.1", "?"+strings.Repeat("q", 7500)+" HTTP/1.1", 1)
	_, _ = io.WriteString(c, text)
	answer := make([]byte, 4096)
	_, _ = c.Read(answer)
}

func slowChunks(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	go io.Copy(io.Discard, c)
	_, _ = io.WriteString(c, WriteHead(HostileID(rng), 1, 2, time.Second, "Transfer-Encoding: chunked\r\n"))
	for ctx.Err() == nil {
		n := 1 + rng.Intn(5000)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, strings.Repeat("x", n)); err != nil {
			return
		}
		sleepFor(ctx, time.Duration(rng.Intn(100))*time.Millisecond)
	}
}

// flood sends requests at full speed and reads what it gets.
func flood(request string) func(context.Context, net.Conn, *rand.Rand, *Departures) {
	text := strings.Repeat(request, 1+floodBytes/len(request))
	return func(ctx context.Context, c net.Conn, _ *rand.Rand, _ *Departures) {
		go io.Copy(io.Discard, c)
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// nameFlood sends requests one after another, each with a new volume, item and id.
func nameFlood(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	answer := make([]byte, 4096)
	for ctx.Err() == nil {
		text := ReadRequest(HostileID(rng), rng.Uint64(), rng.Uint64(), time.Millisecond)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if _, err := c.Read(answer); err != nil {
			return
		}
	}
}

func tinyChunks(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	go io.Copy(io.Discard, c)
	_, _ = io.WriteString(c, WriteHead(HostileID(rng), 1, 2, time.Second, "Transfer-Encoding: chunked\r\n"))
	chunks := strings.Repeat("1\r\nx\r\n", floodBytes/6)
	for ctx.Err() == nil {
		if _, err := io.WriteString(c, chunks); err != nil {
			return
		}
	}
}

// writeAndLeave sends much more than the host reads at once, requests among it, and closes the connection.
func writeAndLeave(ctx context.Context, c net.Conn, rng *rand.Rand, departures *Departures) {
	var b strings.Builder
	var ids []uint64
	for size := 100_000 + rng.Intn(1_000_000); b.Len() < size; {
		ids = append(ids, HostileID(rng))
		b.WriteString(ReadRequest(ids[len(ids)-1], rng.Uint64(), rng.Uint64(), time.Second))
	}
	_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.WriteString(c, b.String())
	sleepFor(ctx, 20*time.Millisecond)
	_ = c.Close()
	departures.Record(time.Now(), ids...)
}

// leaveAndRepeat sends a request, leaves, and sends it again under its id.
func leaveAndRepeat(ctx context.Context, c net.Conn, rng *rand.Rand, departures *Departures) {
	id := HostileID(rng)
	text := ReadRequest(id, rng.Uint64(), rng.Uint64(), time.Second)
	departures.RecordAgain(id)
	for ctx.Err() == nil {
		_, _ = io.WriteString(c, text)
		sleepFor(ctx, time.Duration(rng.Intn(40))*time.Millisecond)
		_ = c.Close()
		if rng.Intn(3) == 0 {
			return
		}
		again, err := net.DialTimeout("tcp", c.RemoteAddr().String(), time.Second)
		if err != nil {
			return
		}
		c = again
	}
	_ = c.Close()
}

// neverReads asks for answers and does not read them.
func neverReads(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	var b strings.Builder
	for range 20 {
		b.WriteString(strings.Replace(ReadRequest(HostileID(rng), rng.Uint64(), 0, time.Second), " HTTP", "?long HTTP", 1))
	}
	_, _ = io.WriteString(c, b.String())
	sleepFor(ctx, 8*time.Second)
}

func holdOpen(_ context.Context, c net.Conn, _ *rand.Rand, _ *Departures) {
	_, _ = io.Copy(io.Discard, c)
}

// waveLength is the time from one wave of clients to the next.
const waveLength = 700 * time.Millisecond

// inWaves returns a client whose connections all begin at the same moments, and all end before the next one.
func inWaves(run func(context.Context, net.Conn, *rand.Rand, *Departures)) func(context.Context, net.Conn, *rand.Rand, *Departures) {
	return func(ctx context.Context, c net.Conn, rng *rand.Rand, departures *Departures) {
		now := time.Now()
		begin := now.Truncate(waveLength).Add(waveLength)
		sleepFor(ctx, begin.Sub(now))
		stop := time.AfterFunc(waveLength-waveLength/8, func() { _ = c.Close() })
		defer stop.Stop()
		run(ctx, c, rng, departures)
	}
}

// sendInPieces writes a text in pieces of at most the given size, with pauses after some of them.
func sendInPieces(ctx context.Context, c net.Conn, rng *rand.Rand, text string, most int, pause time.Duration) error {
	for len(text) > 0 && ctx.Err() == nil {
		n := min(len(text), 1+rng.Intn(most))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		sleepFor(ctx, time.Duration(rng.Int63n(int64(pause))))
	}
	return ctx.Err()
}

// headPieces sends a head of very many short fields in small pieces, up to its limit.
func headPieces(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	go io.Copy(io.Discard, c)
	text := "GET /api/0000000000000001/0000000000000002 HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", 1600)
	most := [...]int{1, 8, 64, 512}[rng.Intn(4)]
	if sendInPieces(ctx, c, rng, text, most, time.Millisecond) == nil {
		holdOpen(ctx, c, rng, nil)
	}
}

// bodyPieces sends half of a long body in pieces of any size.
func bodyPieces(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	go io.Copy(io.Discard, c)
	length := [...]int{4_000, 60_000, 250_000, 1_000_000}[rng.Intn(4)]
	head := WriteHead(HostileID(rng), 1, 2, time.Second, fmt.Sprintf("Content-Length: %d\r\n", length))
	most := [...]int{16, 256, 4096, 40_000}[rng.Intn(4)]
	if sendInPieces(ctx, c, rng, head+strings.Repeat("x", length/2+rng.Intn(length/2)), most, 3*time.Millisecond) == nil {
		sleepFor(ctx, time.Duration(rng.Intn(2000))*time.Millisecond)
	}
}

// mixed is one of the kinds that a crowd is made of, drawn for each connection.
func mixed(ctx context.Context, c net.Conn, rng *rand.Rand, departures *Departures) {
	kinds := [...]func(context.Context, net.Conn, *rand.Rand, *Departures){slowWrite, largeWrites, slowLargeWrites, hungWrites, halfBody, halfBody64, manyFields, longTargets,
		slowChunks, neverReads, headPieces, bodyPieces, writeAndLeave}
	kinds[rng.Intn(len(kinds))](ctx, c, rng, departures)
}

// writeLength is the length of the body of a large write that is complete.
const writeLength = 1_000_000

// largeWrite returns a complete write with a body of a length. If hung is set, its node does not answer.
func largeWrite(rng *rand.Rand, length int, hung bool) string {
	text := WriteHead(HostileID(rng), rng.Uint64(), rng.Uint64(), 3*time.Second, fmt.Sprintf("Content-Length: %d\r\n", length))
	if hung {
		text = strings.Replace(text, " HTTP/1.1", "?"+hangTarget+" HTTP/1.1", 1)
	}
	return text + strings.Repeat("x", length)
}

// largeWrites sends complete writes with long bodies, one after another.
func largeWrites(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	exchangeAll(ctx, c, func() error {
		_, err := io.WriteString(c, largeWrite(rng, writeLength, false))
		return err
	})
}

// slowLargeWrites sends them in pieces.
func slowLargeWrites(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	exchangeAll(ctx, c, func() error {
		return sendInPieces(ctx, c, rng, largeWrite(rng, 60_000+rng.Intn(writeLength), true), 60_000, 10*time.Millisecond)
	})
}

// hungWrites sends writes of the usual largest length whose nodes do not answer.
func hungWrites(ctx context.Context, c net.Conn, rng *rand.Rand, _ *Departures) {
	exchangeAll(ctx, c, func() error {
		_, err := io.WriteString(c, largeWrite(rng, 64<<10, true))
		return err
	})
}

// exchangeAll sends requests and waits for an answer after each, until the connection ends.
func exchangeAll(ctx context.Context, c net.Conn, send func() error) {
	answer := make([]byte, 4096)
	for ctx.Err() == nil && send() == nil {
		if n, err := c.Read(answer); err != nil || bytes.Contains(answer[:n], []byte("Connection: close")) {
			return
		}
	}
}
