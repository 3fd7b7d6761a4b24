package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"

	"eiderhold/internal/http1"
	"eiderhold/membership"
)

// watch is one connection to discovery: a watch, or a question for the whole list.
type watch struct {
	addr   string
	whole  bool
	cancel context.CancelFunc
}

// Events of a watch, for the feed's loop.
type (
	spoke  struct{ w *watch } // bytes came
	object struct {
		w *watch
		u membership.Update
	}
	ended struct {
		w   *watch
		err error
	}
)

// start opens a watch from a version, in a goroutine of its own. What comes of it is posted; it ends with
// ended, unless ctx did first.
func (f *Feed) start(ctx context.Context, addr string, whole bool, from uint64) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{addr: addr, whole: whole, cancel: cancel}
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
		err := w.follow(ctx, from, post)
		_ = post(ended{w, fmt.Errorf("discovery: %w", err)})
	}()
	return w
}

// follow asks, and posts what comes until the connection or ctx ends.
func (w *watch) follow(ctx context.Context, from uint64, post func(any) error) error {
	d := net.Dialer{}
	conn, err := d.DialContext(ctx, "tcp", w.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	target := "/catalog/members"
	if !w.whole {
		target += "?watch=1&from=" + strconv.FormatUint(from, 10)
	}
	p := http1.AppendEnd(http1.AppendField(http1.AppendRequestLine(nil, "GET", target), "Host", w.addr))
	if _, err := conn.Write(p); err != nil {
		return err
	}
	body := &body{conn: conn, heard: func() error { return post(spoke{w}) }}
	if err := body.head(); err != nil {
		return err
	}
	return objects(body, func(u membership.Update) error {
		if w.whole {
			u.All = true
		}
		return post(object{w, u})
	})
}

// objects reads one JSON value after another, with white space of any kind between and within them, until the
// stream ends. How deep a value may be nested the library bounds, its bytes body does.
func objects(b *body, take func(membership.Update) error) error {
	dec := json.NewDecoder(b)
	b.used = dec.InputOffset
	for {
		var u membership.Update
		if err := dec.Decode(&u); err != nil {
			return fmt.Errorf("object from byte %d on: %w", dec.InputOffset(), err)
		}
		if err := take(u); err != nil {
			return err
		}
	}
}

// body reads the body of an answer as it comes, in pieces of any size. It holds objectMost bytes that were not
// used yet at the most.
type body struct {
	conn   io.Reader
	heard  func() error // bytes came
	used   func() int64 // bytes that the reader is done with
	in     [16 << 10]byte
	out    []byte // read and not handed on
	chunks *http1.Chunks
	left   int64 // of a body of stated length; below 0: until the connection ends
	read   int64
	done   bool
}

var errOver = errors.New("the answer ended")

// head reads the answer's head.
func (b *body) head() error {
	var in []byte
	for {
		n, err := b.conn.Read(b.in[:])
		if n > 0 {
			if err := b.heard(); err != nil {
				return err
			}
		}
		in = append(in, b.in[:n]...)
		h, size, perr := http1.ParseResponse(in, 0)
		switch {
		case perr == http1.ErrShort && err != nil:
			return err
		case perr == http1.ErrShort:
			continue
		case perr != nil:
			return perr
		case h.Status != 200:
			return fmt.Errorf("status %d: expected 200", h.Status)
		}
		b.left = h.Body.Length
		if h.Body.Chunked {
			b.chunks = &http1.Chunks{}
		}
		return b.feed(in[size:])
	}
}

// feed takes bytes of the body.
func (b *body) feed(p []byte) (err error) {
	was := len(b.out)
	switch {
	case b.chunks != nil:
		b.out, _, b.done, err = b.chunks.Feed(b.out, p)
	case b.left >= 0:
		n := min(int64(len(p)), b.left)
		b.out, b.left = append(b.out, p[:n]...), b.left-n
		b.done = b.left == 0
	default:
		b.out = append(b.out, p...)
	}
	b.read += int64(len(b.out) - was)
	return err
}

// Read is for the reader of objects.
func (b *body) Read(p []byte) (int, error) {
	for len(b.out) == 0 {
		if b.done {
			return 0, errOver
		}
		if b.read-b.used() > objectMost {
			return 0, fmt.Errorf("an object of over %d bytes", objectMost)
		}
		n, err := b.conn.Read(b.in[:])
		if n > 0 {
			if err := b.heard(); err != nil {
				return 0, err
			}
			if err := b.feed(b.in[:n]); err != nil {
				return 0, err
			}
		}
		if err != nil && len(b.out) == 0 {
			return 0, err
		}
	}
	n := copy(p, b.out)
	b.out = b.out[:copy(b.out, b.out[n:])]
	return n, nil
}
