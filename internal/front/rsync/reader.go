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

// reader reads one version of a file extent by extent and prefetches as many as the transfer's window
// allows.
type reader struct {
	transfer *transfer
	entry    store.Entry
	extents  []extent.Extent
	class    string
	fetches  map[int]*extentFetch
	readEnd  int64 // end of the last range that was returned
	err      error
	closed   bool
}

// extentFetch is an extent that was requested from a node.
type extentFetch struct {
	request *extentRequest
	data    *buffer.Buffer // nil: not received yet
	err     error
}

// Open begins to read a file and requests its first extent at once.
func (t *transfer) Open(f proto.File) proto.Reader {
	e, _ := f.Ref.(store.Entry)
	r := &reader{transfer: t, entry: e, extents: e.Extents(), class: t.front.opt.Work.Read(e.Size), fetches: map[int]*extentFetch{}}
	if len(r.extents) > 0 {
		r.fetch(0, false)
	}
	return r
}

// At returns the bytes of the range that were received; it requests the extent at off and prefetches
// the ones after it.
func (r *reader) At(off int64, n int) ([]byte, bool, error) {
	if r.err != nil {
		return nil, false, r.err
	}
	around := extent.Within(r.extents, off, 1)
	if len(around) == 0 || n <= 0 {
		return nil, false, r.fail(fmt.Errorf("byte %d lies behind the end of the %d bytes here", off, r.entry.Size))
	}
	at := around[0]
	i := len(r.extents) - cap(around) // around is a subslice of extents, whose capacity equals its length
	for j, h := range r.fetches {     // extents before this one or far behind it are not needed again
		if j < i || j > i+r.transfer.front.opt.Pacing.MaxWindow {
			r.release(j, h)
		}
	}
	h := r.fetches[i]
	if h == nil {
		h = r.fetch(i, true)
	} else if h.data == nil && h.err == nil {
		r.transfer.prioritize(h.request)
	}
	for j := i + 1; j < len(r.extents) && j <= i+r.transfer.pacing.Window(); j++ {
		if r.fetches[j] == nil {
			r.fetch(j, false)
		}
	}
	switch {
	case h.err != nil:
		return nil, false, r.fail(h.err)
	case h.data == nil:
		return nil, false, nil
	}
	p := h.data.B[off-at.Offset:]
	p = p[:min(n, len(p))]
	r.readEnd = max(r.readEnd, off+int64(len(p)))
	return p, true, nil
}

// fail records the file as left out, once.
func (r *reader) fail(err error) error {
	if r.err == nil {
		r.err = r.transfer.finishFile(err)
	}
	return r.err
}

// fetch requests extent i.
func (r *reader) fetch(i int, needed bool) *extentFetch {
	t, x := r.transfer, r.extents[i]
	h := &extentFetch{}
	r.fetches[i] = h
	h.request = &extentRequest{index: i, bytes: int64(x.Length), class: r.class, needed: needed, prefetch: !needed, shard: x.Shard,
		build: func(try pacing.Try) (*host.Request, error) {
			if t.front.opt.ShardLost != nil {
				if why, back, lost := t.front.opt.ShardLost(x.Shard); lost {
					return nil, &ExtentError{Refused: true, Cause: why, RetryAfter: back}
				}
			}
			return &host.Request{Class: r.class, Plan: t.module.Plan, Volume: t.module.Name, Item: x.Item, Shard: x.Shard,
				Hosts: t.module.Gateways, Units: t.front.opt.Work.Units(x.Length), Share: t.module.Share,
				Expires: try.Expires, Retry: try.Retry, Op: nodewire.Read, Length: x.Length}, nil
		},
		onAnswer: func(a host.Answer) (pacing.TryResult, string) {
			if a.Kind == host.Served {
				if a.Data != nil && len(a.Data.B) == x.Length && xxhash.Sum64(a.Data.B) == x.Sum {
					h.data = a.Data
					t.readBytes += int64(x.Length)
					return pacing.Served, ""
				}
				a.Data.Release()
				t.front.reportCorrupt(t, x, a.Node)
				return pacing.Failed, fmt.Sprintf("node %s holds other bytes than were written", a.Node)
			}
			return pacingKind(a), a.Cause
		},
		onDone: func(err error) {
			if err != nil {
				h.err = fmt.Errorf("bytes from %d on: %w", x.Offset, err)
			}
		}}
	t.enqueue(h.request)
	return h
}

func pacingKind(a host.Answer) pacing.TryResult {
	switch a.Kind {
	case host.Served:
		return pacing.Served
	case host.Refused:
		return pacing.Refused
	}
	return pacing.Failed
}

func (f *Front) reportCorrupt(t *transfer, x extent.Extent, node string) {
	f.mu.Lock()
	f.stats.Corrupt++
	f.mu.Unlock()
	f.opt.Log.Error("extent data does not match its checksum", "module", t.module.Name, "item", x.Item,
		"node", node, "shard", x.Shard)
}

func (r *reader) release(i int, h *extentFetch) {
	h.request.abandon()
	h.request.releaseBudget()
	h.data.Release()
	h.data = nil
	delete(r.fetches, i)
}

// Close releases the extents. A file whose last byte was returned counts as sent.
func (r *reader) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.err == nil && !r.transfer.params.Push && r.readEnd == r.entry.Size {
		_ = r.transfer.finishFile(nil)
	}
	for i, h := range r.fetches {
		r.release(i, h)
	}
	if r.err == nil {
		r.err = errors.New("closed")
	}
}
