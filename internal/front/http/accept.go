package http

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"eiderhold/internal/loop"
	"eiderhold/limits"
)

// maxAdding is the number of accepted connections that may wait for the event loop at a time. A busy loop takes them all
// in one turn: the requests on them have begun to age when the kernel accepted them.
const maxAdding = 32

// accept accepts connections up to the limit, so that the process does not run out of file descriptors. Further
// connections wait in the kernel's queue until another one has closed.
func (f *Front) accept() {
	adding := make(chan struct{}, maxAdding)
	var added sync.WaitGroup
	defer added.Wait()
	pause := time.Millisecond
	for {
		if !f.reservePlace() {
			return
		}
		raw, err := f.ln.Accept()
		if err != nil {
			f.releasePlace()
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			f.opt.Log.Warn("http front: accept", "err", err, "again_in", pause)
			time.Sleep(pause) // out of descriptors; a later attempt may succeed
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = time.Millisecond
		c := f.newConn()
		adding <- struct{}{}
		added.Add(1)
		go func() {
			f.add(raw, c)
			<-adding
			added.Done()
		}()
	}
}

// add adds an accepted connection to the event loop.
func (f *Front) add(raw net.Conn, c *conn) {
	if err := f.opt.Loop.Add(raw, c); err != nil {
		f.releasePlace()
		f.opt.Log.Warn("http front: cannot add a connection to the event loop", "err", err)
	}
}

// reservePlace waits for a place for another connection. It returns false if there is none for those that are left in the
// kernel's queue.
func (f *Front) reservePlace() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.accepted >= f.opt.MaxConns && !f.closing {
		f.opt.Loop.Post(f.evictIfFull)
		f.changed.Wait()
	}
	if f.accepted >= f.opt.MaxConns {
		return false
	}
	f.accepted++
	return true
}

// releasePlace releases the place of a connection.
func (f *Front) releasePlace() {
	f.mu.Lock()
	f.accepted--
	f.changed.Broadcast()
	f.mu.Unlock()
}

// usage returns the number of places in use and their limit. The place for the connection that accept waits for is
// in use, too.
func (f *Front) usage() (used, limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted, f.opt.MaxConns
}

// evictIfFull closes the connections with the highest eviction ranks if all places are in use. It frees several places of
// many, as clients that wait in the kernel's queue would otherwise get one in each turn of a busy loop.
func (f *Front) evictIfFull() {
	used, limit := f.usage()
	if used < limit {
		return
	}
	now := f.opt.Host.Now()
	evictable := f.ranked(func(c *conn) (float64, bool) { return limits.EvictionRank(now, c.state()) })
	evicted := 0
	for _, c := range evictable {
		if evicted == limits.Evictions(limit) {
			return
		}
		if c.hadRequest && !c.closing && loop.HasUnread(c.g) {
			continue // its next request has arrived
		}
		evicted++
		f.stats.Evicted++
		f.opt.Loop.Close(c.g) // at once: its place is needed
	}
}

// StopListening accepts the connections already in the kernel's queue, then no more.
func (f *Front) StopListening() {
	f.mu.Lock()
	f.closing = true
	f.changed.Broadcast()
	f.mu.Unlock()
	if l, ok := f.ln.(*net.TCPListener); ok {
		_ = l.SetDeadline(time.Now().Add(finalAcceptTimeout))
	}
}
