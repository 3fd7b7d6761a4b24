package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"eiderhold/internal/http1"
	"eiderhold/membership"
)

// watch is one connection to discovery, for a watch or for a single request of the whole list.
type watch struct {
	id        membership.TrialID
	addr      string
	fetchAll  bool
	startedAt time.Duration
	cancel    context.CancelFunc
}

// Events that a watch posts to Feed.Run.
type (
	bytesReceived  struct{ watch *watch } // any bytes, also of an incomplete object
	objectReceived struct {
		watch  *watch
		update membership.Update
	}
	watchEnded struct {
		watch *watch
		err   error
	}
)

// startWatch opens a watch from a revision, in its own goroutine. It posts the watch's events; the last one is
// watchEnded unless ctx is done first.
func (f *Feed) startWatch(ctx context.Context, w *watch, from uint64) {
	ctx, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	go func() {
		defer cancel()
		post := func(e any) error {
			select {
			case f.events <- e:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		err := w.run(ctx, from, &f.unapplied, post)
		_ = post(watchEnded{w, fmt.Errorf("discovery: %w", err)})
	}()
}

// run sends the request and posts what it receives until the connection ends or ctx is done.
func (w *watch) run(ctx context.Context, from uint64, budget *entryBudget, post func(any) error) error {
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", w.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	target := "/catalog/members"
	if !w.fetchAll {
		target += "?watch=1&from=" + strconv.FormatUint(from, 10)
	}
	p := http1.AppendEnd(http1.AppendField(http1.AppendRequestLine(nil, "GET", target), "Host", w.addr))
	if _, err := conn.Write(p); err != nil {
		return err
	}
	body := &responseBody{conn: conn, onRead: func() error { return post(bytesReceived{w}) }}
	if err := body.readHead(); err != nil {
		return err
	}
	return readObjects(body, budget, func(u membership.Update) error {
		if w.fetchAll {
			u.All = true
		}
		return post(objectReceived{w, u})
	})
}

// responseBody reads the body of a response in pieces of any size. It fails when an object or a value in it is too long.
type responseBody struct {
	conn       io.Reader
	onRead     func() error // called after each read that returns bytes
	given      int64        // bytes of the present object that Read has returned
	consumed   func() int64 // returns how many of them the JSON decoder has consumed
	readBuffer [16 << 10]byte
	unread     []byte // decoded and not yet returned by Read
	decoded    []byte // the memory in which the last piece was decoded, to be used again
	chunks     *http1.ChunkDecoder
	remaining  int64 // bytes left of a body with a Content-Length; negative: until the connection ends
	done       bool
}

var errResponseEnded = errors.New("the response ended")

// readHead reads the head of the response.
func (b *responseBody) readHead() error {
	var in []byte
	for {
		n, err := b.conn.Read(b.readBuffer[:])
		if n > 0 {
			if err := b.onRead(); err != nil {
				return err
			}
		}
		in = append(in, b.readBuffer[:n]...)
		h, size, parseErr := http1.ParseResponse(in, 0)
		switch {
		case parseErr == http1.ErrShort && err != nil:
			return err
		case parseErr == http1.ErrShort:
			continue
		case parseErr != nil:
			return parseErr
		case h.Status != 200:
			return fmt.Errorf("status %d: expected 200", h.Status)
		}
		b.remaining = h.Body.Length
		if h.Body.Chunked {
			b.chunks = &http1.ChunkDecoder{}
		}
		return b.decode(in[size:])
	}
}

// decode decodes bytes of the body and appends them to unread.
func (b *responseBody) decode(p []byte) (err error) {
	switch {
	case b.chunks != nil:
		b.unread, _, b.done, err = b.chunks.Feed(b.unread, p)
	case b.remaining >= 0:
		n := min(int64(len(p)), b.remaining)
		b.unread, b.remaining = append(b.unread, p[:n]...), b.remaining-n
		b.done = b.remaining == 0
	default:
		b.unread = append(b.unread, p...)
	}
	return err
}

// Read implements io.Reader for the JSON decoder.
func (b *responseBody) Read(p []byte) (int, error) {
	switch {
	case b.given > maxObjectBytes:
		return 0, fmt.Errorf("an object of over %d bytes", maxObjectBytes)
	case b.given-b.consumed() > maxValueBytes:
		return 0, fmt.Errorf("an object with a value of over %d bytes", maxValueBytes)
	}
	if err := b.fill(); err != nil {
		return 0, err
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	b.given += int64(n)
	return n, nil
}

// skipSpace discards white space in front of an object.
func (b *responseBody) skipSpace() error {
	for {
		if b.unread = bytes.TrimLeft(b.unread, " \t\r\n"); len(b.unread) > 0 {
			return nil
		}
		b.unread = nil
		if err := b.fill(); err != nil {
			return err
		}
	}
}

// fill reads from the connection until there are unread bytes.
func (b *responseBody) fill() error {
	for len(b.unread) == 0 {
		if b.done {
			return errResponseEnded
		}
		n, err := b.conn.Read(b.readBuffer[:])
		if n > 0 {
			if err := b.onRead(); err != nil {
				return err
			}
			b.unread = b.decoded[:0]
			if err := b.decode(b.readBuffer[:n]); err != nil {
				return err
			}
			b.decoded = b.unread
		}
		if err != nil && len(b.unread) == 0 {
			return err
		}
	}
	return nil
}
