package rsync

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"eiderhold/internal/buffer"
	"eiderhold/internal/extent"
	"eiderhold/internal/host"
	"eiderhold/internal/nodewire"
	proto "eiderhold/internal/rsync"
	"eiderhold/internal/store"
	"eiderhold/pacing"
)

// reader reads one version of a file, extent by extent, a few ahead.
type reader struct {
	t       *transfer
	entry   store.Entry
	extents []extent.Extent
	class   string
	held    map[int]*held
	end     int64 // of the bytes that were handed out
	err     error
	closed  bool
}

// held is one extent that was asked for.
type held struct {
	piece *piece
	data  *buffer.Buffer // nil: not there yet
	err   error
}

// Open begins to read a file: its first extent is asked for at once.
func (t *transfer) Open(f proto.File) proto.Reader {
	e, _ := f.Ref.(store.Entry)
	r := &reader{t: t, entry: e, extents: e.Extents(), class: t.f.opt.Work.Read(e.Size), held: map[int]*held{}}
	if len(r.extents) > 0 {
		r.fetch(0, false)
	}
	return r
}

// At returns what is there of the range, and asks for it and some more behind it.
func (r *reader) At(off int64, n int) ([]byte, bool, error) {
	if r.err != nil {
		return nil, false, r.err
	}
	around := extent.Within(r.extents, off, 1)
	if len(around) == 0 || n <= 0 {
		return nil, false, r.fail(fmt.Errorf("byte %d lies behind the end of the %d bytes here", off, r.entry.Size))
	}
	x := around[0]
	i := len(r.extents) - cap(around) // extents is never resliced from behind
	for j, h := range r.held {        // what lies elsewhere is not needed again
		if j < i || j > i+r.t.f.opt.Pacing.MaxWindow {
			r.drop(j, h)
		}
	}
	h := r.held[i]
	if h == nil {
		h = r.fetch(i, true)
	} else if h.data == nil && h.err == nil {
		r.t.need(h.piece)
	}
	for j := i + 1; j < len(r.extents) && j <= i+r.t.pace.Window(); j++ {
		if r.held[j] == nil {
			r.fetch(j, false)
		}
	}
	switch {
	case h.err != nil:
		return nil, false, r.fail(h.err)
	case h.data == nil:
		return nil, false, nil
	}
	p := h.data.B[off-x.Offset:]
	p = p[:min(n, len(p))]
	r.end = max(r.end, off+int64(len(p)))
	return p, true, nil
}

// fail books the file as left out, once.
func (r *reader) fail(err error) error {
	if r.err == nil {
		r.err = r.t.file(err)
	}
	return r.err
}

// fetch asks for extent i.
func (r *reader) fetch(i int, needed bool) *held {
	t, x := r.t, r.extents[i]
	h := &held{}
	r.held[i] = h
	h.piece = &piece{index: i, bytes: int64(x.Length), class: r.class, needed: needed, shard: x.Shard,
		request: func(try pacing.Try) (*host.Request, error) {
			if t.f.opt.Lost != nil {
				if why, back, lost := t.f.opt.Lost(x.Shard); lost {
					return nil, &GivenUp{Refused: true, Why: why, Back: back}
				}
			}
			return &host.Request{Class: r.class, Plan: t.m.Plan, Volume: t.m.Name, Item: x.Item, Shard: x.Shard,
				Hosts: t.m.Hosts, Units: t.f.opt.Work.Units(x.Length), Share: t.m.Share,
				Expires: try.Expires, Retry: try.Retry, Op: nodewire.Read, Length: x.Length}, nil
		},
		ended: func(a host.Answer) (pacing.TryResult, string) {
			if a.Kind == host.Served {
				if a.Data != nil && len(a.Data.B) == x.Length && xxhash.Sum64(a.Data.B) == x.Sum {
					h.data = a.Data
					t.sent += int64(x.Length)
					return pacing.Served, ""
				}
				a.Data.Release()
				t.f.corrupt(t, x, a.Node)
				return pacing.Failed, fmt.Sprintf("node %s holds other bytes than were written", a.Node)
			}
			return kindOf(a), a.Cause
		},
		done: func(err error) {
			if err != nil {
				h.err = fmt.Errorf("bytes from %d on: %w", x.Offset, err)
			}
		}}
	t.want(h.piece)
	return h
}

func kindOf(a host.Answer) pacing.TryResult {
	switch a.Kind {
	case host.Served:
		return pacing.Served
	case host.Refused:
		return pacing.Refused
	}
	return pacing.Failed
}

func (f *Front) corrupt(t *transfer, x extent.Extent, node string) {
	f.mu.Lock()
	f.stats.Corrupt++
	f.mu.Unlock()
	f.opt.Log.Error("an extent came back with other bytes than were written", "module", t.m.Name, "item", x.Item,
		"node", node, "shard", x.Shard)
}

func (r *reader) drop(i int, h *held) {
	h.piece.drop()
	h.piece.release()
	h.data.Release()
	h.data = nil
	delete(r.held, i)
}

// Close ends the reading. A file of which the last byte was there counts as sent.
func (r *reader) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.err == nil && !r.t.what.Push && r.end == r.entry.Size {
		_ = r.t.file(nil)
	}
	for i, h := range r.held {
		r.drop(i, h)
	}
	if r.err == nil {
		r.err = errors.New("closed")
	}
}
