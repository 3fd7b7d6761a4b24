package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"

	"eiderhold/membership"
)

const (
	maxObjectBytes = 4 << 20  // of one JSON object
	maxValueBytes  = 64 << 10 // of one value in it, such as an entry of the list
	entryOverhead  = 64       // bytes of an entry as allocated, without its text
)

// entryBudget bounds the bytes of entries that have been read and not yet applied, of all watches together. It is safe for
// concurrent use.
type entryBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves bytes; it returns false if there are not as many left.
func (b *entryBudget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// objectReader reads objects from the body of a response: JSON values, with any white space between and within them. It
// holds one value at a time, and the entries of one object.
type objectReader struct {
	body   *responseBody
	budget *entryBudget
	dec    *json.Decoder
	held   int64 // taken from budget
}

// readObjects passes each object to take until the stream ends or take returns an error.
func readObjects(body *responseBody, budget *entryBudget, take func(membership.Update) error) error {
	r := &objectReader{body: body, budget: budget}
	defer r.release()
	for {
		u, err := r.next()
		if err != nil {
			return fmt.Errorf("object, byte %d: %w", r.offset(), err)
		}
		if err := take(u); err != nil {
			return err
		}
		r.release()
	}
}

// release returns what the last object took from the budget.
func (r *objectReader) release() {
	r.budget.used.Add(-r.held)
	r.held = 0
}

// offset returns how many bytes of the present object have been read.
func (r *objectReader) offset() int64 {
	if r.dec == nil {
		return 0
	}
	return r.dec.InputOffset()
}

// next reads the next object. Each object has a decoder of its own, so that neither the white space between objects nor the
// buffer for a large one stays in memory.
func (r *objectReader) next() (u membership.Update, err error) {
	if err := r.startObject(); err != nil {
		return u, err
	}
	if err := r.expect('{'); err != nil {
		return u, err
	}
	for r.dec.More() {
		if err := r.readField(&u); err != nil {
			return u, err
		}
	}
	return u, r.expect('}')
}

// startObject starts a decoder at the next byte that is not white space. What the former decoder has read beyond its object
// is read again.
func (r *objectReader) startObject() error {
	if r.dec != nil {
		rest, err := io.ReadAll(r.dec.Buffered())
		if err != nil {
			return err
		}
		r.body.unread = append(rest, r.body.unread...)
	}
	r.body.given, r.body.consumed = 0, nil
	if err := r.body.skipSpace(); err != nil {
		return err
	}
	r.dec = json.NewDecoder(r.body)
	r.body.consumed = r.dec.InputOffset
	return nil
}

// expect reads a delimiter.
func (r *objectReader) expect(want json.Delim) error {
	got, err := r.dec.Token()
	if err == nil && got != want {
		err = fmt.Errorf("%v: expected %v", got, want)
	}
	return unexpectedEnd(err)
}

// readField reads a field of the object. Fields that are not known are passed over.
func (r *objectReader) readField(u *membership.Update) error {
	name, err := r.dec.Token()
	if err != nil {
		return unexpectedEnd(err)
	}
	key, _ := name.(string)
	switch {
	case strings.EqualFold(key, "rev"):
		err = r.dec.Decode(&u.Rev)
	case strings.EqualFold(key, "all"):
		err = r.dec.Decode(&u.All)
	case strings.EqualFold(key, "targets"):
		err = r.readTargets(u)
	default:
		var other json.RawMessage
		err = r.dec.Decode(&other)
	}
	return unexpectedEnd(err)
}

// readTargets reads the entries, which may be null.
func (r *objectReader) readTargets(u *membership.Update) error {
	start, err := r.dec.Token()
	if start == nil || err != nil {
		return err
	}
	if start != json.Delim('[') {
		return fmt.Errorf("targets: %v: expected a list", start)
	}
	for r.dec.More() {
		var entry json.RawMessage
		if err := r.dec.Decode(&entry); err != nil {
			return err
		}
		n := int64(cap(entry) + entryOverhead)
		if !r.budget.take(n) {
			return fmt.Errorf("targets: over %d bytes of entries that are not applied yet", r.budget.limit)
		}
		r.held += n
		u.Targets = append(u.Targets, entry)
	}
	return r.expect(']')
}

// unexpectedEnd returns the error of a stream that ends within an object.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
